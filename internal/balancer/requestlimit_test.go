package balancer

import (
	"errors"
	"testing"
	"time"
)

func TestParseRequestLimit(t *testing.T) {
	for value, want := range map[string]float64{"2.7": 2.7, "0": 0, "12": 12, "1e2": 100} {
		if got, err := ParseRequestLimit(value); err != nil || got != want {
			t.Errorf("%q: got %v, %v, want %v", value, got, err, want)
		}
	}
	for _, value := range []string{"", "-1", "NaN", "Inf", "2,7", "2.7/s", "1e999", "0000000000000000000000000000000002.7"} {
		_, err := ParseRequestLimit(value)
		var limitError *RequestLimitError
		if !errors.As(err, &limitError) {
			t.Errorf("%q: got error %v, want a RequestLimitError", value, err)
		}
	}
}

// An entry has to tell its log when a server names, changes and ends its limit, and when
// and from where it learned that: an incident could not be explained without.
func TestRequestLimitsAreReported(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 1)
	var changes []RequestLimitChange
	b.options.OnRequestLimit = func(c RequestLimitChange) { changes = append(changes, c) }
	respond := func(at time.Duration, kind ResultKind, limit string) {
		r, ok := b.Pick(now, nil)
		if !ok {
			t.Fatal("no server")
		}
		b.Done(r, now.Add(at), Result{Kind: kind, RequestLimit: limit})
	}
	respond(1, OK, "")        // nothing named
	respond(2, OK, "2.7")     // named
	respond(3, OK, "2.8")     // no change worth a report
	respond(4, Shed, "")      // a refusal does not end it
	respond(5, Error, "none") // malformed: ignored
	b.ObserveProbe("s0", now.Add(6), Report{})
	respond(7, OK, "9")
	respond(1, OK, "") // older than the last one
	if status := b.Status(now.Add(7))[0]; status.RequestLimit == nil || *status.RequestLimit != 9 {
		t.Errorf("status %+v, want the limit 9", status)
	}
	respond(8, OK, "")
	respond(9, OK, "")
	b.ObserveProbe("s0", now.Add(10), Report{RequestLimit: "1"})
	want := []struct {
		perSecond float64
		ended     bool
		source    LimitSource
	}{{2.7, false, LimitFromResponse}, {9, false, LimitFromResponse}, {0, true, LimitFromResponse}, {1, false, LimitFromProbe}}
	if len(changes) != len(want) {
		t.Fatalf("%d changes %+v, want %d", len(changes), changes, len(want))
	}
	for i, w := range want {
		if c := changes[i]; c.Server != "s0" || c.PerSecond != w.perSecond || c.Ended != w.ended || c.Source != w.source {
			t.Errorf("change %d: got %+v, want %+v", i, c, w)
		}
	}
}
