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
		name     string
		index    int // of the rank
		result   balancer.Result
		inUse    int
		movement int // sign of the change of the limit
	}{
		{"urgent, idle server, window in use", 0, report(idle), firstLimit, 1},
		{"urgent, idle server, window unused", 0, report(idle), 1, 0},
		{"urgent, full server", 0, report(full), firstLimit, 1},
		{"urgent, long queue", 0, report(queued), firstLimit, -1},
		{"yielding, idle server", 2, report(idle), firstLimit, 1},
		{"yielding, full server", 2, report(full), firstLimit, -1},
		{"no report", 0, balancer.Result{}, firstLimit, 1},
		{"shed", 0, balancer.Result{Kind: balancer.Shed}, 1, -1},
		{"failed with a report", 0, balancer.Result{Kind: balancer.Error, HasReport: true, Report: queued}, firstLimit, 0},
		{"cancelled", 0, balancer.Result{Kind: balancer.Cancelled}, firstLimit, 0},
	} {
		w := newWindow()
		w.headroom = headroomOf(c.index)
		w.learn(c.result, c.inUse, 0)
		got := 0
		if w.limit != firstLimit {
			got = 1
		}
		if w.limit < firstLimit {
			got = -1
		}
		if got != c.movement {
			t.Errorf("%s: limit went from %d to %.2f", c.name, firstLimit, w.limit)
		}
	}
}

func TestWindowsOfEntriesMeet(t *testing.T) {
	low, high := newWindow(), newWindow()
	low.limit, high.limit = 2, 40
	busy := balancer.Result{HasReport: true, Report: balancer.Report{InFlight: 3, Slots: 3, Queue: 4}}
	idle := balancer.Result{HasReport: true, Report: balancer.Report{Slots: 3}}
	for range 2000 {
		for _, w := range []*window{&low, &high} {
			// Each round answers every request of the window, busy and idle by turns.
			inUse := int(math.Ceil(w.limit))
			for range inUse {
				w.learn(busy, inUse, 0)
				w.learn(idle, inUse, 0)
			}
		}
	}
	if high.limit > 1.25*low.limit {
		t.Errorf("windows of %.1f and %.1f after the same answers", low.limit, high.limit)
	}
}

func TestWindowNeverCloses(t *testing.T) {
	w := newWindow()
	for range 10_000 {
		w.learn(balancer.Result{Kind: balancer.Shed}, 1, 0)
	}
	if w.limit != leastLimit {
		t.Errorf("limit %.2f, want %d", w.limit, leastLimit)
	}
}
