// Package attempt makes the attempts of one call: the first one, retries within
// a budget, and hedges of idempotent calls.
//
// An idempotent call may be repeated after any failure. Any other call is sent
// again only where it is certain that the earlier attempt did not run: no byte
// of it was written, or the server said that it was not run.
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
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// maxAttempts bounds the attempts of one call at one layer, hedges included.
const maxAttempts = 3

// maxDials bounds the attempts of one call that reached no server.
const maxDials = 4

// Request asks for a backend server of a service.
type Request struct {
	admission.Request
	// Service is the service's key.
	Service string
}

// Grant is the right to send one attempt to one server.
type Grant interface {
	// Server is the backend server.
	Server() fleet.VM
	// Estimate is what the choice of the server was based on.
	Estimate() balancer.Estimate
	// Slowed reports whether the server was reported slow since the place was granted.
	Slowed() bool
	// Done gives the server's slot back; it is called once.
	Done(balancer.Result)
}

// Admitter queues a call by rank and grants a backend server.
type Admitter interface {
	Admit(ctx context.Context, r Request) (Grant, *outcome.Refusal)
	// HedgeDelay is how long an idempotent attempt of the rank may stay unanswered
	// before a second one is worth its cost; false where none is.
	HedgeDelay(service, rank string) (time.Duration, bool)
}

// Sender makes one attempt at one server.
type Sender interface {
	Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*forward.Response, *forward.SendError)
}

// Runner makes the attempts of calls. It is safe for concurrent use.
type Runner struct {
	admitter Admitter
	sender   Sender
	scope    tally.Scope
	budgets  budgets
}

// New returns a Runner that counts into scope.
func New(admitter Admitter, sender Sender, scope tally.Scope) *Runner {
	return &Runner{admitter: admitter, sender: sender, scope: scope}
}

// Do runs the call and returns the server's answer, whose Body the caller of Do
// must close, or a refusal. The body of req is sent again only where req.GetBody
// is set. ctx carries the deadline; cancelling it cancels the attempts.
func (r *Runner) Do(ctx context.Context, m tree.Match, req *http.Request) (*forward.Response, *outcome.Refusal) {
	c := &call{
		runner: r,
		match:  m,
		req:    req,
		nested: nestedAttempt(req),
		budget: r.budgets.of(m.Service),
		trace:  traceOf(ctx),
		began:  time.Now(),
	}
	return c.run(ctx)
}

// nestedAttempt is the number of earlier attempts made by the layers above.
func nestedAttempt(req *http.Request) int {
	n, err := strconv.Atoi(req.Header.Get(wire.HeaderAttempt))
	if err != nil || n < 0 {
		return 0
	}
	return n
}
