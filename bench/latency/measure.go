package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/table"
)

const (
	// reachCallers is how many callers call without pause to find the reach.
	reachCallers = 64
	warmupTime   = time.Second
)

// callerCounts are the numbers of callers at a time.
var callerCounts = []int{1, 8, 64}

// rateShares are the rates, as shares of the reach at that number of callers.
var rateShares = []float64{0.1, 0.25, 0.5}

// quantiles are those printed.
var quantiles = []float64{50, 90, 99, 99.9}

// measure starts the children that are wanted and returns the tables.
func measure(o options) ([]table.Table, error) {
	direct, through := []string{o.direct}, []string{o.through}
	if o.direct == "" {
		servers, err := startChild("--role", roleServers)
		if err != nil {
			return nil, err
		}
		defer servers.stop()
		direct = servers.addresses
	}
	if o.through == "" {
		arguments := []string{"--role", o.path, "--servers", strings.Join(direct, ",")}
		if o.profile != "" {
			arguments = append(arguments, "--profile", o.profile)
		}
		middle, err := startChild(arguments...)
		if err != nil {
			return nil, err
		}
		defer middle.stop()
		through = middle.addresses
	}
	return compare(o, newGenerator(direct, o.host), newGenerator(through, o.host))
}

// compare returns the table of added latencies.
func compare(o options, direct, through *generator) ([]table.Table, error) {
	t := table.Table{
		Title:  fmt.Sprintf("latency added by an entry (%s), ms: median of %d rounds of %v, lowest and highest round in brackets", o.path, o.rounds, o.time),
		Header: []string{"callers", "calls/s", "share of reach", "direct p50", "through p50", "direct p99", "through p99", "added p50", "added p90", "added p99", "added p99.9", "failed"},
	}
	for _, callers := range callerCounts {
		through.run(load{callers: callers, length: warmupTime})
		reach := through.run(load{callers: callers, length: o.time}).rate()
		for _, share := range rateShares {
			if err := compareAt(&t, o, direct, through, load{callers: callers, rate: reach * share, length: o.time}, share); err != nil {
				return nil, err
			}
		}
	}
	return []table.Table{t}, nil
}

// compareAt measures one load, direct and through in turn.
func compareAt(t *table.Table, o options, direct, through *generator, l load, share float64) error {
	var without, with []result
	for range o.rounds {
		without = append(without, direct.run(l))
		with = append(with, through.run(l))
	}
	added := make([]string, len(quantiles))
	for i, q := range quantiles {
		var differences []float64
		for round := range without {
			differences = append(differences, with[round].ms(q)-without[round].ms(q))
		}
		added[i] = spread(differences)
	}
	failed := int64(0)
	for _, r := range slices.Concat(without, with) {
		failed += r.failed
	}
	t.Add(l.callers, fmt.Sprintf("%.0f", l.rate), fmt.Sprintf("%.0f%%", 100*share),
		medianOf(without, 50), medianOf(with, 50), medianOf(without, 99), medianOf(with, 99),
		added[0], added[1], added[2], added[3], failed)
	return nil
}

func medianOf(results []result, q float64) string {
	var values []float64
	for _, r := range results {
		values = append(values, r.ms(q))
	}
	slices.Sort(values)
	return fmt.Sprintf("%.3f", values[len(values)/2])
}

// spread formats the median, the lowest and the highest.
func spread(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.3f (%.3f-%.3f)", values[len(values)/2], values[0], values[len(values)-1])
}
