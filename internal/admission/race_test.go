package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"github.com/uber-go/tally/v4"
)

// TestManyCallersLoseNoPlace lets callers of all ranks come, go away and change
// the ranks at the same time. Every call ends once, no server holds more than
// its slot, and at the end a place is free again.
func TestManyCallersLoseNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(t, tally.NoopScope, "s1", "s2", "s3")
		var running, ended atomic.Int32
		call := func(rank string, patience, work time.Duration) {
			defer ended.Add(1)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			g, refusal := q.Admit(ctx, Request{Rank: rank, Upload: rank == "uploads"})
			if refusal != nil {
				return
			}
			if n := running.Add(1); n > 3 {
				t.Errorf("%d requests at three servers of one slot", n)
			}
			time.Sleep(work)
			running.Add(-1)
			g.Done(balancer.Result{Latency: work})
		}
		const calls = 600
		ranks := []string{"payments", "lookups", "lookups", "uploads"}
		var group sync.WaitGroup
		for i := range calls {
			patience := time.Duration(1+i%50) * time.Millisecond
			group.Go(func() { call(ranks[i%len(ranks)], patience, time.Duration(i%7)*time.Millisecond) })
			if i%100 == 0 {
				q.Update(shop())
			}
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		if n := ended.Load(); n != calls {
			t.Errorf("%d of %d calls ended", n, calls)
		}
		for range 3 {
			g, refusal := q.Admit(t.Context(), Request{Rank: "payments"})
			if refusal != nil {
				t.Fatalf("a place was lost: %v", refusal)
			}
			defer g.Done(balancer.Result{})
		}
	})
}
