// Command capacity measures the growth rates in docs/CAPACITY.md: how memory, CPU time
// and bytes sent grow with the numbers of entries, backend servers, services, limits,
// connections and so on. It runs the packages of the product in one process, with
// stand-ins for the platform.
//
// Each growth rate is the slope of a line fitted through three or more sizes, in
// several rounds. The table lists the median slope with the lowest and highest round.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/bench/table"
)

// defaultRounds is how often each slope is measured without --rounds.
const defaultRounds = 3

func main() {
	asJSON := false
	rounds := defaultRounds
	only := ""
	flaggy.SetName("capacity")
	flaggy.SetDescription("slopes of memory, processor time and bytes")
	flaggy.Bool(&asJSON, "", "json", "print JSON in place of text")
	flaggy.Int(&rounds, "", "rounds", "measurements of each slope")
	flaggy.String(&only, "", "only", "measure only slopes whose name contains this")
	flaggy.Parse()
	result, err := measureAll(only, rounds)
	if err == nil {
		err = table.Write(os.Stdout, []table.Table{result}, asJSON)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

// measurement describes one quantity that is measured at several sizes.
type measurement struct {
	name  string
	unit  string // of the slope
	sizes []int
	// value returns the quantity at a size.
	value func(size int) (float64, error)
}

// measurements returns all measurements, in the order of docs/CAPACITY.md.
func measurements() []measurement {
	return slices.Concat(
		operationMeasurements(),
		routingMeasurements(),
		connectionMeasurements(),
		configurationMeasurements(),
		membershipMeasurements(),
		limitMeasurements(),
		callerMeasurements(),
	)
}

func measureAll(only string, rounds int) (table.Table, error) {
	t := table.Table{
		Title:  fmt.Sprintf("slopes, median of %d rounds, lowest and highest in brackets", rounds),
		Header: []string{"what", "slope", "unit", "at size 0", "at the sizes"},
	}
	for _, m := range measurements() {
		if !strings.Contains(m.name, only) {
			continue
		}
		if err := m.measure(&t, rounds); err != nil {
			return t, fmt.Errorf("%s: %w", m.name, err)
		}
	}
	return t, nil
}

func (m measurement) measure(t *table.Table, rounds int) error {
	var slopes, intercepts []float64
	values := make([][]float64, len(m.sizes))
	for range rounds {
		var line linearFit
		for i, size := range m.sizes {
			v, err := m.value(size)
			if err != nil {
				return err
			}
			values[i] = append(values[i], v)
			line.add(float64(size), v)
		}
		slope, intercept := line.solve()
		slopes, intercepts = append(slopes, slope), append(intercepts, intercept)
	}
	var points []string
	for i, size := range m.sizes {
		points = append(points, fmt.Sprintf("%d: %s", size, formatNumber(median(values[i]))))
	}
	low, high := slices.Min(slopes), slices.Max(slopes)
	slope := fmt.Sprintf("%s (%s to %s)", formatNumber(median(slopes)), formatNumber(low), formatNumber(high))
	t.Add(m.name, slope, m.unit, formatNumber(median(intercepts)), strings.Join(points, ", "))
	return nil
}
