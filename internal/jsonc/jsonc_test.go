package jsonc

import (
	"slices"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/finding"
)

type settings struct {
	Name   string   `json:"name" required:"true"`
	Port   int      `json:"port" min:"1" max:"65535"`
	Share  *float64 `json:"share" min:"0" max:"1"`
	Epoch  uint32   `json:"epoch"`
	On     bool     `json:"on"`
	Routes []route  `json:"routes"`
}

type route struct {
	Rank    string   `json:"rank"`
	Methods []string `json:"methods"`
}

func TestDecodeFillsTheStruct(t *testing.T) {
	var s settings
	found := Decode("f", []byte(`{
		// A comment and a trailing comma are fine.
		"name": "a\"b", "port": 80, "share": 0.5, "epoch": 3, "on": true,
		"routes": [{"rank": "lookups", "methods": ["GET", "HEAD"]}],
	}`), &s)
	if len(found) > 0 {
		t.Fatal(found)
	}
	if s.Name != `a"b` || s.Port != 80 || *s.Share != 0.5 || s.Epoch != 3 || !s.On {
		t.Errorf("decoded %+v, want name a\"b, port 80, share 0.5, epoch 3 and on true", s)
	}
	if s.Routes[0].Rank != "lookups" || !slices.Equal(s.Routes[0].Methods, []string{"GET", "HEAD"}) {
		t.Errorf("decoded routes %+v, want rank lookups with methods GET and HEAD", s.Routes)
	}
}

func TestDecodeReportsAllFindingsWithPosition(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
	}{
		{"syntax", "{\n  \"name\": }", []string{"f:2:11: invalid character '}' at start of value"}},
		{"empty", "", []string{"f:1:1: parsing value: unexpected EOF"}},
		{"not an object", "[]", []string{"f:1:1: expected an object, found an array"}},
		{
			"everything at once",
			"{\n \"port\": 70000,\n \"prot\": 1,\n \"share\": \"x\",\n \"on\": null,\n \"on\": true,\n \"routes\": [{}, {\"rank\": 7}]\n}",
			[]string{
				"f:1:1: name: missing field",
				"f:2:10: port: out of range: 70000 is more than 65535",
				"f:3:2: prot: unknown field",
				"f:4:11: share: expected a number, found a string",
				"f:5:8: on: expected true or false, found null",
				"f:6:2: on: duplicate name",
				"f:7:26: routes[1].rank: expected a string, found a number",
			},
		},
		{
			"numbers",
			"{\"name\": \"\",\n\"port\": 1.5,\n\"epoch\": -1,\n\"share\": 1e999}",
			[]string{
				"f:2:9: port: expected a whole number, found 1.5",
				"f:3:10: epoch: expected a whole number, found -1",
				"f:4:10: share: out of range: 1e999",
			},
		},
		{"escaped name", `{"na\u006de": 1}`, []string{"f:1:15: name: expected a string, found a number"}},
		{"name in another case", `{"name": "x", "Port": 1}`, []string{"f:1:15: Port: unknown field"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s settings
			got := lines(Decode("f", []byte(c.text), &s))
			if !slices.Equal(got, c.want) {
				t.Errorf("got  %q\nwant %q", got, c.want)
			}
		})
	}
}

func TestDecodeRefusesLargeDocuments(t *testing.T) {
	deep := slices.Repeat([]byte("["), MaxBytes+1)
	if _, found := Parse("f", deep); len(found) != 1 {
		t.Errorf("document above MaxBytes: findings %q, want exactly one", lines(found))
	}
	if _, found := Parse("f", deep[:MaxBytes]); len(found) != 1 {
		t.Errorf("document of MaxBytes open brackets: findings %q, want exactly one", lines(found))
	}
}

func TestFindingAtReportsTheNearestPosition(t *testing.T) {
	doc, _ := Parse("f", []byte("{\n \"routes\": [\n  {\"rank\": \"x\"},\n ]\n}"))
	for path, want := range map[string]string{
		"routes[0].rank": "f:3:12: routes[0].rank: bad",
		"routes[0].none": "f:3:3: routes[0].none: bad",
		"routes[9]":      "f:2:12: routes[9]: bad",
		"":               "f:1:1: bad",
	} {
		if got := doc.FindingAt(path, "bad").String(); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

func TestDiffIgnoresCommentsAndLayout(t *testing.T) {
	from, _ := Parse("f", []byte(`{"a": 1, "b": {"c": [1, 2], "d": {}}, "e": "x"}`))
	to, _ := Parse("f", []byte("// new\n{\"b\": {\"d\": {}, \"c\": [1, 3, 4]}, \"a\": 1}"))
	var got []string
	for _, c := range Diff(from, to) {
		got = append(got, c.String())
	}
	want := []string{"~ b.c[1]: 2 -> 3", `- e: "x"`, "+ b.c[2]: 4"}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	if n := len(Diff(nil, from)); n != 5 || len(Diff(from, from)) != 0 {
		t.Errorf("diff of nil and a document: %d values, want 5; or a document differs from itself", n)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"name": "x", "routes": [{"rank": "a"}]} // done`))
	f.Add([]byte(`{"name": 1, "name": {}, "share": 1e400, "epoch": 4294967296}`))
	f.Add([]byte("{\"\\ud800\": \"\xff\"}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var first, second settings
		a := Decode("f", data, &first)
		b := Decode("f", data, &second)
		if !slices.Equal(a, b) {
			t.Errorf("findings differ: %q and %q", lines(a), lines(b))
		}
		for _, x := range a {
			if x.Message == "" || x.File != "f" {
				t.Errorf("finding %+v, want file f and a message", x)
			}
		}
	})
}

func lines(l finding.List) []string {
	var out []string
	for _, f := range l {
		out = append(out, f.String())
	}
	return out
}
