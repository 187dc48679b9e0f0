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

// TestManyCallersLoseNoSlot admits callers of all ranks while others time out
// and the ranks are updated. Every call must end exactly once, no server may
// hold more requests than its one slot, and at the end every slot must be free.
func TestManyCallersLoseNoSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(t, tally.NoopScope, "s1", "s2", "s3")
		var running, ended atomic.Int32
		call := func(rank string, timeout, work time.Duration) {
			defer ended.Add(1)
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			g, refusal := q.Admit(ctx, Request{Rank: rank, Upload: rank == "uploads"})
			if refusal != nil {
				return
			}
			if n := running.Add(1); n > 3 {
				t.Errorf("%d requests running at three servers of one slot", n)
			}
			time.Sleep(work)
			running.Add(-1)
			g.Done(balancer.Result{Latency: work})
		}
		const calls = 600
		ranks := []string{"payments", "lookups", "lookups", "uploads"}
		var group sync.WaitGroup
		for i := range calls {
			timeout := time.Duration(1+i%50) * time.Millisecond
			group.Go(func() { call(ranks[i%len(ranks)], timeout, time.Duration(i%7)*time.Millisecond) })
			if i%100 == 0 {
				q.Update(shopService())
			}
			time.Sleep(time.Millisecond)
		}
		group.Wait()
		if n := ended.Load(); n != calls {
			t.Errorf("%d calls ended, want %d", n, calls)
		}
		for range 3 {
			g, refusal := q.Admit(t.Context(), Request{Rank: "payments"})
			if refusal != nil {
				t.Fatalf("refused although all slots should be free: %v", refusal)
			}
			defer g.Done(balancer.Result{})
		}
	})
}
