package storesync

import (
	"context"
	"errors"
	"sync"
)

// restartableRead lets another goroutine restart a read that waits at the store. The zero value
// is ready for use.
type restartableRead struct {
	mu     sync.Mutex // guards cancel
	cancel context.CancelCauseFunc
}

var errRestarted = errors.New("the read was restarted")

// begin returns the context of a new read, and a function that ends it and reports whether it
// was restarted.
func (r *restartableRead) begin(parent context.Context) (ctx context.Context, restarted func() bool) {
	ctx, cancel := context.WithCancelCause(parent)
	r.mu.Lock()
	r.cancel = cancel
	r.mu.Unlock()
	return ctx, func() bool {
		cancel(nil)
		return errors.Is(context.Cause(ctx), errRestarted)
	}
}

// restart ends the read in progress, if there is one.
func (r *restartableRead) restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancel != nil {
		r.cancel(errRestarted)
	}
}
