package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

var allPolicies = []simulator.Policy{
	simulator.Random, simulator.RoundRobin, simulator.PowerOfTwoChoices, simulator.LeastRequests, simulator.Product, simulator.GlobalLeastRequests,
}

// baseScenario returns the scenario of the reference shop service.
func baseScenario(seed uint64, length time.Duration) simulator.Scenario {
	return simulator.Scenario{
		Policy: simulator.Product, Seed: seed, Entries: 19, Servers: 30, Zones: 4, Load: 0.85,
		Mix:    map[string]float64{simulator.Payments: 0.1, simulator.Lookups: 0.9},
		WarmUp: 3 * time.Second, Length: length,
	}
}

// loadTable compares all policies from half load to overload.
func loadTable(seed uint64, length time.Duration) Table {
	return loadTableFor(seed, length, []int{13, 19}, allPolicies)
}

// quickTable shows only the product, for a quick check of a change.
func quickTable(seed uint64, length time.Duration) Table {
	return loadTableFor(seed, length, []int{19}, []simulator.Policy{simulator.Product})
}

func loadTableFor(seed uint64, length time.Duration, entryCounts []int, policies []simulator.Policy) Table {
	t := Table{
		Title: fmt.Sprintf("Lookups by load, noisy neighbours, seed %d", seed),
		Header: []string{
			"entries", "load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "served/s",
			"refused", "failed", "hedges", "probes/s", "measuring B/s",
		},
	}
	var scenarios []simulator.Scenario
	for _, entries := range entryCounts {
		for _, load := range []float64{0.5, 0.7, 0.85, 0.95, 1.5} {
			for _, p := range policies {
				s := baseScenario(seed, length)
				s.Entries, s.Load, s.Policy = entries, load, p
				scenarios = append(scenarios, s)
			}
		}
	}
	for i, r := range runAll(scenarios) {
		s := scenarios[i]
		cells := []string{fmt.Sprint(s.Entries), fmt.Sprintf("%.0f%%", 100*s.Load), string(s.Policy)}
		t.Rows = append(t.Rows, append(cells, lookupCells(r, length)...))
	}
	return t
}

func lookupCells(r *simulator.Result, length time.Duration) []string {
	f := r.Total(simulator.Lookups)
	return []string{
		ms(f.Quantile(50)), ms(f.Quantile(99)), ms(f.Quantile(99.9)),
		fmt.Sprintf("%.0f", float64(f.Served)/length.Seconds()),
		refusedCell(f), percent(f.Failed, f.Offered), percent(r.Hedges, f.Offered),
		fmt.Sprintf("%.0f", float64(r.Probes)/length.Seconds()),
		fmt.Sprintf("%.0f", float64(r.Bytes)/length.Seconds()),
	}
}
