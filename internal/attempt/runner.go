// Package attempt makes the attempts of one call: the first one, retries within
// a budget, and hedges of idempotent calls.
//
// An idempotent call may be retried after any failure. Any other call is
// retried only if it is certain that the earlier attempt did not run: no byte
// of it was sent, or the server reported that it was not run.
package attempt

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/quarantine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// DefaultMaxAttempts bounds the attempts of one call at one layer, hedges
// included. A route can set another limit.
const DefaultMaxAttempts = 3

// maxUnsentAttempts bounds the attempts of one call that reached no server.
const maxUnsentAttempts = 4

// Request asks for a backend server of a service.
type Request struct {
	admission.Request
	// Service is the service's key.
	Service string
}

// Grant is a reserved slot at a server for one attempt.
type Grant interface {
	// Server returns the backend server.
	Server() fleet.VM
	// Estimate returns the estimate that the choice of the server was based on.
	Estimate() balancer.Estimate
	// Slowed reports whether the server was reported slow since the slot was
	// granted.
	Slowed() bool
	// Done releases the slot and reports the result; it must be called exactly
	// once.
	Done(balancer.Result)
}

// Admitter queues a call by rank and grants a slot at a backend server.
type Admitter interface {
	Admit(ctx context.Context, r Request) (Grant, *outcome.Refusal)
	// ServiceTime returns how long a server usually takes for the request, zero if that is
	// not known.
	ServiceTime(r Request) time.Duration
	// HedgeDelay returns how long an idempotent attempt of the rank may remain
	// unanswered before a second one is worth its cost, and false if none is.
	HedgeDelay(service, rank string, target time.Duration) (time.Duration, bool)
}

// Sender sends one attempt to one server.
type Sender interface {
	Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*forward.Response, *forward.SendError)
}

// Runner makes the attempts of calls. It is safe for concurrent use.
type Runner struct {
	admitter Admitter
	sender   Sender
	scope    tally.Scope
	budgets  budgets
	guard    *quarantine.Guard
	drainer  *drain.Drainer
}

// New returns a Runner that counts into scope.
func New(admitter Admitter, sender Sender, scope tally.Scope) *Runner {
	return &Runner{admitter: admitter, sender: sender, scope: scope}
}

// WithGuard makes the Runner refuse requests that are held by the guard, and report to it how
// attempts end. It must be called before the first call, and returns the Runner.
func (r *Runner) WithGuard(guard *quarantine.Guard) *Runner {
	r.guard = guard
	return r
}

// WithDrainer makes the Runner refuse requests that can't be completed before the entry stops,
// also while they wait for a server. It must be called before the first call, and returns the
// Runner.
func (r *Runner) WithDrainer(drainer *drain.Drainer) *Runner {
	r.drainer = drainer
	return r
}

// Do runs the call and returns the server's response or a refusal. The caller
// of Do must close the response Body. The body of req is sent again only if
// req.GetBody is set. ctx carries the deadline; cancelling it cancels the
// attempts, except that of a non-idempotent request that has already left the
// queue.
func (r *Runner) Do(ctx context.Context, m tree.Match, req *http.Request) (*forward.Response, *outcome.Refusal) {
	tracked, refusal := r.guard.Begin(req)
	if refusal != nil {
		traceOf(ctx).add(Step{Result: string(refusal.Reason)})
		return nil, refusal
	}
	defer tracked.End()
	c := &call{
		runner:        r,
		tracked:       tracked,
		match:         m,
		req:           req,
		priorAttempts: parsePriorAttempts(req),
		budget:        r.budgets.forService(m.Service),
		trace:         traceOf(ctx),
		began:         time.Now(),
	}
	return c.run(ctx)
}

// parsePriorAttempts returns the number of attempts already made by the layers
// in front of this entry, from the Chestnut-Attempt header.
func parsePriorAttempts(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get(wire.HeaderAttempt))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
