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

// Decode stores the document in v, a pointer to a struct. It returns the
// findings of the decoding; those of Parse are not repeated.
func (d *Document) Decode(v any) finding.List {
	dec := decoder{doc: d}
	dec.value(&d.root, "", reflect.ValueOf(v).Elem(), limits{})
	return dec.found.Sorted()
}

// decoder collects findings while it fills a Go value.
type decoder struct {
	doc   *Document
	found finding.List
}

// limits are the inclusive bounds of a number, empty where there is none.
type limits struct{ min, max string }

func (dec *decoder) add(at *hujson.Value, path, message string) {
	dec.found = append(dec.found, dec.doc.finding(at.StartOffset, path, message))
}

func (dec *decoder) value(v *hujson.Value, path string, into reflect.Value, lim limits) {
	switch into.Kind() {
	case reflect.Pointer:
		target := reflect.New(into.Type().Elem())
		dec.value(v, path, target.Elem(), lim)
		into.Set(target)
	case reflect.Struct:
		dec.object(v, path, into)
	case reflect.Slice:
		dec.array(v, path, into, lim)
	case reflect.String, reflect.Bool, reflect.Int, reflect.Int64, reflect.Uint32, reflect.Float64:
		dec.literal(v, path, into, lim)
	default:
		panic(fmt.Sprintf("jsonc: no support for type %s", into.Type()))
	}
}

func (dec *decoder) object(v *hujson.Value, path string, into reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		dec.add(v, path, wrongType("an object", v))
		return
	}
	fields := fieldsOf(into.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := memberName(m)
		f, known := fields[name]
		if !known {
			dec.add(&m.Name, join(path, name), "unknown field")
			continue
		}
		seen[name] = true
		dec.value(&m.Value, join(path, name), into.Field(f.index), f.limits)
	}
	for name, f := range fields {
		if f.required && !seen[name] {
			dec.add(v, join(path, name), "missing field")
		}
	}
}

func (dec *decoder) array(v *hujson.Value, path string, into reflect.Value, lim limits) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		dec.add(v, path, wrongType("an array", v))
		return
	}
	slice := reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements))
	for i := range array.Elements {
		dec.value(&array.Elements[i], index(path, i), slice.Index(i), lim)
	}
	into.Set(slice)
}

func (dec *decoder) literal(v *hujson.Value, path string, into reflect.Value, lim limits) {
	want, kind := expectation(into.Kind())
	literal, ok := v.Value.(hujson.Literal)
	if !ok || !strings.ContainsRune(kind, rune(literal.Kind())) {
		dec.add(v, path, wrongType(want, v))
		return
	}
	switch into.Kind() {
	case reflect.String:
		into.SetString(literal.String())
	case reflect.Bool:
		into.SetBool(literal.Bool())
	default:
		if message := setNumber(into, string(literal), want, lim); message != "" {
			dec.add(v, path, message)
		}
	}
}

// expectation returns words for the expected type and its literal kinds.
func expectation(k reflect.Kind) (want, kinds string) {
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

// setNumber stores the number and returns what is wrong with it, or "".
func setNumber(into reflect.Value, text, want string, lim limits) string {
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "out of range: " + text
	}
	if message := lim.check(number, text); message != "" {
		return message
	}
	switch into.Kind() {
	case reflect.Float64:
		into.SetFloat(number)
	case reflect.Uint32:
		var n uint64
		n, err = strconv.ParseUint(text, 10, 32)
		into.SetUint(n)
	default:
		var n int64
		n, err = strconv.ParseInt(text, 10, into.Type().Bits())
		into.SetInt(n)
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

func (l limits) check(number float64, text string) string {
	low, lowErr := strconv.ParseFloat(l.min, 64)
	high, highErr := strconv.ParseFloat(l.max, 64)
	if lowErr == nil && number < low {
		return "out of range: " + text + " is less than " + l.min
	}
	if highErr == nil && number > high {
		return "out of range: " + text + " is more than " + l.max
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

// field is what the tags say about one field of a struct.
type field struct {
	index    int
	required bool
	limits   limits
}

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
			limits:   limits{min: tag.Get("min"), max: tag.Get("max")},
		}
	}
	return fields
}
