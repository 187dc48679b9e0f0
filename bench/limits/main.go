// Command limits measures the distribution of global limits over entries: whether the
// limit holds in every second, which share of it can be used when the load is uneven,
// and what borrowing costs. It runs the limiters of all entries in one process, in
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
		entryCounts = []int{entries}
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

// scenarios returns the scenarios of the table, one for each row.
func scenarios() []scenario {
	var all []scenario
	for _, entries := range entryCounts {
		all = append(
			all,
			scenario{name: "even callers", entries: entries, limit: 1000, offered: 1500, busyEntries: entries},
			scenario{name: "all callers at one entry", entries: entries, limit: 1000, offered: 1500, busyEntries: 1},
			scenario{name: "callers at two entries", entries: entries, limit: 1000, offered: 1500, busyEntries: 2},
			scenario{name: "limit below the number of entries, one entry", entries: entries, limit: 5, offered: 20, busyEntries: 1},
			scenario{name: "one entry, cut off from the others after a quarter", entries: entries, limit: 1000, offered: 1500, busyEntries: 1, partition: true},
		)
	}
	return all
}

// entryCounts are the numbers of entries that are measured.
var entryCounts = []int{13, 19, 61}

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
		if r.maxPerSecond > s.limit {
			kept = "NO"
		}
		t.Add(s.entries, s.name, s.limit, s.offered, r.maxPerSecond, kept, percent(r.firstSecondUse), percent(r.lastHalfUse),
			fmt.Sprintf("%.0f", r.busyBytes), fmt.Sprintf("%.0f", r.otherBytes), fmt.Sprintf("%.0f", r.requests))
	}
	return []table.Table{t}, nil
}

// length returns how long the scenario runs. With a partition it is twice as long, as
// the loans of the partitioned entry have to expire.
func (s scenario) length(base time.Duration) time.Duration {
	if s.partition {
		return 2 * base
	}
	return base
}

func percent(v float64) string { return fmt.Sprintf("%.0f%%", 100*v) }
