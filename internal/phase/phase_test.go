package phase

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// host draws its slowdown anew in each period, from a place of its own on.
type host struct {
	rng   *rand.Rand
	place time.Duration
	drawn map[int64]int
}

func (h *host) slowdown(at time.Time) int {
	period := (at.UnixNano() - int64(h.place)) / int64(Period)
	if _, ok := h.drawn[period]; !ok {
		h.drawn[period] = 100
		if h.rng.Float64() < 0.3 {
			h.drawn[period] = 500
		}
	}
	return h.drawn[period]
}

func newHost(seed uint64, place time.Duration) *host {
	return &host{rng: rand.New(rand.NewPCG(seed, 1)), place: place, drawn: map[int64]int{}}
}

// watch reports every interval until the rhythm is locked, and returns when that was.
func watch(r *Tracker, h *host, from time.Time, interval, most time.Duration) time.Duration {
	for t := time.Duration(0); t < most; t += interval {
		at := from.Add(t)
		r.Observe(at, h.slowdown(at))
		if r.Locked() {
			return t
		}
	}
	return most
}

// Pattern: neighbours that slow a server in fixed periods. Whatever its place in the
// period, it is found in some seconds, and from then on each change is foretold.
func TestNeighboursInFixedPeriods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		place := time.Duration(rapid.Int64Range(0, int64(Period)-1).Draw(t, "place"))
		start := time.Unix(1_700_000_000, rapid.Int64Range(0, int64(time.Second)).Draw(t, "start"))
		h := newHost(rapid.Uint64().Draw(t, "seed"), place)
		var r Tracker
		const most = 30 * time.Second
		took := watch(&r, h, start, 33*time.Millisecond, most)
		if took == most {
			t.Fatal("not locked in 30 s")
		}
		now := start.Add(took)
		for range 20 {
			next, change := r.Next(now)
			if !next.After(now) || next.Sub(now) > Period/2 {
				t.Fatalf("next is %v after now", next.Sub(now))
			}
			now = next
			if !change {
				continue
			}
			since := time.Duration(now.UnixNano()-int64(place)) % Period
			if since > lockWidth+2*margin {
				t.Fatalf("asked %v after the change", since)
			}
		}
	})
}

// A server whose pace changes at any time is asked in each round, as before.
func TestNoRhythm(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	var r Tracker
	at, locked, rounds := time.Unix(1_700_000_000, 0), 0, 0
	slowdown, until := 100, at
	for ; rounds < 20000; rounds++ {
		at = at.Add(33 * time.Millisecond)
		if at.After(until) {
			slowdown = 600 - slowdown
			until = at.Add(time.Duration(rng.ExpFloat64() * float64(150*time.Millisecond)))
		}
		r.Observe(at, slowdown)
		if r.Locked() {
			locked++
		}
	}
	if share := float64(locked) / float64(rounds); share > 0.02 {
		t.Errorf("locked for %.3f of the time", share)
	}
}

// One change at another place ends the lock, so that a server that moved to another
// host is learned anew.
func TestChangeElsewhere(t *testing.T) {
	h := newHost(3, 40*time.Millisecond)
	var r Tracker
	start := time.Unix(1_700_000_000, 0)
	took := watch(&r, h, start, 33*time.Millisecond, 30*time.Second)
	middle, change := r.Next(start.Add(took))
	if change {
		middle = middle.Add(Period / 2)
	}
	r.Observe(middle, 100)
	if changed := r.Observe(middle.Add(20*time.Millisecond), 500); !changed {
		t.Error("a change is not reported")
	}
	if r.Locked() {
		t.Error("still locked after a change in the middle of the period")
	}
}

// Reports that lie far apart tell nothing of the place of a change.
func TestLongGap(t *testing.T) {
	var r Tracker
	at := time.Unix(1_700_000_000, 0)
	for i := range 100 {
		r.Observe(at, 100+400*(i%2))
		at = at.Add(Period)
	}
	if r.Locked() {
		t.Error("locked by reports that lie a period apart")
	}
}
