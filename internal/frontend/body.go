package frontend

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// bufferBody reads the complete body, so that an attempt never waits for the caller
// and a retry can send it again.
func (c *call) bufferBody(w http.ResponseWriter, r *http.Request) *outcome.Refusal {
	limit := c.match.Route.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLargeErr *http.MaxBytesError
	if errors.As(err, &tooLargeErr) {
		return bodyTooLarge(limit)
	}
	if err != nil {
		detail := "the request body ended early; send the request again"
		return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, detail)
	}
	clearReadDeadline(w)
	c.setBody(r, body)
	return nil
}

// setBody makes body the body of r, for every attempt.
func (c *call) setBody(r *http.Request, body []byte) {
	c.body = body
	r.ContentLength = int64(len(body))
	r.TransferEncoding = nil
	r.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
}
