package frontend

import (
	"errors"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/buffer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// memoryRetryAfter is the Retry-After of an entry that has no memory for a body. Uploads take
// seconds, so it takes about as long until some have ended.
const memoryRetryAfter = time.Second

// bufferBody reads the complete body, so that an attempt never waits for the caller
// and a retry can send it again. The body must be released when the call has ended.
func (h *Handler) bufferBody(w http.ResponseWriter, r *http.Request, c *call) (*buffer.Body, *outcome.Refusal) {
	route := c.match.Route
	limit := route.MaxBodyBytes
	if most := h.Bodies.MaxBytes(route.Upload); most > 0 {
		limit = min(limit, most)
	}
	if r.ContentLength > limit {
		return nil, bodyTooLarge(limit)
	}
	body, err := h.Bodies.ReadFrom(account.FromContext(r.Context()), http.MaxBytesReader(w, r.Body, limit), r.ContentLength, route.Upload)
	var tooLargeErr *http.MaxBytesError
	switch {
	case err == nil:
	case errors.As(err, &tooLargeErr):
		return nil, bodyTooLarge(limit)
	case errors.Is(err, buffer.ErrNoMemory):
		return nil, noMemory()
	default:
		detail := "the request body ended early; send the request again"
		return nil, outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, detail)
	}
	clearReadDeadline(w)
	if h.Operations != nil {
		c.body = body.Bytes()
	}
	setBody(r, body)
	return body, nil
}

// setBody makes body the body of r, for every attempt.
func setBody(r *http.Request, body *buffer.Body) {
	r.ContentLength = body.Len()
	r.TransferEncoding = nil
	r.GetBody = body.Reader
	// A body that was just read has not been released.
	r.Body, _ = body.Reader()
}

func noMemory() *outcome.Refusal {
	detail := "this entry has no memory for the body now; use another entry or try again"
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonBodyMemory, detail).WithRetryAfter(memoryRetryAfter)
}
