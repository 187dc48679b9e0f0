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

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// maxAttempts bounds the attempts of one call at one layer, hedges included.
const maxAttempts = 3

// Request asks for a backend server.
type Request struct {
	// Service is the service's key.
	Service string
	// Rank of the work.
	Rank string
	// Bytes of the request body that are buffered here.
	Bytes int64
	// Deadline of the call; zero means none.
	Deadline time.Time
	// Upload says that the body is streamed.
	Upload bool
	// Exclude names the servers that this call has tried.
	Exclude []string
}

// ResultKind is how an attempt ended, as the balancer sees it.
type ResultKind int

const (
	// OK is an answer that is no server error.
	OK ResultKind = iota
	// Error is a server error or a broken connection.
	Error
	// Shed is a refusal with the proof that nothing ran.
	Shed
	// DialFailed means that no connection could be opened.
	DialFailed
	// Cancelled means that this side ended the attempt.
	Cancelled
)

// Result is what an attempt tells the balancer about its server.
type Result struct {
	// Latency is the time to the answer's header, or to the failure.
	Latency time.Duration
	// Kind is how the attempt ended.
	Kind ResultKind
	// LoadReport is the server's raw load report, or empty.
	LoadReport string
}

// Grant is the right to send one attempt to one server.
type Grant interface {
	// Server is the backend server.
	Server() fleet.VM
	// Done gives the server's slot back; it is called once.
	Done(Result)
}

// Admitter queues a call by rank and grants a backend server.
type Admitter interface {
	Admit(ctx context.Context, r Request) (Grant, *outcome.Refusal)
}

// Sender makes one attempt at one server.
type Sender interface {
	Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*forward.Answer, *forward.Failure)
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
// is set. ctx carries the deadline; cancelling it cancels the attempt.
func (r *Runner) Do(ctx context.Context, m tree.Match, req *http.Request) (*forward.Answer, *outcome.Refusal) {
	c := &call{runner: r, match: m, req: req, nested: nestedAttempt(req), budget: r.budgets.of(m.Service)}
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
