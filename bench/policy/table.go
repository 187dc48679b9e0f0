package main

import (
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/bench/simulator"
)

// Table is one printed table.
type Table struct {
	Title  string     `json:"title"`
	Header []string   `json:"header"`
	Rows   [][]string `json:"rows"`
}

// UnknownTableError reports that no table has the given name.
type UnknownTableError struct{ Name string }

// Error returns the unknown name and the names of the tables.
func (e *UnknownTableError) Error() string {
	return fmt.Sprintf("no table %q: use quick, load, faults, work, shared, flood or all", e.Name)
}

// maxParallelRuns bounds the concurrent runs, to leave most of the machine to other
// processes.
const maxParallelRuns = 4

// build runs the scenarios of the named table and returns the tables.
func build(name string, seed uint64, seconds int) ([]Table, error) {
	length := time.Duration(seconds) * time.Second
	switch name {
	case "load":
		return []Table{loadTable(seed, length)}, nil
	case "quick":
		return []Table{quickTable(seed, length)}, nil
	case "faults":
		return []Table{faultTable(seed, length)}, nil
	case "work":
		return []Table{serviceTimeTable(seed, length)}, nil
	case "shared":
		return []Table{sharedTable(seed, length)}, nil
	case "flood":
		return floodTables(seed), nil
	case "all":
		tables := []Table{loadTable(seed, length), faultTable(seed, length), serviceTimeTable(seed, length), sharedTable(seed, length)}
		return append(tables, floodTables(seed)...), nil
	}
	return nil, &UnknownTableError{Name: name}
}

// runAll runs the scenarios, several at a time, and returns the results in order.
func runAll(scenarios []simulator.Scenario) []*simulator.Result {
	results := make([]*simulator.Result, len(scenarios))
	slots := make(chan struct{}, min(maxParallelRuns, runtime.GOMAXPROCS(0)))
	var group sync.WaitGroup
	for i, s := range scenarios {
		slots <- struct{}{}
		group.Go(func() {
			results[i] = simulator.Run(s)
			<-slots
		})
	}
	group.Wait()
	return results
}

// printText prints the tables in Markdown.
func printText(w io.Writer, tables []Table) error {
	for _, t := range tables {
		lines := []string{"", "### " + t.Title, "", row(t.Header), row(ruleCells(len(t.Header)))}
		for _, r := range t.Rows {
			lines = append(lines, row(r))
		}
		if _, err := fmt.Fprintln(w, strings.Join(lines, "\n")); err != nil {
			return err
		}
	}
	return nil
}

func row(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }

func ruleCells(n int) []string {
	cells := make([]string, n)
	for i := range cells {
		cells[i] = "---"
	}
	return cells
}

func ms(v float64) string { return fmt.Sprintf("%.1f", v) }

func percent(part, whole int64) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}

// refusedCell formats the refused share of the offered calls with its reasons.
func refusedCell(f *simulator.RankFigures) string {
	text := percent(f.Refused, f.Offered)
	if f.Refused == 0 {
		return text
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(f.Reasons)) {
		parts = append(parts, string(reason)+" "+percent(f.Reasons[reason], f.Offered))
	}
	return text + ": " + strings.Join(parts, ", ")
}
