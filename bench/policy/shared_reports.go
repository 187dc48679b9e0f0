package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

// loadPattern is one row group of the table on shared load reports.
type loadPattern struct {
	name   string
	change func(*simulator.Scenario)
}

// loadPatterns are loads of busy production days. All have noisy neighbours whose
// slowdown is redrawn every 150 ms; each adds its own change.
var loadPatterns = []loadPattern{
	{"light load", func(s *simulator.Scenario) { s.Load = 0.25 }},
	{"half load", func(s *simulator.Scenario) { s.Load = 0.4 }},
	{"heavy load", func(s *simulator.Scenario) { s.Load = 0.55 }},
	{"past capacity", func(s *simulator.Scenario) { s.Load = 0.8 }},
	{"a third of the servers slowed 12x", func(s *simulator.Scenario) { s.Load, s.Faults.SlowShare = 0.35, 0.33 }},
	{"flood of lookups", func(s *simulator.Scenario) {
		s.Load = 0.4
		s.Flood = simulator.Flood{Rank: simulator.Lookups, Load: 0.5, From: 0, Until: s.Length}
	}},
	{"uneven callers", func(s *simulator.Scenario) { s.Load, s.SkewedCallers = 0.45, true }},
}

// sharedTable compares the baselines and the product without and with shared load
// reports, by the calls within their latency target.
func sharedTable(seed uint64, length time.Duration) Table {
	t := Table{
		Title:  fmt.Sprintf("Calls within their target, neighbours slow servers fivefold, 90 ms of work, 19 entries, 33 servers, seed %d", seed),
		Header: []string{"pattern", "policy", "lookups in target", "payments in target", "lookups p50 ms", "lookups p99 ms", "refused", "failed", "probes/s"},
	}
	policies := []simulator.Policy{simulator.Random, simulator.PowerOfTwoChoices, simulator.LeastRequests, simulator.Product, simulator.ProductShared, simulator.GlobalLeastRequests}
	var scenarios []simulator.Scenario
	var names []string
	for _, c := range loadPatterns {
		for _, p := range policies {
			s := baseScenario(seed, length)
			s.Policy, s.Servers, s.Scale, s.ServiceTime = p, 33, 9, simulator.Uniform
			s.Mix = map[string]float64{simulator.Payments: 0.3, simulator.Lookups: 0.7}
			s.Faults = simulator.Faults{NoRandomSlowdown: true, PeriodicSlowdown: true}
			c.change(&s)
			scenarios = append(scenarios, s)
			names = append(names, c.name)
		}
	}
	for i, r := range runAll(scenarios) {
		lookups, payments := r.Total(simulator.Lookups), r.Total(simulator.Payments)
		t.Rows = append(t.Rows, []string{
			names[i], string(scenarios[i].Policy),
			percent(lookups.WithinTarget, lookups.Offered), percent(payments.WithinTarget, payments.Offered),
			ms(lookups.Quantile(50)), ms(lookups.Quantile(99)),
			percent(lookups.Refused, lookups.Offered), percent(lookups.Failed, lookups.Offered),
			fmt.Sprintf("%.0f", float64(r.Probes)/length.Seconds()),
		})
	}
	return t
}
