package attempt

import (
	"context"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

// Step is one attempt at a backend server, or the refusal of a slot at one.
type Step struct {
	// Server is the backend server's name, empty if no slot was granted.
	Server string
	// Estimate is the estimate that the choice of the server was based on.
	Estimate balancer.Estimate
	// Waited is the time spent in the rank queue.
	Waited time.Duration
	// Took is the time from dispatch to the response header or the failure.
	Took time.Duration
	// Result is how it ended: the HTTP status, the stage and reason of the
	// failure, the reason of the refusal, or "abandoned" if the other attempt of
	// a hedged call won.
	Result string
}

// Trace collects the steps of one call. It is safe for concurrent use, as a
// hedge runs concurrently with the first attempt.
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

// WithTrace returns a context that makes the call add its steps to t.
func WithTrace(ctx context.Context, t *Trace) context.Context {
	return context.WithValue(ctx, traceKey{}, t)
}

func traceOf(ctx context.Context) *Trace {
	t, _ := ctx.Value(traceKey{}).(*Trace)
	return t
}

type utilizationKey struct{}

// WithUtilization returns a context for a call whose tenant has recently used that part of its
// allowance.
func WithUtilization(ctx context.Context, utilization float64) context.Context {
	return context.WithValue(ctx, utilizationKey{}, utilization)
}

func utilizationOf(ctx context.Context) float64 {
	utilization, _ := ctx.Value(utilizationKey{}).(float64)
	return utilization
}
