package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever was reported and answered before, a service whose servers are idle and healthy
// again gets requests within a stated time: no belief about the servers may keep all of
// them away. The beliefs are health and ejection, shares of shed requests, means of
// latency, knee, confidence in reports, draining and the staggering order.
func TestBeliefsDoNotLatch(t *testing.T) {
	const recovery = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		servers := rapid.IntRange(1, 40).Draw(t, "servers")
		b := newSlowdownBalancer(now, servers)
		if rapid.Bool().Draw(t, "far back in the order") {
			b.SetEntryOrder(func(string) int { return 300 }, 471)
		}
		var names []string
		for _, be := range b.snapshot.Load().backends {
			names = append(names, be.vm.Name)
		}
		var held []*Reservation
		for range rapid.IntRange(0, 150).Draw(t, "history") {
			name := rapid.SampledFrom(names).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				b.AddReport(name, now, Report{
					InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"), Queue: rapid.IntRange(0, 20).Draw(t, "queue"), Slots: 3,
					Slowdown: rapid.IntRange(0, 5000).Draw(t, "slowdown"), Draining: rapid.Bool().Draw(t, "draining"),
				})
			case 1:
				b.AddPeerCounts(name, now, RequestCounts{Sent: rapid.IntRange(0, 50).Draw(t, "sent"), Failed: rapid.IntRange(0, 5).Draw(t, "failed")})
			case 2:
				b.ProbeFailed(name, now)
			case 3, 4:
				if r, ok := b.PickWithin(now, nil, nominalServiceTime, time.Second, 0); ok {
					held = append(held, r)
				}
			case 5:
				if len(held) > 0 {
					latency := time.Duration(rapid.IntRange(0, 5000).Draw(t, "latency ms")) * time.Millisecond
					kind := ResultKind(rapid.IntRange(int(OK), int(Cancelled)).Draw(t, "result"))
					b.Done(held[0], now, Result{Kind: kind, Latency: latency})
					held = held[1:]
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause ms")) * time.Millisecond)
		}
		for _, r := range held {
			b.Done(r, now, Result{Kind: Cancelled})
		}
		for began := now; now.Sub(began) <= recovery; now = now.Add(50 * time.Millisecond) {
			for _, name := range names {
				b.AddReport(name, now, Report{Slots: 3, Slowdown: 100})
			}
			if r, ok := b.PickWithin(now.Add(time.Millisecond), nil, nominalServiceTime, target, 0); ok {
				b.Done(r, now.Add(nominalServiceTime), Result{Kind: OK, Latency: nominalServiceTime})
				return
			}
		}
		t.Fatalf("no server was picked within %v although all are idle and healthy", recovery)
	})
}
