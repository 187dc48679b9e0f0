// Package drain stops an entry gracefully. A Drainer counts the requests in progress, decides
// which ones can still be completed before the connections are closed, and closes the listener
// and the connections in that order. Its methods are safe for concurrent use; its only lock is
// that of its context.
package drain

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

const (
	// pollInterval is how often a Drainer checks for requests in progress.
	pollInterval = 10 * time.Millisecond
	// responseMargin is the time before connections are closed in which the responses of
	// requests that ended at their deadline are still written.
	responseMargin = 200 * time.Millisecond
	// serviceTimeFactor is the factor on a request's usual service time by which it is
	// expected to have ended.
	serviceTimeFactor = 2
	// refusalRetryAfter is the Retry-After of a request that can't be completed. Another
	// entry can serve it as soon as this one has closed its listener.
	refusalRetryAfter = 50 * time.Millisecond
)

// errTooLate is the cause of the end of a wait for a server that is no longer worthwhile.
var errTooLate = errors.New("the entry stops before the request could be completed")

// Plan is the schedule of a planned stop, as times since its start.
type Plan struct {
	// MinAccept and MaxAccept bound how long new connections are accepted. In between, the
	// listener is closed once no caller uses the entry, or a request came too late.
	MinAccept, MaxAccept time.Duration
	// CloseAfter is when the connections that are still open are closed.
	CloseAfter time.Duration
}

// schedule is a Plan with its times.
type schedule struct {
	minAccept, maxAccept time.Time
	// lastUnbounded is until when a request is sent to a server although its deadline is
	// later than lastResponse.
	lastUnbounded time.Time
	// lastResponse is the latest deadline of a request that is certainly answered.
	lastResponse time.Time
	closeAt      time.Time
}

// Drainer counts the requests in progress of an entry and stops it gracefully. A nil *Drainer
// never drains. New returns one that is ready for use.
type Drainer struct {
	calls     atomic.Int64 // requests of callers in progress
	entered   atomic.Int64 // requests of callers so far
	forwarded atomic.Int64 // requests in progress that other entries forwarded
	schedule  atomic.Pointer[schedule]
	refused   atomic.Bool // a request was refused as too late

	// late is cancelled at schedule.lastUnbounded.
	late   context.Context
	cancel context.CancelFunc
}

// New returns a Drainer of an entry that is not draining.
func New() *Drainer {
	d := &Drainer{}
	d.late, d.cancel = context.WithCancel(context.Background())
	return d
}

// Start begins draining: from then on responses ask callers to close their connections, and
// requests that can't be completed by the plan are refused. Only the first call has an effect.
func (d *Drainer) Start(plan Plan) {
	began := time.Now()
	s := &schedule{
		minAccept:     began.Add(plan.MinAccept),
		maxAccept:     began.Add(plan.MaxAccept),
		lastUnbounded: began.Add(plan.CloseAfter / 2),
		lastResponse:  began.Add(plan.CloseAfter - responseMargin),
		closeAt:       began.Add(plan.CloseAfter),
	}
	if d.schedule.CompareAndSwap(nil, s) {
		time.AfterFunc(plan.CloseAfter/2, d.cancel)
	}
}

// Draining reports whether Start was called.
func (d *Drainer) Draining() bool { return d != nil && d.schedule.Load() != nil }

// InFlight returns the number of requests in progress.
func (d *Drainer) InFlight() int64 { return d.calls.Load() + d.forwarded.Load() }

// EnterCall counts a caller's request until the returned function is called.
func (d *Drainer) EnterCall() (exit func()) {
	d.entered.Add(1)
	return enter(&d.calls)
}

// EnterForwarded counts a request that another entry forwarded until the returned function is
// called.
func (d *Drainer) EnterForwarded() (exit func()) { return enter(&d.forwarded) }

func enter(counter *atomic.Int64) func() {
	counter.Add(1)
	return func() { counter.Add(-1) }
}

// Wait returns when no request is in progress, or with the context's error. It includes the
// requests that other entries forwarded, which the HTTP server does not count.
func (d *Drainer) Wait(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for d.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// Check returns a refusal if a request that is sent to a server now might not be answered
// before the connections are closed. A request with an earlier deadline is always answered.
// With a later one it may be cut, so it is accepted only in the first half of the drain, and
// if its usual service time, zero if that is unknown, leaves enough time.
func (d *Drainer) Check(deadline time.Time, serviceTime time.Duration) *outcome.Refusal {
	if !d.Draining() {
		return nil
	}
	s, now := d.schedule.Load(), time.Now()
	expectedEnd := now.Add(serviceTimeFactor * serviceTime)
	if s.answers(deadline) || now.Before(s.lastUnbounded) && expectedEnd.Before(s.lastResponse) {
		return nil
	}
	return d.refuse()
}

// answers reports whether a request with that deadline is certainly answered before the
// connections are closed. A zero deadline means none.
func (s *schedule) answers(deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(s.lastResponse)
}

// LimitWait returns a context that also ends when a request with that deadline can no longer
// be sent to a server. Refusal tells whether that was the reason. The returned function must be
// called at the end of the wait.
func (d *Drainer) LimitWait(ctx context.Context, deadline time.Time) (context.Context, func()) {
	if d == nil {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(d.late, func() {
		if !d.schedule.Load().answers(deadline) {
			cancel(errTooLate)
		}
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// Refusal returns the refusal of a request whose wait, with a context of LimitWait, ended
// because it can't be completed any more; nil if there was another reason.
func (d *Drainer) Refusal(ctx context.Context) *outcome.Refusal {
	if context.Cause(ctx) != errTooLate { //nolint:errorlint // the cause is never wrapped
		return nil
	}
	return d.refuse()
}

func (d *Drainer) refuse() *outcome.Refusal {
	d.refused.Store(true)
	detail := "this entry stops and could not complete the request; use another entry"
	refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonStopping, detail)
	return refusal.WithRetryAfter(refusalRetryAfter)
}
