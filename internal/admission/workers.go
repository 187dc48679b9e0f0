package admission

import (
	"context"
	"sync"
)

// maxReadyQueues is the number of queues that can wait for a worker before
// schedule blocks.
const maxReadyQueues = 1024

// Workers is the pool of goroutines that dispatch for the queues of all
// services. A queue is handled by one worker at a time: it is in the channel of
// ready queues at most once, and locked while it is dispatched.
type Workers struct {
	ready chan *Queue
	ended chan struct{} // closed when Run returns
}

// NewWorkers returns a pool that starts to dispatch when Run is called.
func NewWorkers() *Workers {
	return &Workers{ready: make(chan *Queue, maxReadyQueues), ended: make(chan struct{})}
}

// Run dispatches with n goroutines until ctx ends. It must be called at most
// once.
func (w *Workers) Run(ctx context.Context, n int) {
	defer close(w.ended)
	var group sync.WaitGroup
	for range n {
		group.Go(func() { w.runWorker(ctx) })
	}
	group.Wait()
}

func (w *Workers) runWorker(ctx context.Context) {
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
