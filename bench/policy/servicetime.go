package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

// serviceTimeTable shows how much of the tail latency comes from the service times of
// the calls themselves and what hedging gains.
func serviceTimeTable(seed uint64, length time.Duration) Table {
	t := Table{
		Title: fmt.Sprintf("Lookups by kind of work, 19 entries, seed %d", seed),
		Header: []string{
			"work", "load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "served/s",
			"refused", "failed", "hedges", "probes/s", "measuring B/s",
		},
	}
	kinds := []struct {
		name         string
		distribution simulator.ServiceTime
	}{
		{"exponential, of the call", simulator.Exponential},
		{"5 to 15 ms, of the call", simulator.Uniform},
		{"exponential, of the attempt", simulator.ExponentialPerAttempt},
	}
	var scenarios []simulator.Scenario
	var names []string
	for _, k := range kinds {
		for _, load := range []float64{0.7, 0.85, 0.95} {
			for _, s := range hedgeScenarios(seed, length) {
				s.ServiceTime, s.Load = k.distribution, load
				scenarios = append(scenarios, s)
				names = append(names, k.name)
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

// hedgeScenarios returns the best baseline, the product without and with hedging, and
// the bound with global knowledge.
func hedgeScenarios(seed uint64, length time.Duration) []simulator.Scenario {
	baseline, unhedged, hedged, bound := baseScenario(seed, length), baseScenario(seed, length), baseScenario(seed, length), baseScenario(seed, length)
	baseline.Policy = simulator.LeastRequests
	unhedged.NoHedges = true
	bound.Policy = simulator.GlobalLeastRequests
	return []simulator.Scenario{baseline, unhedged, hedged, bound}
}
