package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

// faultCase is one row group of the fault table.
type faultCase struct {
	name   string
	change func(*simulator.Scenario)
}

var faultCases = []faultCase{
	{"none", func(*simulator.Scenario) {}},
	{"uneven callers", func(s *simulator.Scenario) { s.SkewedCallers = true }},
	{"quiet neighbours", func(s *simulator.Scenario) { s.Faults.NoRandomSlowdown = true }},
	{"zone 0 slowed 2x, 70% load", func(s *simulator.Scenario) { s.Faults.SlowZoneFactor, s.Load = 2, 0.7 }},
	{"one server fails fast", func(s *simulator.Scenario) { s.Faults.FailFast = true }},
	{"reports 50 ms old", func(s *simulator.Scenario) { s.Faults.ReportAge = 50 * time.Millisecond }},
	{"reports 200 ms old", func(s *simulator.Scenario) { s.Faults.ReportAge = 200 * time.Millisecond }},
	{"reports 2 s old", func(s *simulator.Scenario) { s.Faults.ReportAge = 2 * time.Second }},
	{"reports say idle", func(s *simulator.Scenario) { s.Faults.ReportIdle = true }},
	{"no reports", func(s *simulator.Scenario) { s.Faults.NoReports = true }},
	{"restart every 5 s", func(s *simulator.Scenario) { s.Faults.Restarts = 5 * time.Second }},
	{"reports say idle, 95% load", func(s *simulator.Scenario) { s.Faults.ReportIdle, s.Load = true, 0.95 }},
	{"no reports, 95% load", func(s *simulator.Scenario) { s.Faults.NoReports, s.Load = true, 0.95 }},
	{"no reports, uneven callers", func(s *simulator.Scenario) { s.Faults.NoReports, s.SkewedCallers = true, true }},
	{"one zone", func(s *simulator.Scenario) { s.Zones = 1 }},
	{"one zone, no reports", func(s *simulator.Scenario) { s.Zones, s.Faults.NoReports = 1, true }},
	{"one zone, reports 2 s old", func(s *simulator.Scenario) { s.Zones, s.Faults.ReportAge = 1, 2*time.Second }},
	{"no hedges", func(s *simulator.Scenario) { s.NoHedges = true }},
}

// faultTable compares the product with the best baseline under faults.
func faultTable(seed uint64, length time.Duration) Table {
	t := Table{
		Title: fmt.Sprintf("Lookups under faults, 85%% load, 19 entries, seed %d", seed),
		Header: []string{
			"fault", "policy", "p50 ms", "p99 ms", "p99.9 ms", "served/s",
			"refused", "failed", "hedges", "probes/s", "measuring B/s", "payments failed",
		},
	}
	var scenarios []simulator.Scenario
	var names []string
	for _, c := range faultCases {
		for _, p := range []simulator.Policy{simulator.LeastRequests, simulator.Product} {
			s := baseScenario(seed, length)
			s.Policy = p
			c.change(&s)
			scenarios = append(scenarios, s)
			names = append(names, c.name)
		}
	}
	for i, r := range runAll(scenarios) {
		cells := []string{names[i], string(scenarios[i].Policy)}
		cells = append(cells, lookupCells(r, length)...)
		payments := r.Total(simulator.Payments)
		t.Rows = append(t.Rows, append(cells, percent(payments.Failed, payments.Offered)))
	}
	return t
}
