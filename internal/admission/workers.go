package admission

import (
	"context"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"github.com/uber-go/tally/v4"
)

// readyQueues is the most queues that wait for a worker before schedule blocks.
const readyQueues = 1024

// Workers is the process's pool of dispatching goroutines over the shared table
// of queues. A queue is handled by one worker at a time, as it stands at most
// once in the channel of ready queues and is locked while it is dispatched.
type Workers struct {
	scope tally.Scope
	ready chan *Queue
	ended chan struct{}

	mu     sync.Mutex // guards queues
	queues map[string]*Queue
}

// NewWorkers returns a pool that dispatches once Run is called.
func NewWorkers(scope tally.Scope) *Workers {
	return &Workers{
		scope:  scope,
		ready:  make(chan *Queue, readyQueues),
		ended:  make(chan struct{}),
		queues: make(map[string]*Queue),
	}
}

// Queue returns the queue of the service, made on first use over the balancer.
func (w *Workers) Queue(serviceKey string, b *balancer.Balancer) *Queue {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queues[serviceKey]
	if q == nil {
		q = NewQueue(w, b, w.scope.Tagged(map[string]string{"service": serviceKey}))
		w.queues[serviceKey] = q
	}
	return q
}

// Run dispatches with n goroutines until ctx ends; it is called once.
func (w *Workers) Run(ctx context.Context, n int) {
	defer close(w.ended)
	var group sync.WaitGroup
	for range n {
		group.Go(func() { w.work(ctx) })
	}
	group.Wait()
}

func (w *Workers) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case q := <-w.ready:
			q.scheduled.Store(false)
			q.dispatch()
		}
	}
}

// schedule asks a worker to dispatch the queue.
func (w *Workers) schedule(q *Queue) {
	if !q.scheduled.CompareAndSwap(false, true) {
		return
	}
	select {
	case w.ready <- q:
	case <-w.ended:
	}
}
