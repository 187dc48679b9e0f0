package attempt

import (
	"context"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

// Step is one attempt at a backend server, or the refusal of a place at one.
type Step struct {
	// Server is the backend server's name, empty where no place was granted.
	Server string
	// Estimate is what the choice of the server was based on.
	Estimate balancer.Estimate
	// Waited is the time in the rank queue.
	Waited time.Duration
	// Took is the time from dispatch to the answer's header or the failure.
	Took time.Duration
	// Result says how it ended: a status, or stage and reason of the failure.
	Result string
}

// Trace collects the steps of one call. It is safe for concurrent use, as a
// hedge runs beside the first attempt.
type Trace struct {
	mu    sync.Mutex
	steps []Step
}

// Steps returns a copy of the steps so far, in the order in which they ended.
func (t *Trace) Steps() []Step {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Step(nil), t.steps...)
}

func (t *Trace) add(s Step) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.steps = append(t.steps, s)
	t.mu.Unlock()
}

type traceKey struct{}

// WithTrace returns a context whose call adds its steps to t.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

func traceOf(ctx context.Context) *Trace {
	t, _ := ctx.Value(traceKey{}).(*Trace)
	return t
}
