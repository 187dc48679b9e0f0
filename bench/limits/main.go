// Command limits measures the escrow of voted limits: whether the limit is kept
// in every second, which share of it can be used when callers are uneven, and
// what borrowing costs. It runs the ledgers of all entries in one process, in
// real time, over net/rpc on loopback.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/bench/table"
)

func main() {
	asJSON := false
	length := 12 * time.Second
	flaggy.SetName("limits")
	flaggy.SetDescription("voted limits over many entries")
	flaggy.Bool(&asJSON, "", "json", "print JSON in place of text")
	flaggy.Duration(&length, "", "time", "length of one scenario")
	entries := 0
	flaggy.Int(&entries, "", "entries", "measure only this number of entries")
	flaggy.Parse()
	if entries > 0 {
		sizes = []int{entries}
	}
	tables, err := measure(length)
	if err == nil {
		err = table.Write(os.Stdout, tables, asJSON)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "limits:", err)
		os.Exit(1)
	}
}

// scenarios are the rows of the table.
func scenarios() []scenario {
	var all []scenario
	for _, entries := range sizes {
		all = append(
			all,
			scenario{name: "even callers", entries: entries, limit: 1000, offered: 1500, busy: entries},
			scenario{name: "all callers at one entry", entries: entries, limit: 1000, offered: 1500, busy: 1},
			scenario{name: "callers at two entries", entries: entries, limit: 1000, offered: 1500, busy: 2},
			scenario{name: "limit below the number of entries, one entry", entries: entries, limit: 5, offered: 20, busy: 1},
			scenario{name: "one entry, cut off from the others after a quarter", entries: entries, limit: 1000, offered: 1500, busy: 1, cut: true},
		)
	}
	return all
}

// sizes are the numbers of entries.
var sizes = []int{13, 19, 61}

func measure(length time.Duration) ([]table.Table, error) {
	t := table.Table{
		Title: fmt.Sprintf("voted limits, %v each", length),
		Header: []string{
			"entries", "scenario", "limit calls/s", "offered calls/s", "most admitted in any second", "kept",
			"used of the limit, first second", "used, last half", "borrowing B/s at a busy entry", "B/s at each other entry", "requests/s in all",
		},
	}
	for _, s := range scenarios() {
		r, err := s.run(s.length(length))
		if err != nil {
			return nil, err
		}
		kept := "yes"
		if r.most > s.limit {
			kept = "NO"
		}
		t.Add(s.entries, s.name, s.limit, s.offered, r.most, kept, percent(r.first), percent(r.last),
			fmt.Sprintf("%.0f", r.busyBytes), fmt.Sprintf("%.0f", r.otherBytes), fmt.Sprintf("%.0f", r.requests))
	}
	return []table.Table{t}, nil
}

// length returns how long the scenario runs: the loans of a cut off entry have
// to run out.
func (s scenario) length(usual time.Duration) time.Duration {
	if s.cut {
		return 2 * usual
	}
	return usual
}

func percent(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }
