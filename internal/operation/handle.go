package operation

import (
	"context"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Response is a backend server's complete response to an operation.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header is the header without hop-by-hop fields.
	Header http.Header
	// Body is the complete body if BodyStored is set.
	Body []byte
	// BodyStored is false if the response was too large to store.
	BodyStored bool
	// Server is the name of the backend server.
	Server string
}

// result is the outcome of an operation. done is closed once the other fields
// are set; they never change after that. At most one of response, encoded and
// refusal is set.
type result struct {
	done     chan struct{}
	response *Response // for requests that wait while the operation runs
	encoded  []byte    // the stored form of response
	refusal  *outcome.Refusal
}

// value returns the response or the refusal of a completed operation.
func (r *result) value() (Response, *outcome.Refusal) {
	switch {
	case r.refusal != nil:
		return Response{}, r.refusal
	case r.encoded != nil:
		return decodeResponse(r.encoded), nil
	default:
		return *r.response, nil
	}
}

// Handle is one request's handle on an operation that it may share with other
// requests.
type Handle struct {
	table  *Table // nil unless this request must run the operation
	id     ID
	result *result
}

// MustRun reports whether this request must run the operation.
func (h *Handle) MustRun() bool { return h.table != nil }

// Wait waits for the operation and returns its response, or a refusal if there is
// none. If the operation ran but its response is not stored, the refusal has
// the outcome Ran. If ctx ends first, the outcome is Unknown.
func (h *Handle) Wait(ctx context.Context) (Response, *outcome.Refusal) {
	select {
	case <-h.result.done:
		return h.result.value()
	default:
	}
	select {
	case <-h.result.done:
		return h.result.value()
	case <-ctx.Done():
		return Response{}, stillRunning()
	}
}

func stillRunning() *outcome.Refusal {
	r := outcome.NewUnknown(outcome.ReasonDeadline, "the operation is still running; repeat it with the same id to learn the outcome")
	r.Status = http.StatusGatewayTimeout
	return r
}

// Ran completes the operation with the server's response.
func (h *Handle) Ran(resp Response) { h.table.complete(h, resp, nil) }

// NotRun completes the operation as not run: a retry gets the same refusal and
// never runs.
func (h *Handle) NotRun(r *outcome.Refusal) { h.table.complete(h, Response{}, r) }

// Unknown completes the operation with an unknown outcome.
func (h *Handle) Unknown(r *outcome.Refusal) { h.table.complete(h, Response{}, r) }

// Complete completes the operation with the result of a run.
func (h *Handle) Complete(resp Response, refusal *outcome.Refusal) {
	h.table.complete(h, resp, refusal)
}
