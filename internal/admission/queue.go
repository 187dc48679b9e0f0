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

// pollInterval is how often a queue with waiting requests looks again, as the
// estimates of servers change while nothing happens at this entry.
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

	scheduled atomic.Bool // in the workers' channel
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

// Update puts the ranks of the service in force.
func (q *Queue) Update(svc *tree.Service) {
	q.mu.Lock()
	refused := q.scheduler.SetRanks(svc.Ranks)
	q.gauges = newGauges(q.scope, q.scheduler.queues)
	q.mu.Unlock()
	q.deliver(refused)
	q.workers.schedule(q)
}

// Grant is a place at a backend server.
type Grant struct {
	// Reservation is the backend server to use.
	Reservation *balancer.Reservation
	queue       *Queue
	item        *Item
}

// Done gives the place back; it must be called exactly once.
func (g *Grant) Done(r balancer.Result) {
	q := g.queue
	r.Upload = r.Upload || g.item.Upload
	r.Estimate = g.Reservation.Estimate()
	q.balancer.Done(g.Reservation, time.Now(), r)
	q.mu.Lock()
	q.scheduler.Finish(g.item, r)
	waiting := q.scheduler.Waiting() > 0
	q.mu.Unlock()
	if waiting {
		q.workers.schedule(q)
	}
}

// Admit waits for a place at a backend server. A refusal is always not-run.
func (q *Queue) Admit(ctx context.Context, r Request) (*Grant, *outcome.Refusal) {
	i := &Item{Request: r, ready: make(chan Decision, 1)}
	now := time.Now()
	q.mu.Lock()
	refusal := q.scheduler.Enqueue(i, now)
	decisions := q.decide(now)
	q.mu.Unlock()
	q.deliver(decisions)
	if refusal != nil {
		return nil, q.count(i, refusal)
	}
	select {
	case d := <-i.ready:
		return q.settle(d)
	case <-ctx.Done():
		return q.abandon(i, refusalOf(ctx))
	}
}

func (q *Queue) settle(d Decision) (*Grant, *outcome.Refusal) {
	if d.Refusal != nil {
		return nil, q.count(d.Item, d.Refusal)
	}
	return &Grant{Reservation: d.Reservation, queue: q, item: d.Item}, nil
}

// abandon ends the wait of an item whose caller has gone. A grant that was
// made at the same moment is given back unused.
func (q *Queue) abandon(i *Item, gone *outcome.Refusal) (*Grant, *outcome.Refusal) {
	q.mu.Lock()
	waiting := q.scheduler.Remove(i)
	q.mu.Unlock()
	if waiting {
		return nil, q.count(i, gone)
	}
	grant, refusal := q.settle(<-i.ready)
	if refusal != nil {
		return nil, refusal
	}
	grant.Done(balancer.Result{Kind: balancer.Cancelled})
	return nil, q.count(i, gone)
}

func (q *Queue) count(i *Item, refusal *outcome.Refusal) *outcome.Refusal {
	metrics.Count(q.scope.Tagged(map[string]string{"rank": i.Rank}), metrics.QueueRefusals, string(refusal.Reason))
	return refusal
}

// dispatch decides all items that can be decided now, for a worker.
func (q *Queue) dispatch() {
	q.mu.Lock()
	decisions := q.decide(time.Now())
	q.mu.Unlock()
	q.deliver(decisions)
}

// decide decides all items that can be decided now, in the scheduler's order. The
// mutex is held. A request that arrives decides in its own goroutine: where a
// place is free it spares a worker's wake-up.
func (q *Queue) decide(now time.Time) []Decision {
	var decisions []Decision
	for {
		d, ok := q.scheduler.Next(now)
		if !ok {
			break
		}
		decisions = append(decisions, d)
	}
	q.poll()
	q.observe()
	return decisions
}

// poll arranges the next look while requests wait. The mutex is held.
func (q *Queue) poll() {
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
