// Package table prints the results of the benchmarks as Markdown or JSON.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Table is one printed table.
type Table struct {
	// Title is printed above the table.
	Title string `json:"title"`
	// Header holds the column titles.
	Header []string `json:"header"`
	// Rows holds the cells. Each row has as many as the header.
	Rows [][]string `json:"rows"`
}

// Add appends a row; each cell is formatted as fmt.Sprint does.
func (t *Table) Add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.Rows = append(t.Rows, row)
}

// Write prints the tables, as JSON or as Markdown.
func Write(w io.Writer, tables []Table, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(tables)
	}
	for _, t := range tables {
		if _, err := fmt.Fprintln(w, t.markdown()); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) markdown() string {
	ruleCells := make([]string, len(t.Header))
	for i := range ruleCells {
		ruleCells[i] = "---"
	}
	lines := []string{"", "### " + t.Title, "", markdownRow(t.Header), markdownRow(ruleCells)}
	for _, r := range t.Rows {
		lines = append(lines, markdownRow(r))
	}
	return strings.Join(lines, "\n")
}

func markdownRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }
