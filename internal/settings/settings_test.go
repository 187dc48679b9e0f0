package settings

import (
	"errors"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/finding"
)

const valid = `{
	// One of the shop's entries.
	"vm": "entry-1",
	"zone": "gent-a",
	"caller_address": "127.0.0.1:8080",
	"peer_address": "127.0.0.1:8081",
	"status_address": "127.0.0.1:8082",
	"platform_endpoints": ["http://127.0.0.1:9000"],
}`

func TestParseFillsDefaults(t *testing.T) {
	s, err := Parse("entry.jsonc", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s.LogLevel != "info" || s.Workers != defaultWorkers || s.AddressTTL().Seconds() != 2 {
		t.Errorf("got %+v, want log level info, the default workers and an address TTL of 2s", s)
	}
}

func TestParseReportsAllFindingsTogether(t *testing.T) {
	const bad = `{
	"vm": "entry-1",
	"vm": "entry-2",
	"zone": 7,
	"caller_address": "shop.example:80",
	"peer_address": "127.0.0.1:81",
	"status_address": "127.0.0.1:81",
	"platform_endpoints": ["127.0.0.1:9000"],
	"log_level": "loud",
	"workers": 0,
	"colour": "red"
}`
	_, err := Parse("entry.jsonc", []byte(bad))
	var found finding.List
	if !errors.As(err, &found) {
		t.Fatalf("got error %v, want a finding.List", err)
	}
	lines := make([]int, 0, len(found))
	for _, f := range found {
		lines = append(lines, f.Line)
	}
	want := []int{3, 4, 5, 7, 8, 9, 10, 11}
	if len(lines) != len(want) {
		t.Fatalf("got these findings, want one each on lines 3, 4, 5, 7, 8, 9, 10 and 11:\n%v", err)
	}
	for i := range want {
		if lines[i] != want[i] {
			t.Errorf("finding %d on line %d, want %d:\n%v", i, lines[i], want[i], err)
		}
	}
}
