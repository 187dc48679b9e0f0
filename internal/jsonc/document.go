// Package jsonc is a strict decoder for JSON with comments. It reports every
// problem with its position: unknown fields, wrong types, duplicate names, missing
// fields and numbers out of range.
//
// Field tags: `json:"name"` sets the name of the field; `required:"true"` makes it
// mandatory; `min:"1"` and `max:"9"` are the inclusive bounds of a number. Fields
// without a json tag are ignored. A null is reported as a wrong type: a field
// without a value must be omitted.
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

// MaxBytes is the maximum size of a document in bytes. It bounds the recursion
// depth of the parser, which is the nesting depth of the document.
const MaxBytes = 64 << 10

// Document is a parsed document with the positions of its values. It is immutable
// and safe for concurrent use.
type Document struct {
	file string
	data []byte
	root hujson.Value
}

// Decode parses the document and stores it in v, a pointer to a struct. It
// returns all findings. The valid fields are stored even if there are findings.
func Decode(file string, data []byte, v any) finding.List {
	doc, findings := Parse(file, data)
	if doc == nil {
		return findings
	}
	return append(findings, doc.Decode(v)...).Sorted()
}

// Parse parses the document and also reports duplicate names, which can be found
// without a Go type. The Document is nil on a syntax error.
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

// FindingAt returns a finding at the value of the path, such as "routes[2].rank".
// If the path does not exist, the position is that of its nearest existing parent.
func (d *Document) FindingAt(path, message string) finding.Finding {
	return d.finding(d.locate(path).StartOffset, path, message)
}

// syntaxError matches hujson's message of a syntax error.
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
	line, column := finding.Position(d.data, offset)
	return finding.Finding{File: d.file, Line: line, Column: column, Path: path, Message: message}
}

// duplicates returns a finding for every name that is repeated within its object.
func (d *Document) duplicates(v *hujson.Value, path string) finding.List {
	var found finding.List
	switch value := v.Value.(type) {
	case *hujson.Object:
		seen := make(map[string]bool, len(value.Members))
		for i := range value.Members {
			m := &value.Members[i]
			name := memberName(m)
			at := memberPath(path, name)
			if seen[name] {
				found = append(found, d.finding(m.Name.StartOffset, at, "duplicate name"))
			}
			seen[name] = true
			found = append(found, d.duplicates(&m.Value, at)...)
		}
	case *hujson.Array:
		for i := range value.Elements {
			found = append(found, d.duplicates(&value.Elements[i], elementPath(path, i))...)
		}
	}
	return found
}

// locate returns the value at the path, or its nearest existing parent.
func (d *Document) locate(path string) *hujson.Value {
	at := &d.root
	for _, segment := range splitPath(path) {
		next := child(at, segment)
		if next == nil {
			return at
		}
		at = next
	}
	return at
}

// splitPath splits "routes[2].rank" into "routes", "2" and "rank".
func splitPath(path string) []string {
	flat := strings.NewReplacer("[", ".", "]", "").Replace(path)
	return strings.FieldsFunc(flat, func(r rune) bool { return r == '.' })
}

// child returns the object member or array element for a path segment, or nil.
func child(v *hujson.Value, segment string) *hujson.Value {
	switch value := v.Value.(type) {
	case *hujson.Object:
		for i := range value.Members {
			if memberName(&value.Members[i]) == segment {
				return &value.Members[i].Value
			}
		}
	case *hujson.Array:
		i, err := strconv.Atoi(segment)
		if err == nil && i >= 0 && i < len(value.Elements) {
			return &value.Elements[i]
		}
	}
	return nil
}

func memberName(m *hujson.ObjectMember) string {
	name, _ := m.Name.Value.(hujson.Literal)
	if bytes.IndexByte(name, '\\') < 0 && utf8.Valid(name) {
		return string(name[1 : len(name)-1]) // the common case: no escapes to decode
	}
	return name.String()
}

func memberPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func elementPath(path string, i int) string {
	return path + "[" + strconv.Itoa(i) + "]"
}
