package admission

import (
	"math"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

func TestWindowMovesWithReportedLoad(t *testing.T) {
	idle := balancer.Report{InFlight: 1, Slots: 3}
	full := balancer.Report{InFlight: 3, Slots: 3}
	queued := balancer.Report{InFlight: 3, Slots: 3, Queue: 4}
	report := func(r balancer.Report) balancer.Result { return balancer.Result{HasReport: true, Report: r} }
	for _, c := range []struct {
		name      string
		index     int // of the rank
		result    balancer.Result
		inUse     int
		direction int // sign of the change of the limit
	}{
		{"highest rank, idle server, window in use", 0, report(idle), initialLimit, 1},
		{"highest rank, idle server, window unused", 0, report(idle), 1, 0},
		{"highest rank, full server", 0, report(full), initialLimit, 1},
		{"highest rank, long queue", 0, report(queued), initialLimit, -1},
		{"yielding rank, idle server", 2, report(idle), initialLimit, 1},
		{"yielding rank, full server", 2, report(full), initialLimit, -1},
		{"no report", 0, balancer.Result{}, initialLimit, 1},
		{"shed", 0, balancer.Result{Kind: balancer.Shed}, 1, -1},
		{"failed with a report", 0, balancer.Result{Kind: balancer.Error, HasReport: true, Report: queued}, initialLimit, 0},
		{"cancelled", 0, balancer.Result{Kind: balancer.Cancelled}, initialLimit, 0},
	} {
		w := newWindow()
		w.headroom = headroomOf(c.index)
		w.update(c.result, c.inUse, 0)
		got := 0
		if w.limit != initialLimit {
			got = 1
		}
		if w.limit < initialLimit {
			got = -1
		}
		if got != c.direction {
			t.Errorf("%s: limit went from %d to %.2f, not in the expected direction", c.name, initialLimit, w.limit)
		}
	}
}

func TestWindowsOfEntriesConverge(t *testing.T) {
	low, high := newWindow(), newWindow()
	low.limit, high.limit = 2, 40
	busy := balancer.Result{HasReport: true, Report: balancer.Report{InFlight: 3, Slots: 3, Queue: 4}}
	idle := balancer.Result{HasReport: true, Report: balancer.Report{Slots: 3}}
	for range 2000 {
		for _, w := range []*window{&low, &high} {
			// Each round completes every request of the window, with
			// alternating busy and idle reports.
			inUse := int(math.Ceil(w.limit))
			for range inUse {
				w.update(busy, inUse, 0)
				w.update(idle, inUse, 0)
			}
		}
	}
	if high.limit > 1.25*low.limit {
		t.Errorf("windows of %.1f and %.1f after the same responses, want at most 1.25 times the smaller", low.limit, high.limit)
	}
}

func TestWindowNeverCloses(t *testing.T) {
	w := newWindow()
	for range 10_000 {
		w.update(balancer.Result{Kind: balancer.Shed}, 1, 0)
	}
	if w.limit != minLimit {
		t.Errorf("limit %.2f, want %d", w.limit, minLimit)
	}
}
