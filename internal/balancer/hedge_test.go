package balancer

import (
	"testing"
	"time"
)

// answer lets n answers arrive of 1 to 100 ms each, whose reports state the
// busy slots.
func answer(b *Balancer, now time.Time, n, busy int) {
	for i := range n {
		s, _ := b.Pick(now, nil)
		b.Done(s, now, Result{
			Latency:   time.Duration(i%100+1) * time.Millisecond,
			Report:    Report{InFlight: busy, Slots: 3},
			HasReport: true,
		})
	}
}

func TestHedgeAfterIsTheQuantileAndClosesWithLoad(t *testing.T) {
	b := newShop("s1", "s2")
	if wait, ok := b.HedgeDelay(start); ok {
		t.Fatalf("hedge after %v before any answer", wait)
	}
	answer(b, start, 1000, 1)
	later := start.Add(quantileRefresh)
	answer(b, later, 100, 1)
	wait, ok := b.HedgeDelay(later)
	if !ok || wait < 94*time.Millisecond || wait > 97*time.Millisecond {
		t.Fatalf("hedge after %v, %v, want the 95th of 100 steps", wait, ok)
	}
	answer(b, later, 1000, 3)
	if wait, ok := b.HedgeDelay(later); ok {
		t.Fatalf("hedge after %v with all slots busy", wait)
	}
	answer(b, later, 1000, 1)
	if _, ok := b.HedgeDelay(later); !ok {
		t.Fatal("hedging stays closed when the load has gone")
	}
}

func TestUploadsStayOutOfTheLatency(t *testing.T) {
	b := newShop("s1")
	for range 2 * quantileSamples {
		s, _ := b.Pick(start, nil)
		b.Done(s, start, Result{Latency: time.Minute, Upload: true})
	}
	if b.TailLatency() != 0 || b.latency.value() != 0 {
		t.Fatalf("uploads count in the latency: %v", b.TailLatency())
	}
}
