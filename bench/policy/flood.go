package main

import (
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/engine"
)

// Times of a flood run after the warm-up.
const (
	floodFrom  = 8 * time.Second
	floodUntil = 16 * time.Second
	floodEnd   = 28 * time.Second
)

// floodTables shows what each rank keeps in a flood of another.
func floodTables(seed uint64) []Table {
	var tables []Table
	for _, rank := range []string{engine.Uploads, engine.Lookups, engine.Payments} {
		tables = append(tables, floodTable(seed, rank))
	}
	return tables
}

func floodTable(seed uint64, flooded string) Table {
	t := Table{
		Title:  fmt.Sprintf("Flood of %s at 3x capacity over a base load of 60%%, 19 entries, seed %d", flooded, seed),
		Header: []string{"phase", "rank", "offered/s", "served/s", "share of ended", "p50 ms", "p99 ms", "refused", "failed"},
	}
	s := base(seed, floodEnd)
	s.Load = 0.6
	s.Mix = map[string]float64{engine.Payments: 0.1, engine.Lookups: 0.85, engine.Uploads: 0.05}
	s.Flood = engine.Flood{Rank: flooded, Load: 3, From: floodFrom, Until: floodUntil}
	r := engine.Run(s)
	lengths := []time.Duration{floodFrom, floodUntil - floodFrom, floodEnd - floodUntil}
	for p, name := range []string{"before", "during", "after"} {
		t.Rows = append(t.Rows, phaseRows(name, r.Ranks[p], lengths[p])...)
	}
	return t
}

func phaseRows(phase string, ranks map[string]*engine.RankFigures, length time.Duration) [][]string {
	var served int64
	for _, f := range ranks {
		served += f.Ended
	}
	var rows [][]string
	for _, rank := range []string{engine.Payments, engine.Lookups, engine.Uploads} {
		f := ranks[rank]
		rows = append(rows, []string{
			phase, rank,
			fmt.Sprintf("%.0f", float64(f.Offered)/length.Seconds()),
			fmt.Sprintf("%.0f", float64(f.Served)/length.Seconds()),
			percent(f.Ended, served),
			ms(f.Quantile(50)), ms(f.Quantile(99)),
			percent(f.Refused, f.Offered), percent(f.Failed, f.Offered),
		})
	}
	return rows
}
