package main

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/table"
)

const (
	// saturationCallers is the highest number of callers that call without pause to
	// measure the saturation throughput.
	saturationCallers = 64
	warmupTime        = time.Second
)

// callerCounts are the numbers of concurrent callers.
var callerCounts = []int{1, 8, 64}

// rateShares are the call rates, as shares of the saturation throughput with the same
// number of callers.
var rateShares = []float64{0.1, 0.25, 0.5}

// quantiles are the printed latency percentiles.
var quantiles = []float64{50, 90, 99, 99.9}

// measure starts the child processes that no address was given for and returns the
// tables.
func measure(o options) ([]table.Table, error) {
	direct, through, usageAddress := []string{o.direct}, o.through, ""
	if o.direct == "" {
		servers, err := startChild("--role", roleServers)
		if err != nil {
			return nil, err
		}
		defer servers.stop()
		direct = servers.addresses
	}
	if o.through == "" {
		arguments := []string{
			"--role", o.path, "--servers", strings.Join(direct, ","), "--gc-percent", strconv.Itoa(o.gcPercent),
		}
		if o.profile != "" {
			arguments = append(arguments, "--profile", o.profile)
		}
		entry, err := startChild(arguments...)
		if err != nil {
			return nil, err
		}
		defer entry.stop()
		through, usageAddress = entry.addresses[0], entry.addresses[1]
	}
	c := comparison{
		options:      o,
		direct:       newGenerator(direct, o.host),
		through:      newGenerator([]string{through}, o.host),
		usageAddress: usageAddress,
	}
	return []table.Table{c.run()}, nil
}

// comparison compares direct calls with calls through an entry.
type comparison struct {
	options
	direct, through *generator
	usageAddress    string // address that serves the entry's CPU time
}

// run returns the table of added latencies.
func (c comparison) run() table.Table {
	t := table.Table{
		Title: fmt.Sprintf("latency added by an entry (%s), ms: median of %d rounds of %v, lowest and highest round in brackets",
			c.path, c.rounds, c.time),
		Header: []string{
			"callers", "calls/s", "share of reach", "direct p50", "direct p99", "through p50", "through p99",
			"added p50", "added p90", "added p99", "added p99.9", "entry CPU us/call", "failed",
		},
	}
	if c.callers > 0 {
		l := load{callers: c.callers, rate: float64(c.rate), length: c.time}
		c.through.run(l)
		c.direct.run(l)
		c.runAt(&t, l, 0)
		return t
	}
	for _, callers := range callerCounts {
		c.through.run(load{callers: callers, length: warmupTime})
		c.direct.run(load{callers: callers, length: warmupTime})
		saturation := c.through.run(load{callers: callers, length: c.time}).rate()
		for _, share := range rateShares {
			c.runAt(&t, load{callers: callers, rate: saturation * share, length: c.time}, share)
		}
	}
	return t
}

// runAt measures one load, alternating direct and through.
func (c comparison) runAt(t *table.Table, l load, share float64) {
	var directResults, throughResults []result
	cpuTime := time.Duration(0)
	for range c.rounds {
		directResults = append(directResults, c.direct.run(l))
		before := cpuUsage(c.usageAddress)
		throughResults = append(throughResults, c.through.run(l))
		cpuTime += cpuUsage(c.usageAddress) - before
	}
	added := make([]string, len(quantiles))
	for i, q := range quantiles {
		var differences []float64
		for round := range directResults {
			differences = append(differences, throughResults[round].ms(q)-directResults[round].ms(q))
		}
		added[i] = spread(differences)
	}
	calls, failed := int64(0), int64(0)
	for i := range throughResults {
		calls += throughResults[i].latencies.TotalCount()
		failed += throughResults[i].failed + directResults[i].failed
	}
	shareText := "-"
	if share > 0 {
		shareText = fmt.Sprintf("%.0f%%", 100*share)
	}
	t.Add(l.callers, fmt.Sprintf("%.0f", l.rate), shareText,
		medianOf(directResults, 50), medianOf(directResults, 99), medianOf(throughResults, 50), medianOf(throughResults, 99),
		added[0], added[1], added[2], added[3],
		fmt.Sprintf("%.0f", float64(cpuTime.Microseconds())/float64(calls)), failed)
}

func medianOf(results []result, q float64) string {
	var values []float64
	for _, r := range results {
		values = append(values, r.ms(q))
	}
	slices.Sort(values)
	return fmt.Sprintf("%.3f", values[len(values)/2])
}

// spread formats the median, the lowest and the highest value.
func spread(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.3f (%.3f-%.3f)", values[len(values)/2], values[0], values[len(values)-1])
}
