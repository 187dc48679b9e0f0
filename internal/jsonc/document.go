// Package jsonc decodes JSON with comments strictly and reports every problem
// with its place: unknown fields, wrong types, duplicate names, missing fields
// and numbers out of range.
//
// Field tags: `json:"name"` names the field; `required:"true"` demands it;
// `min:"1"` and `max:"9"` bound a number, inclusively. Fields without a json
// tag are ignored. A null is a wrong type: a field without a value is left out.
package jsonc

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"chestnutrouter.example/chestnutrouter/internal/finding"
)

// MaxBytes is the size of the largest document. It bounds the recursion of the
// parser, which follows the nesting of the document.
const MaxBytes = 64 << 10

// Document is a parsed document that knows the place of each of its values.
// It is immutable and safe for concurrent use.
type Document struct {
	file string
	data []byte
	root hujson.Value
}

// Decode parses the document and stores it in v, a pointer to a struct. It
// returns all findings, and v is filled as far as the document is valid.
func Decode(file string, data []byte, v any) finding.List {
	doc, findings := Parse(file, data)
	if doc == nil {
		return findings
	}
	return append(findings, doc.Decode(v)...).Sorted()
}

// Parse parses the document. On a syntax error the Document is nil. Duplicate
// names are findings of the syntax here, as no type is needed to see them.
func Parse(file string, data []byte) (*Document, finding.List) {
	if len(data) > MaxBytes {
		message := fmt.Sprintf("document of %d bytes is larger than %d", len(data), MaxBytes)
		return nil, finding.List{{File: file, Message: message}}
	}
	data = bytes.Clone(data)
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, finding.List{syntaxFinding(file, err)}
	}
	doc := &Document{file: file, data: data, root: root}
	return doc, doc.duplicates(&doc.root, "")
}

// FindingAt returns a finding at the value of that path, such as "routes[2].rank". A
// path that is not in the document gets the place of its nearest parent.
func (d *Document) FindingAt(path, message string) finding.Finding {
	return d.finding(d.locate(path).StartOffset, path, message)
}

var syntaxError = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxFinding(file string, err error) finding.Finding {
	m := syntaxError.FindStringSubmatch(err.Error())
	if m == nil {
		return finding.Finding{File: file, Message: err.Error()}
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	return finding.Finding{File: file, Line: line, Column: column, Message: m[3]}
}

func (d *Document) finding(offset int, path, message string) finding.Finding {
	before := d.data[:offset]
	return finding.Finding{
		File:    d.file,
		Line:    1 + bytes.Count(before, []byte("\n")),
		Column:  offset - bytes.LastIndexByte(before, '\n'),
		Path:    path,
		Message: message,
	}
}

// duplicates finds every name that occurs again in its object.
func (d *Document) duplicates(v *hujson.Value, path string) finding.List {
	var found finding.List
	switch value := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(value.Members))
		for i := range value.Members {
			m := &value.Members[i]
			name := memberName(m)
			at := join(path, name)
			if seen[name] {
				found = append(found, d.finding(m.Name.StartOffset, at, "duplicate name"))
			}
			seen[name] = true
			found = append(found, d.duplicates(&m.Value, at)...)
		}
	case *hujson.Array:
		for i := range value.Elements {
			found = append(found, d.duplicates(&value.Elements[i], index(path, i))...)
		}
	}
	return found
}

// locate returns the value of the path or its nearest parent.
func (d *Document) locate(path string) *hujson.Value {
	at := &d.root
	for _, step := range steps(path) {
		next := child(at, step)
		if next == nil {
			return at
		}
		at = next
	}
	return at
}

// steps splits "routes[2].rank" into "routes", "2" and "rank".
func steps(path string) []string {
	flat := strings.NewReplacer("[", ".", "]", "").Replace(path)
	return strings.FieldsFunc(flat, func(r rune) bool { return r == '.' })
}

func child(v *hujson.Value, step string) *hujson.Value {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			if memberName(&value.Members[i]) == step {
				return &value.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(step)
		if err == nil && i >= 0 && i < len(value.Elements) {
			return &value.Elements[i]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	name, _ := m.Name.Value.(hujson.Literal)
	if bytes.IndexByte(name, '\\') < 0 && utf8.Valid(name) {
		return string(name[1 : len(name)-1]) // without escapes, the common case
	}
	return name.String()
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
