package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"github.com/uber-go/tally/v4"
)

func shopService() *tree.Service {
	return &tree.Service{
		Member: "glazenpot", Name: "shop", SlotsPerServer: 1, ConnectionsPerServer: 250,
		Ranks: []tree.Rank{
			{Name: "payments", Order: 1, Target: time.Second, QueueLength: 10, QueueBytes: 1 << 20},
			{Name: "lookups", Order: 2, Target: time.Second, QueueLength: 10, QueueBytes: 1 << 20},
			{Name: "uploads", Order: 3, Target: time.Minute, QueueLength: 2, QueueBytes: 1 << 10, Streams: 1},
		},
	}
}

// newQueue returns a queue over the named servers, each with one slot. Its
// worker pool runs until the test ends.
func newQueue(t *testing.T, scope tally.Scope, servers ...string) *Queue {
	b := balancer.New(balancer.Options{Zone: "a"})
	var vms []fleet.VM
	for _, name := range servers {
		vms = append(vms, fleet.VM{Name: name, Address: name + ":80", Zone: "a", State: fleet.Live})
	}
	b.Update(vms, shopService())
	workers := NewWorkers()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { workers.Run(ctx, 2); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	q := NewQueue(workers, b, scope)
	q.Update(shopService())
	return q
}

func TestAdmitWaitsForAPlaceAndServesTheUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(t, tally.NoopScope, "s1")
		held, refusal := q.Admit(t.Context(), Request{Rank: "lookups"})
		if refusal != nil {
			t.Fatal(refusal)
		}
		order := make(chan string, 2)
		for _, rank := range []string{"lookups", "payments"} {
			go func() {
				g, refusal := q.Admit(t.Context(), Request{Rank: rank})
				if refusal != nil {
					t.Error(refusal)
					return
				}
				order <- rank
				g.Done(balancer.Result{Latency: time.Millisecond})
			}()
			synctest.Wait()
		}
		held.Done(balancer.Result{Latency: time.Millisecond})
		if first, second := <-order, <-order; first != "payments" || second != "lookups" {
			t.Fatalf("served %s before %s, want payments before lookups", first, second)
		}
	})
}

func TestAdmitEndsWithTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(t, tally.NoopScope, "s1")
		held, _ := q.Admit(t.Context(), Request{Rank: "lookups"})
		timeout, cancelTimeout := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancelTimeout()
		gone, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		for _, c := range []struct {
			ctx    context.Context
			reason outcome.Reason
		}{{timeout, outcome.ReasonDeadline}, {gone, outcome.ReasonCallerGone}} {
			_, refusal := q.Admit(c.ctx, Request{Rank: "lookups"})
			if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.Reason != c.reason {
				t.Fatalf("refusal %v, want not-run %s", refusal, c.reason)
			}
		}
		held.Done(balancer.Result{})
		if _, refusal := q.Admit(t.Context(), Request{Rank: "lookups"}); refusal != nil {
			t.Fatalf("refused after the slot was released: %v", refusal)
		}
	})
}

func TestGaugesShowTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		q := newQueue(t, scope, "s1")
		held, _ := q.Admit(t.Context(), Request{Rank: "lookups"})
		enqueueWaiting(t, q, 2, Request{Rank: "lookups"})
		for name, want := range map[string]float64{
			"queue_waiting+rank=lookups":  2,
			"queue_waiting+rank=payments": 0,
			"queue_window+rank=payments":  initialLimit,
			"report_trust+":               1,
			"busy_share+":                 0,
		} {
			g := scope.Snapshot().Gauges()[name]
			if g == nil || g.Value() != want {
				t.Errorf("%s is %v, want %v", name, g, want)
			}
		}
		held.Done(balancer.Result{})
	})
}
