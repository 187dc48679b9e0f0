package balancer

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestConcurrentPicksKeepThePlaces lets picks, ends, updates and probes meet. No
// server may ever hold more requests than its slots, and all places are free at
// the end. The race detector watches.
func TestConcurrentPicksKeepThePlaces(t *testing.T) {
	names := []string{"s1", "s2", "s3"}
	b := newShop(names...)
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
				s, ok := b.Pick(now, nil)
				if !ok {
					continue
				}
				if n := inUse[s.VM.Name].Add(1); n > 3 {
					t.Errorf("%d requests at %s", n, s.VM.Name)
				}
				inUse[s.VM.Name].Add(-1)
				report := Report{InFlight: i % 4, Slots: 3}
				b.Done(s, now, Result{Kind: kinds[(i+worker)%len(kinds)], Latency: time.Millisecond, HasReport: true, Report: report})
			}
		})
	}
	group.Go(func() {
		for i := range 500 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			b.UpdateAt(now, vms(names...), shop())
			if vm, ok := b.ProbeNext(now); ok {
				b.ProbeAnswered(vm.Name, now, Report{Slots: 3})
			}
			b.HedgeDelay(now)
		}
	})
	group.Wait()
	for _, h := range b.snapshot.Load().hosts {
		if n := h.inFlight(); n != 0 {
			t.Errorf("%s keeps %d places", h.vm.Name, n)
		}
	}
}
