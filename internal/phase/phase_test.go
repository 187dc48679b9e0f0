package phase

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedServer draws a new random slowdown in each period, at its phase.
type simulatedServer struct {
	rng   *rand.Rand
	phase time.Duration
	drawn map[int64]int
}

func (s *simulatedServer) slowdown(at time.Time) int {
	period := (at.UnixNano() - int64(s.phase)) / int64(Period)
	if _, ok := s.drawn[period]; !ok {
		s.drawn[period] = 100
		if s.rng.Float64() < 0.3 {
			s.drawn[period] = 500
		}
	}
	return s.drawn[period]
}

func newSimulatedServer(seed uint64, phase time.Duration) *simulatedServer {
	return &simulatedServer{rng: rand.New(rand.NewPCG(seed, 1)), phase: phase, drawn: map[int64]int{}}
}

// observeUntilLocked adds a report every interval until the tracker is locked, and returns
// the time that this took, or the limit.
func observeUntilLocked(tracker *Tracker, s *simulatedServer, from time.Time, interval, limit time.Duration) time.Duration {
	for t := time.Duration(0); t < limit; t += interval {
		at := from.Add(t)
		tracker.Observe(at, s.slowdown(at))
		if tracker.Locked() {
			return t
		}
	}
	return limit
}

// Neighbours slow a server in fixed periods. For any phase, the tracker must lock
// within seconds and predict each change from then on.
func TestNeighboursInFixedPeriods(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		phase := time.Duration(rapid.Int64Range(0, int64(Period)-1).Draw(t, "place"))
		start := time.Unix(1_700_000_000, rapid.Int64Range(0, int64(time.Second)).Draw(t, "start"))
		s := newSimulatedServer(rapid.Uint64().Draw(t, "seed"), phase)
		var tracker Tracker
		const limit = 30 * time.Second
		took := observeUntilLocked(&tracker, s, start, 33*time.Millisecond, limit)
		if took == limit {
			t.Fatal("tracker not locked after 30 s")
		}
		now := start.Add(took)
		for range 20 {
			next, change := tracker.Next(now)
			if !next.After(now) || next.Sub(now) > Period/2 {
				t.Fatalf("next probe is %v after now, want more than 0 and at most half a period", next.Sub(now))
			}
			now = next
			if !change {
				continue
			}
			since := time.Duration(now.UnixNano()-int64(phase)) % Period
			if since > lockWidth+2*margin {
				t.Fatalf("probe %v after the change, want at most lockWidth and two margins", since)
			}
		}
	})
}

// A server whose speed changes at random times must hardly ever be locked, so that it is
// probed in each round.
func TestRandomChangesRarelyLock(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	var tracker Tracker
	at, locked, rounds := time.Unix(1_700_000_000, 0), 0, 0
	slowdown, until := 100, at
	for ; rounds < 20000; rounds++ {
		at = at.Add(33 * time.Millisecond)
		if at.After(until) {
			slowdown = 600 - slowdown
			until = at.Add(time.Duration(rng.ExpFloat64() * float64(150*time.Millisecond)))
		}
		tracker.Observe(at, slowdown)
		if tracker.Locked() {
			locked++
		}
	}
	if share := float64(locked) / float64(rounds); share > 0.02 {
		t.Errorf("locked for a share of %.3f of the rounds, want at most 0.02", share)
	}
}

// One change at another phase must end the lock, so that the phase of a server that moved
// to another host is determined again.
func TestChangeAtAnotherPhaseEndsTheLock(t *testing.T) {
	s := newSimulatedServer(3, 40*time.Millisecond)
	var tracker Tracker
	start := time.Unix(1_700_000_000, 0)
	took := observeUntilLocked(&tracker, s, start, 33*time.Millisecond, 30*time.Second)
	middle, change := tracker.Next(start.Add(took))
	if change {
		middle = middle.Add(Period / 2)
	}
	tracker.Observe(middle, 100)
	if changed := tracker.Observe(middle.Add(20*time.Millisecond), 500); !changed {
		t.Error("Observe reports no change after the slowdown changed from 100 to 500")
	}
	if tracker.Locked() {
		t.Error("still locked after a change in the middle of the period")
	}
}

// Reports that are far apart do not determine the phase of a change.
func TestLongGap(t *testing.T) {
	var tracker Tracker
	at := time.Unix(1_700_000_000, 0)
	for i := range 100 {
		tracker.Observe(at, 100+400*(i%2))
		at = at.Add(Period)
	}
	if tracker.Locked() {
		t.Error("locked by reports that are a period apart")
	}
}
