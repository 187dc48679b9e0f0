package jsonc

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"chestnutrouter.example/chestnutrouter/internal/finding"
)

// Decode stores the document in v, a pointer to a struct. It returns the findings
// of decoding, without those that Parse returned.
func (d *Document) Decode(v any) finding.List {
	dec := decoder{doc: d}
	dec.value(&d.root, "", reflect.ValueOf(v).Elem(), numberBounds{})
	return dec.found.Sorted()
}

// decoder collects findings while it fills a Go value.
type decoder struct {
	doc   *Document
	found finding.List
}

// numberBounds holds the inclusive bounds of a number; an empty string means no
// bound.
type numberBounds struct{ min, max string }

func (dec *decoder) report(at *hujson.Value, path, message string) {
	dec.found = append(dec.found, dec.doc.finding(at.StartOffset, path, message))
}

func (dec *decoder) value(v *hujson.Value, path string, target reflect.Value, bounds numberBounds) {
	switch target.Kind() {
	case reflect.Pointer:
		pointer := reflect.New(target.Type().Elem())
		dec.value(v, path, pointer.Elem(), bounds)
		target.Set(pointer)
	case reflect.Struct:
		dec.object(v, path, target)
	case reflect.Slice:
		dec.array(v, path, target, bounds)
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Uint32, reflect.Float64:
		dec.literal(v, path, target, bounds)
	default:
		panic(fmt.Sprintf("jsonc: no support for type %s", target.Type()))
	}
}

func (dec *decoder) object(v *hujson.Value, path string, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.report(v, path, wrongType("an object", v))
		return
	}
	fields := fieldsOf(target.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		f, known := fields[name]
		if !known {
			dec.report(&m.Name, memberPath(path, name), "unknown field")
			continue
		}
		seen[name] = true
		dec.value(&m.Value, memberPath(path, name), target.Field(f.index), f.bounds)
	}
	for name, f := range fields {
		if f.required && !seen[name] {
			dec.report(v, memberPath(path, name), "missing field")
		}
	}
}

func (dec *decoder) array(v *hujson.Value, path string, target reflect.Value, bounds numberBounds) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		dec.report(v, path, wrongType("an array", v))
		return
	}
	slice := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		dec.value(&array.Elements[i], elementPath(path, i), slice.Index(i), bounds)
	}
	target.Set(slice)
}

func (dec *decoder) literal(v *hujson.Value, path string, target reflect.Value, bounds numberBounds) {
	want, kinds := expectedType(target.Kind())
	literal, ok := v.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kinds, rune(literal.Kind())) {
		dec.report(v, path, wrongType(want, v))
		return
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(literal.String())
	case reflect.Bool:
		target.SetBool(literal.Bool())
	default:
		if message := setNumber(target, string(literal), want, bounds); message != "" {
			dec.report(v, path, message)
		}
	}
}

// expectedType returns the description of the JSON type for a Go kind, and the
// hujson literal kinds that it accepts.
func expectedType(k reflect.Kind) (want, kinds string) {
	switch k {
	case reflect.String:
		return "a string", `"`
	case reflect.Bool:
		return "true or false", "tf"
	case reflect.Float64:
		return "a number", "0"
	default:
		return "a whole number", "0"
	}
}

// setNumber stores the number in target. It returns what is wrong with the number,
// or "".
func setNumber(target reflect.Value, text, want string, bounds numberBounds) string {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "out of range: " + text
	}
	if message := bounds.check(number, text); message != "" {
		return message
	}
	switch target.Kind() {
	case reflect.Float64:
		target.SetFloat(number)
	case reflect.Uint32:
		var n uint64
		n, err = strconv.ParseUint(text, 10, 32)
		target.SetUint(n)
	default:
		var n int64
		n, err = strconv.ParseInt(text, 10, target.Type().Bits())
		target.SetInt(n)
	}
	switch {
	case err == nil:
		return ""
	case errors.Is(err, strconv.ErrRange):
		return "out of range: " + text
	default:
		return "expected " + want + ", found " + text
	}
}

// check returns which bound the number violates, or "".
func (b numberBounds) check(number float64, text string) string {
	low, lowErr := strconv.ParseFloat(b.min, 64)
	high, highErr := strconv.ParseFloat(b.max, 64)
	if lowErr == nil && number < low {
		return "out of range: " + text + " is less than " + b.min
	}
	if highErr == nil && number > high {
		return "out of range: " + text + " is more than " + b.max
	}
	return ""
}

func wrongType(want string, v *hujson.Value) string {
	return "expected " + want + ", found " + describe(v)
}

func describe(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 'n':
		return "null"
	default:
		return "true or false"
	}
}

// field holds the index of a struct field and the constraints from its tags.
type field struct {
	index    int
	required bool
	bounds   numberBounds
}

// fieldsOf returns the fields of a struct type by their JSON name.
func fieldsOf(t reflect.Type) map[string]field {
	fields := make(map[string]field, t.NumField())
	for i := range t.NumField() {
		tag := t.Field(i).Tag
		name, _, _ := strings.Cut(tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = field{
			index:    i,
			required: tag.Get("required") == "true",
			bounds:   numberBounds{min: tag.Get("min"), max: tag.Get("max")},
		}
	}
	return fields
}
