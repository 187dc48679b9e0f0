// Command latency measures what an entry adds to the latency of a call: the same
// calls direct to backend servers and through an entry, in one run, over
// loopback TCP between separate processes.
//
// It starts its own child processes: one with stand-in backend servers and one entry,
// which runs the request path of the product over a fixed tree. With --through it
// measures a running entry instead.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/bench/table"
	"chestnutrouter.example/chestnutrouter/internal/daemon"
)

// Roles of the processes.
const (
	roleMeasure = "measure"
	roleServers = "servers"
	roleHop     = "hop"
	roleEntry   = "entry"
)

// options are the flags of the command.
type options struct {
	role    string
	servers string
	profile string
	json    bool

	path    string
	direct  string
	through string
	host    string
	time    time.Duration
	rounds  int
	callers int
	rate    int
	// gcPercent is the heap growth between two garbage collections of the entry.
	gcPercent int
}

func main() {
	o := options{role: roleMeasure, path: roleEntry, host: benchHost, time: time.Second, rounds: 5, gcPercent: daemon.GCPercent}
	flaggy.SetName("latency")
	flaggy.SetDescription("latency that an entry adds to a call")
	flaggy.String(&o.role, "", "role", "measure; the other roles are those of its children")
	flaggy.String(&o.servers, "", "servers", "for a child: addresses of the backend servers")
	flaggy.String(&o.profile, "", "profile", "write a CPU profile of the entry to this file")
	flaggy.Bool(&o.json, "", "json", "print JSON in place of text")
	flaggy.String(&o.path, "", "path", "entry: the whole request path; hop: forwarding alone")
	flaggy.String(&o.direct, "", "direct", "address of a running backend server")
	flaggy.String(&o.through, "", "through", "address of a running entry")
	flaggy.String(&o.host, "", "host", "host name of the calls")
	flaggy.Duration(&o.time, "", "time", "length of one measurement")
	flaggy.Int(&o.rounds, "", "rounds", "measurements of each kind, direct and through in turn")
	flaggy.Int(&o.callers, "", "callers", "measure only this number of callers, at --rate")
	flaggy.Int(&o.rate, "", "rate", "calls a second with --callers")
	flaggy.Int(&o.gcPercent, "", "gc-percent", "heap growth of the entry between two collections, as GOGC")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "latency:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	switch o.role {
	case roleServers:
		return runServers()
	case roleHop, roleEntry:
		return runEntry(o)
	}
	tables, err := measure(o)
	if err != nil {
		return err
	}
	return table.Write(os.Stdout, tables, o.json)
}
