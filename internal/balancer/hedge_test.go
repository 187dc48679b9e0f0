package balancer

import (
	"testing"
	"time"
)

// completeRequests completes n requests with latencies of 1 to 100 ms, whose load reports
// show inFlight busy slots.
func completeRequests(b *Balancer, now time.Time, n, inFlight int) {
	for i := range n {
		r, _ := b.Pick(now, nil)
		b.Done(r, now, Result{
			Latency:   time.Duration(i%100+1) * time.Millisecond,
			Report:    Report{InFlight: inFlight, Slots: 3},
			HasReport: true,
		})
	}
}

func TestHedgeDelayIsTheQuantileAndStopsUnderLoad(t *testing.T) {
	b := newShopBalancer("s1", "s2")
	if wait, ok := b.HedgeDelay(start); ok {
		t.Fatalf("hedge delay %v without samples, want none", wait)
	}
	completeRequests(b, start, 1000, 1)
	later := start.Add(quantileRefreshInterval)
	completeRequests(b, later, 100, 1)
	wait, ok := b.HedgeDelay(later)
	if !ok || wait < 94*time.Millisecond || wait > 97*time.Millisecond {
		t.Fatalf("hedge delay %v, %v, want the 95th percentile of 1 to 100 ms", wait, ok)
	}
	completeRequests(b, later, 1000, 3)
	if wait, ok := b.HedgeDelay(later); ok {
		t.Fatalf("hedge delay %v with all slots busy, want none", wait)
	}
	completeRequests(b, later, 1000, 1)
	if _, ok := b.HedgeDelay(later); !ok {
		t.Fatal("no hedge delay after the load has dropped")
	}
}

func TestUploadsStayOutOfTheLatency(t *testing.T) {
	b := newShopBalancer("s1")
	for range 2 * minQuantileSamples {
		r, _ := b.Pick(start, nil)
		b.Done(r, start, Result{Latency: time.Minute, Upload: true})
	}
	if b.TailLatency() != 0 || b.meanLatency.value() != 0 {
		t.Fatalf("tail latency %v or a mean latency after uploads only, want none", b.TailLatency())
	}
}
