package balancer

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestConcurrentPicksStayWithinTheSlots runs picks, results, updates and probes concurrently.
// No server may ever have more requests than slots, and all slots must be free at the end.
// Run it with the race detector.
func TestConcurrentPicksStayWithinTheSlots(t *testing.T) {
	names := []string{"s1", "s2", "s3"}
	b := newShopBalancer(names...)
	inUse := map[string]*atomic.Int32{}
	for _, name := range names {
		inUse[name] = &atomic.Int32{}
	}
	kinds := []ResultKind{OK, OK, OK, OK, OK, OK, Shed, Cancelled}
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			for i := range 2000 {
				now := start.Add(time.Duration(i) * time.Millisecond)
				r, ok := b.Pick(now, nil)
				if !ok {
					continue
				}
				if n := inUse[r.VM.Name].Add(1); n > 3 {
					t.Errorf("%d requests at %s, want at most 3", n, r.VM.Name)
				}
				inUse[r.VM.Name].Add(-1)
				report := Report{InFlight: i % 4, Slots: 3}
				b.Done(r, now, Result{Kind: kinds[(i+worker)%len(kinds)], Latency: time.Millisecond, HasReport: true, Report: report})
			}
		})
	}
	group.Go(func() {
		for i := range 500 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			b.UpdateAt(now, vms(names...), shopService())
			if vm, ok := b.ProbeNext(now); ok {
				b.ProbeSucceeded(vm.Name, now, Report{Slots: 3})
			}
			b.HedgeDelay(now)
		}
	})
	group.Wait()
	for _, be := range b.snapshot.Load().backends {
		if n := be.inFlight(); n != 0 {
			t.Errorf("%s has %d reservations at the end, want 0", be.vm.Name, n)
		}
	}
}
