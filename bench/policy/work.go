package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

// workTable shows how far the tail is the calls' own and what hedging gains.
func workTable(seed uint64, length time.Duration) Table {
	t := Table{
		Title: fmt.Sprintf("Lookups by kind of work, 19 entries, seed %d", seed),
		Header: []string{
			"work", "load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "served/s",
			"refused", "failed", "hedges", "probes/s", "measuring B/s",
		},
	}
	works := []struct {
		name string
		work simulator.ServiceTime
	}{
		{"exponential, of the call", simulator.Exponential},
		{"5 to 15 ms, of the call", simulator.Uniform},
		{"exponential, of the attempt", simulator.ExponentialPerAttempt},
	}
	var scenarios []simulator.Scenario
	var names []string
	for _, w := range works {
		for _, load := range []float64{0.7, 0.85, 0.95} {
			for _, s := range compared(seed, length) {
				s.ServiceTime, s.Load = w.work, load
				scenarios = append(scenarios, s)
				names = append(names, w.name)
			}
		}
	}
	for i, r := range runAll(scenarios) {
		s := scenarios[i]
		policy := string(s.Policy)
		if s.NoHedges {
			policy += ", no hedges"
		}
		cells := []string{names[i], fmt.Sprintf("%.0f%%", 100*s.Load), policy}
		t.Rows = append(t.Rows, append(cells, lookupCells(r, length)...))
	}
	return t
}

// compared are the best baseline, the product with and without hedges, and the bound.
func compared(seed uint64, length time.Duration) []simulator.Scenario {
	least, plain, hedged, bound := base(seed, length), base(seed, length), base(seed, length), base(seed, length)
	least.Policy = simulator.LeastRequests
	plain.NoHedges = true
	bound.Policy = simulator.GlobalLeastRequests
	return []simulator.Scenario{least, plain, hedged, bound}
}
