package soak

import (
	"testing"
	"time"
)

// A planned stop excuses a lost response only if the request was never read, which shows in a
// connection that ends soon after it was sent, or if it came early and lasted until the end.
func TestLossThatAPlannedStopExcuses(t *testing.T) {
	stop := time.Date(2026, 12, 5, 15, 0, 0, 0, time.UTC)
	after := func(d time.Duration) time.Time { return stop.Add(d) }
	for _, c := range []struct {
		name           string
		from, sent, to time.Duration // after SIGTERM; a sent of -1 means that it is not certain
		runs           int
		lost           bool
	}{
		{"never read", 1800 * time.Millisecond, 1801 * time.Millisecond, 1803 * time.Millisecond, 0, false},
		{"reused connection that was closed", 1800 * time.Millisecond, -1, 1803 * time.Millisecond, 0, false},
		{"ran", 1800 * time.Millisecond, 1801 * time.Millisecond, 1803 * time.Millisecond, 1, true},
		{"ran on a reused connection", 1800 * time.Millisecond, -1, 1803 * time.Millisecond, 1, true},
		{"held after it was sent", 1800 * time.Millisecond, 1801 * time.Millisecond, 2100 * time.Millisecond, 0, true},
		{"early, until the end", time.Second, 1001 * time.Millisecond, 2600 * time.Millisecond, 1, false},
		{"late, until the end", 1600 * time.Millisecond, 1601 * time.Millisecond, 2600 * time.Millisecond, 1, true},
		{"before the stop", -2 * time.Second, -1900 * time.Millisecond, -time.Second, 1, true},
	} {
		e := &entry{stops: []interval{{after(0), after(grace)}}}
		r := requestRecord{entry: e, from: after(c.from), to: after(c.to)}
		if c.sent != -1 {
			r.sent = after(c.sent)
		}
		if got := r.isLost(c.runs); got != c.lost {
			t.Errorf("%s: lost %v, want %v", c.name, got, c.lost)
		}
	}
}
