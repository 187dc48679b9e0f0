package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

// Times of a flood run, measured from the end of the warm-up.
const (
	floodFrom  = 8 * time.Second
	floodUntil = 16 * time.Second
	floodEnd   = 28 * time.Second
)

// rankOrder is the order of the rows, highest priority first.
var rankOrder = []string{simulator.Payments, simulator.Lookups, simulator.Uploads}

// recoveryCell formats the time to recover, which only the last phase has.
func recoveryCell(r *simulator.Result, p simulator.Phase, rank string) string {
	if p != simulator.After {
		return "-"
	}
	after := r.Recovery(rank)
	if after < 0 {
		return "not in the run"
	}
	return after.String()
}

// floodTables returns one table for each flooded rank. They show the service that each
// rank gets during the flood.
func floodTables(seed uint64) []Table {
	var tables []Table
	for _, rank := range []string{simulator.Uploads, simulator.Lookups, simulator.Payments} {
		tables = append(tables, floodTable(seed, rank))
	}
	return tables
}

func floodTable(seed uint64, flooded string) Table {
	t := Table{
		Title:  fmt.Sprintf("Flood of %s at 3x capacity over a base load of 60%%, 19 entries, seed %d", flooded, seed),
		Header: []string{"phase", "rank", "offered/s", "served/s", "share of ended", "p50 ms", "p99 ms", "refused", "failed", "recovered after"},
	}
	s := baseScenario(seed, floodEnd)
	s.Load = 0.6
	s.Mix = map[string]float64{simulator.Payments: 0.1, simulator.Lookups: 0.85, simulator.Uploads: 0.05}
	s.Flood = simulator.Flood{Rank: flooded, Load: 3, From: floodFrom, Until: floodUntil}
	baseline := s
	baseline.Policy = simulator.LeastRequests
	results := runAll([]simulator.Scenario{s, baseline})
	r := results[0]
	lengths := []time.Duration{floodFrom, floodUntil - floodFrom, floodEnd - floodUntil}
	for p, name := range []string{"before", "during", "after"} {
		rows := phaseRows(name, r.Ranks[p], lengths[p])
		for i, rank := range rankOrder {
			rows[i] = append(rows[i], recoveryCell(r, simulator.Phase(p), rank))
		}
		t.Rows = append(t.Rows, rows...)
	}
	for _, cells := range phaseRows("during, "+string(simulator.LeastRequests), results[1].Ranks[simulator.During], lengths[1]) {
		t.Rows = append(t.Rows, append(cells, "-"))
	}
	return t
}

func phaseRows(phase string, ranks map[string]*simulator.RankFigures, length time.Duration) [][]string {
	var served int64
	for _, f := range ranks {
		served += f.ServedInPhase
	}
	var rows [][]string
	for _, rank := range rankOrder {
		f := ranks[rank]
		rows = append(rows, []string{
			phase, rank,
			fmt.Sprintf("%.0f", float64(f.Offered)/length.Seconds()),
			fmt.Sprintf("%.0f", float64(f.Served)/length.Seconds()),
			percent(f.ServedInPhase, served),
			ms(f.Quantile(50)), ms(f.Quantile(99)),
			refusedCell(f), percent(f.Failed, f.Offered),
		})
	}
	return rows
}
