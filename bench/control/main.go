// Command control measures what control costs and how fast a configuration comes
// in force. It runs the follower and the membership of each entry, or the whole
// daemon, as a process of its own on loopback next to a stand-in platform, and
// prints a table.
//
//	go run ./bench/control --measure latency --nodes 3,19 --daemons
//	go run ./bench/control --measure cost --nodes 13,19,60
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
)

// options are the flags of the command.
type options struct {
	measure string
	nodes   []int
	appends int
	seconds int
	servers int
	plain   bool
	daemons bool
	tree    string
}

func main() {
	if len(os.Args) == 2 && os.Args[1] == nodeArgument {
		exit(runNode(os.Stdin, os.Stdout))
	}
	opts := options{measure: "latency", appends: 100, seconds: 120, servers: 770, tree: "examples/tree"}
	nodes, asJSON := "3,19", false
	flaggy.SetName("control")
	flaggy.SetDescription("cost of control and time until a configuration is in force")
	flaggy.String(&opts.measure, "", "measure", "latency or cost")
	flaggy.String(&nodes, "", "nodes", "numbers of entry processes, with commas")
	flaggy.Int(&opts.appends, "", "appends", "measured appends of each latency run")
	flaggy.Int(&opts.seconds, "", "seconds", "measured seconds of each cost run")
	flaggy.Int(&opts.servers, "", "servers", "backend servers in the VM list")
	flaggy.Bool(&opts.plain, "", "plain", "a platform that sends the VM list whole each time")
	flaggy.Bool(&opts.daemons, "", "daemons", "measure latency with whole daemons")
	flaggy.String(&opts.tree, "", "tree", "directory of the published tree")
	flaggy.Bool(&asJSON, "", "json", "print JSON in place of text")
	flaggy.Parse()
	for _, text := range strings.Split(nodes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			fmt.Fprintln(os.Stderr, "--nodes takes numbers with commas")
			os.Exit(2)
		}
		opts.nodes = append(opts.nodes, n)
	}
	exit(measure(opts, asJSON))
}

func measure(opts options, asJSON bool) error {
	var rows []row
	for _, n := range opts.nodes {
		got, err := measureOne(opts, n)
		if err != nil {
			return err
		}
		rows = append(rows, got...)
	}
	if asJSON {
		return json.NewEncoder(os.Stdout).Encode(rows)
	}
	return printRows(os.Stdout, rows)
}

func measureOne(opts options, n int) ([]row, error) {
	if opts.measure == "cost" {
		return costOf(opts, n)
	}
	e, err := startEntries(opts, n)
	if err != nil {
		return nil, err
	}
	defer e.stop()
	o := newOperator(e.url())
	if err := o.found(opts.tree); err != nil {
		return nil, err
	}
	whole, err := measureLatency("log up", opts.appends, o, e)
	if err != nil {
		return nil, err
	}
	e.cutHalf()
	half, err := measureLatency("log cut from half", opts.appends, o, e)
	return []row{whole, half}, err
}

func costOf(opts options, n int) ([]row, error) {
	f, err := startNodes(opts, n)
	if err != nil {
		return nil, err
	}
	defer f.stop()
	o := newOperator(f.url())
	if err := o.found(opts.tree); err != nil {
		return nil, err
	}
	r, err := f.measureCost(o)
	return []row{r}, err
}

func startEntries(opts options, n int) (entries, error) {
	if opts.daemons {
		return startDaemons(n)
	}
	return startNodes(opts, n)
}

// nodeCommand returns the command of one entry process.
func nodeCommand() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(self, nodeArgument), nil
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}
