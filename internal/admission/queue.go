package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"github.com/uber-go/tally/v4"
)

// pollInterval is how often a queue with waiting requests retries the dispatch,
// as the load estimates of servers change even while no request arrives or ends
// at this entry.
const pollInterval = 2 * time.Millisecond

// Queue is the rank queue of one service. It is safe for concurrent use.
type Queue struct {
	workers  *Workers
	balancer *balancer.Balancer
	scope    tally.Scope

	mu        sync.Mutex // guards the fields below
	scheduler *Scheduler
	gauges    gauges
	polling   bool

	scheduled atomic.Bool // in Workers.ready
}

// NewQueue returns a queue whose requests the workers dispatch to servers of
// the balancer. Refusals are counted in the scope by reason and rank.
func NewQueue(workers *Workers, b *balancer.Balancer, scope tally.Scope) *Queue {
	return &Queue{
		workers:   workers,
		balancer:  b,
		scope:     scope,
		scheduler: NewScheduler(b),
		gauges:    newGauges(scope, nil),
	}
}

// Update applies the ranks of the service. Waiting requests of a removed rank
// are refused.
func (q *Queue) Update(svc *tree.Service) {
	q.mu.Lock()
	refused := q.scheduler.SetRanks(svc.Ranks)
	q.gauges = newGauges(q.scope, q.scheduler.queues)
	q.mu.Unlock()
	q.deliver(refused)
	q.workers.schedule(q)
}

// Close refuses all waiting requests and those that still come: the service is no longer
// configured.
func (q *Queue) Close() { q.Update(&tree.Service{}) }

// Grant is a slot at a backend server, reserved for one request.
type Grant struct {
	// Reservation holds the backend server and its slot.
	Reservation *balancer.Reservation
	queue       *Queue
	item        *Item
}

// Done releases the slot and reports the result; it must be called exactly
// once.
func (g *Grant) Done(r balancer.Result) {
	q := g.queue
	r.Upload = r.Upload || g.item.Upload
	r.Estimate = g.Reservation.Estimate()
	now := time.Now()
	q.balancer.Done(g.Reservation, now, r)
	q.mu.Lock()
	q.scheduler.Finish(g.item, r, now)
	waiting := q.scheduler.Waiting() > 0
	q.mu.Unlock()
	if waiting {
		q.workers.schedule(q)
	}
}

// Admit waits for a slot at a backend server. A refusal always has the outcome
// not-run.
func (q *Queue) Admit(ctx context.Context, r Request) (*Grant, *outcome.Refusal) {
	item := &Item{Request: r, ready: make(chan Decision, 1)}
	now := time.Now()
	q.mu.Lock()
	refusal := q.scheduler.Enqueue(item, now)
	decisions := q.decide(now)
	q.mu.Unlock()
	q.deliver(decisions)
	if refusal != nil {
		return nil, q.countRefusal(item, refusal)
	}
	select {
	case d := <-item.ready:
		return q.resolve(d)
	case <-ctx.Done():
		return q.cancelWait(item, contextRefusal(ctx))
	}
}

func (q *Queue) resolve(d Decision) (*Grant, *outcome.Refusal) {
	if d.Refusal != nil {
		return nil, q.countRefusal(d.Item, d.Refusal)
	}
	return &Grant{Reservation: d.Reservation, queue: q, item: d.Item}, nil
}

// cancelWait ends the wait of an item whose caller has gone. A grant that was
// made at the same moment is returned unused.
func (q *Queue) cancelWait(item *Item, gone *outcome.Refusal) (*Grant, *outcome.Refusal) {
	q.mu.Lock()
	waiting := q.scheduler.Remove(item)
	q.mu.Unlock()
	if waiting {
		return nil, q.countRefusal(item, gone)
	}
	grant, refusal := q.resolve(<-item.ready)
	if refusal != nil {
		return nil, refusal
	}
	grant.Done(balancer.Result{Kind: balancer.Cancelled})
	return nil, q.countRefusal(item, gone)
}

func (q *Queue) countRefusal(item *Item, refusal *outcome.Refusal) *outcome.Refusal {
	metrics.Count(q.scope.Tagged(map[string]string{"rank": item.Rank}), metrics.QueueRefusals, string(refusal.Reason))
	return refusal
}

// dispatch decides all items that can be decided now. Workers call it.
func (q *Queue) dispatch() {
	q.mu.Lock()
	decisions := q.decide(time.Now())
	q.mu.Unlock()
	q.deliver(decisions)
}

// decide decides all items that can be decided now, in the scheduler's order.
// The caller holds q.mu. A request that arrives runs decide in its own
// goroutine, which saves the wake-up of a worker if a slot is free.
func (q *Queue) decide(now time.Time) []Decision {
	var decisions []Decision
	for {
		d, ok := q.scheduler.Next(now)
		if !ok {
			break
		}
		decisions = append(decisions, d)
	}
	q.schedulePoll()
	q.updateGauges()
	return decisions
}

// schedulePoll sets the timer of the next dispatch while requests wait. The
// caller holds q.mu.
func (q *Queue) schedulePoll() {
	if q.polling || q.scheduler.Waiting() == 0 {
		return
	}
	q.polling = true
	time.AfterFunc(pollInterval, func() {
		q.mu.Lock()
		q.polling = false
		q.mu.Unlock()
		q.workers.schedule(q)
	})
}

func (q *Queue) deliver(decisions []Decision) {
	for _, d := range decisions {
		d.Item.ready <- d
	}
}
