package jsonc

import (
	"fmt"

	"github.com/tailscale/hujson"
)

// Change is one value that differs between two documents.
type Change struct {
	// Path is the path of the value, such as "limits.calls_per_second".
	Path string `json:"path"`
	// From is the old literal, or "" for an added value.
	From string `json:"from,omitempty"`
	// To is the new literal, or "" for a removed value.
	To string `json:"to,omitempty"`
}

// String returns the change as one line.
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

// Diff returns the changed and removed values in the order of from, then the added
// ones in the order of to. Differences in comments and layout are ignored. A nil
// document has no values.
func Diff(from, to *Document) []Change {
	old, current := from.values(), to.values()
	var changes []Change
	for _, path := range old.order {
		text, exists := current.literals[path]
		if !exists || text != old.literals[path] {
			changes = append(changes, Change{Path: path, From: old.literals[path], To: text})
		}
	}
	for _, path := range current.order {
		if _, known := old.literals[path]; !known {
			changes = append(changes, Change{Path: path, To: current.literals[path]})
		}
	}
	return changes
}

// values holds the literals of a document by path, and the paths in order of
// occurrence. An empty object or array counts as a literal.
type values struct {
	order    []string
	literals map[string]string
}

func (d *Document) values() values {
	v := values{literals: make(map[string]string)}
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
			v.collect(&m.Value, memberPath(path, memberName(m)))
		}
		if len(value.Members) == 0 {
			v.set(path, "{}")
		}
	case *hujson.Array:
		for i := range value.Elements {
			v.collect(&value.Elements[i], elementPath(path, i))
		}
		if len(value.Elements) == 0 {
			v.set(path, "[]")
		}
	case hujson.Literal:
		v.set(path, string(value))
	}
}

func (v *values) set(path, text string) {
	if _, exists := v.literals[path]; !exists {
		v.order = append(v.order, path)
	}
	v.literals[path] = text
}
