package operation

import (
	"context"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Response is a backend server's whole answer to an operation.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header is the header without the connection's own.
	Header http.Header
	// Body is the whole body where BodyKept.
	Body []byte
	// BodyKept is false where the answer was too large to keep.
	BodyKept bool
	// Server is the name of the backend server.
	Server string
}

// result is what an operation came to. done is closed once the other fields are
// set; they never change after that. At most one of answer, packed and refusal
// is set.
type result struct {
	done    chan struct{}
	answer  *Response // for those who wait while it runs
	packed  []byte    // the kept form of answer
	refusal *outcome.Refusal
}

// value returns the answer or the refusal of a settled operation.
func (r *result) value() (Response, *outcome.Refusal) {
	switch {
	case r.refusal != nil:
		return Response{}, r.refusal
	case r.packed != nil:
		return unpack(r.packed), nil
	default:
		return *r.answer, nil
	}
}

// Handle is one request's hold on an operation.
type Handle struct {
	table  *Table // nil unless this is the owner's call
	id     ID
	result *result
}

// MustRun reports whether this request must run the operation.
func (c *Handle) MustRun() bool { return c.table != nil }

// Wait returns the operation's answer, or why there is none. An answer that ran
// and is not kept comes as a refusal with outcome Ran.
func (c *Handle) Wait(ctx context.Context) (Response, *outcome.Refusal) {
	select {
	case <-c.result.done:
		return c.result.value()
	default:
	}
	select {
	case <-c.result.done:
		return c.result.value()
	case <-ctx.Done():
		return Response{}, stillRunning()
	}
}

func stillRunning() *outcome.Refusal {
	r := outcome.NewUnknown(outcome.ReasonDeadline, "the operation is still running; repeat it with the same id to learn the outcome")
	r.Status = http.StatusGatewayTimeout
	return r
}

// Ran settles the operation with the server's answer.
func (c *Handle) Ran(a Response) { c.table.settle(c, a, nil) }

// NotRun settles the operation as not run: a repeat gets the same refusal and
// never runs.
func (c *Handle) NotRun(r *outcome.Refusal) { c.table.settle(c, Response{}, r) }

// Unknown settles the operation with an outcome that nobody knows.
func (c *Handle) Unknown(r *outcome.Refusal) { c.table.settle(c, Response{}, r) }

// Complete settles the operation with what a run returned.
func (c *Handle) Complete(a Response, refusal *outcome.Refusal) { c.table.settle(c, a, refusal) }
