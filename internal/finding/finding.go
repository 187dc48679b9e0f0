// Package finding describes problems of a document with their positions, so that
// all problems of a document can be reported together.
package finding

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Severity says whether a finding keeps a document from being used.
type Severity string

const (
	// Error is the severity of a problem that has to be solved before the document is used.
	Error Severity = "error"
	// Warning is the severity of a value that is probably not what its author means.
	Warning Severity = "warning"
)

// Finding is one problem of a document.
type Finding struct {
	// Severity is empty where all findings of a check are errors.
	Severity Severity `json:"severity,omitempty"`
	// File is the name of the document, usually a file name.
	File string `json:"file"`
	// Line and Column start at one; Column counts bytes. Both are zero if the
	// problem concerns the document as a whole.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Path is the path of the value in the document, such as "routes[2].rank".
	Path string `json:"path,omitempty"`
	// Message describes the problem and, where it helps, what is expected.
	Message string `json:"message"`
	// Remedy says what to do, if the message does not.
	Remedy string `json:"remedy,omitempty"`
}

// String returns "file:line:column: severity: path: message".
func (f Finding) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d:%d", f.Line, f.Column)
	}
	b.WriteString(": ")
	if f.Severity != "" {
		b.WriteString(string(f.Severity) + ": ")
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// Position returns the line and the column of an offset in a document, as a Finding has them. An
// offset beyond the document is taken as its end.
func Position(document []byte, offset int) (line, column int) {
	before := document[:min(max(offset, 0), len(document))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// List is a list of findings. An empty List means that there are no problems.
type List []Finding

// Error returns the findings, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if the list is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Sorted returns the findings without duplicates, sorted by severity (errors first), file, line,
// column, path and message.
func (l List) Sorted() List {
	sorted := slices.Clone(l)
	slices.SortStableFunc(sorted, compare)
	return slices.Compact(sorted)
}

func compare(a, b Finding) int {
	return cmp.Or(
		cmp.Compare(a.Severity, b.Severity), // "error" is less than "warning"
		cmp.Compare(a.File, b.File),
		cmp.Compare(a.Line, b.Line),
		cmp.Compare(a.Column, b.Column),
		cmp.Compare(a.Path, b.Path),
		cmp.Compare(a.Message, b.Message),
	)
}
