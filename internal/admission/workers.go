package admission

import (
	"context"
	"sync"
)

// readyQueues is the most queues that wait for a worker before schedule blocks.
const readyQueues = 1024

// Workers is the process's pool of dispatching goroutines for the queues of all
// services. A queue is handled by one worker at a time, as it stands at most once
// in the channel of ready queues and is locked while it is dispatched.
type Workers struct {
	ready chan *Queue
	ended chan struct{}
}

// NewWorkers returns a pool that dispatches once Run is called.
func NewWorkers() *Workers {
	return &Workers{ready: make(chan *Queue, readyQueues), ended: make(chan struct{})}
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
