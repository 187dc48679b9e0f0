// Command capacity measures the slopes behind docs/CAPACITY.md: how memory,
// processor time and bytes grow with the size of each part. It uses the real
// packages in one process, with stand-ins where they meet the platform.
//
// Each slope is a straight line fitted through three sizes or more, in several
// rounds; the table gives the median slope with the lowest and highest round.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/integrii/flaggy"

	"chestnutrouter.example/chestnutrouter/bench/table"
)

// defaultRounds is how often each slope is measured.
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

// probe measures one quantity at one size.
type probe struct {
	name  string
	unit  string // of the slope
	sizes []int
	// value returns the quantity at a size.
	value func(size int) (float64, error)
}

// probes are all slopes, in the order of the page.
func probes() []probe {
	return slices.Concat(
		operationProbes(),
		routingProbes(),
		connectionProbes(),
		configurationProbes(),
		membershipProbes(),
		limitProbes(),
		callerProbes(),
	)
}

func measureAll(only string, rounds int) (table.Table, error) {
	t := table.Table{
		Title:  fmt.Sprintf("slopes, median of %d rounds, lowest and highest in brackets", rounds),
		Header: []string{"what", "slope", "unit", "at size 0", "at the sizes"},
	}
	for _, p := range probes() {
		if !strings.Contains(p.name, only) {
			continue
		}
		if err := p.measure(&t, rounds); err != nil {
			return t, fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return t, nil
}

func (p probe) measure(t *table.Table, rounds int) error {
	var slopes, bases []float64
	values := make([][]float64, len(p.sizes))
	for range rounds {
		var line fit
		for i, size := range p.sizes {
			v, err := p.value(size)
			if err != nil {
				return err
			}
			values[i] = append(values[i], v)
			line.add(float64(size), v)
		}
		slope, base := line.solve()
		slopes, bases = append(slopes, slope), append(bases, base)
	}
	var points []string
	for i, size := range p.sizes {
		points = append(points, fmt.Sprintf("%d: %s", size, number(median(values[i]))))
	}
	low, high := slices.Min(slopes), slices.Max(slopes)
	slope := fmt.Sprintf("%s (%s to %s)", number(median(slopes)), number(low), number(high))
	t.Add(p.name, slope, p.unit, number(median(bases)), strings.Join(points, ", "))
	return nil
}
