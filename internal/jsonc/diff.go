package jsonc

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// Change is one value that differs between two documents.
type Change struct {
	// Path is the place of the value, such as "limits.calls_per_second".
	Path string `json:"path"`
	// From is the old literal, and "" where there was none.
	From string `json:"from,omitempty"`
	// To is the new literal, and "" where there is none.
	To string `json:"to,omitempty"`
}

// String returns the change in one line.
func (c Change) String() string {
	switch {
	case c.From == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.To)
	case c.To == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.From)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.From, c.To)
	}
}

// Diff lists the values that differ, in the order of the documents. Comments
// and layout do not count. Either document may be nil, which has no values.
func Diff(from, to *Document) []Change {
	old, current := from.values(), to.values()
	var changes []Change
	for _, path := range old.order {
		text, kept := current.text[path]
		if !kept || text != old.text[path] {
			changes = append(changes, Change{Path: path, From: old.text[path], To: text})
		}
	}
	for _, path := range current.order {
		if _, known := old.text[path]; !known {
			changes = append(changes, Change{Path: path, To: current.text[path]})
		}
	}
	return changes
}

// values are the literals of a document by path, in order of occurrence. An
// empty object or array counts as a literal.
type values struct {
	order []string
	text  map[string]string
}

func (d *Document) values() values {
	v := values{text: make(map[string]string)}
	if d != nil {
		v.collect(&d.root, "")
	}
	return v
}

func (v *values) collect(at *hujson.Value, path string) {
	switch value := at.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			m := &value.Members[i]
			v.collect(&m.Value, join(path, memberName(m)))
		}
		if len(value.Members) == 0 {
			v.set(path, "{}")
		}
	case *hujson.Array:
		for i := range value.Elements {
			v.collect(&value.Elements[i], index(path, i))
		}
		if len(value.Elements) == 0 {
			v.set(path, "[]")
		}
	case hujson.Literal:
		v.set(path, string(value))
	}
}

func (v *values) set(path, text string) {
	if _, again := v.text[path]; !again {
		v.order = append(v.order, path)
	}
	v.text[path] = text
}
