package frontend

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// bufferBody reads the whole body, so that an attempt never waits for the caller
// and a retry can send it again.
func (c *call) bufferBody(w http.ResponseWriter, r *http.Request) *outcome.Refusal {
	limit := c.match.Route.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge(limit)
	}
	if err != nil {
		detail := "the request body ended early; send the request again"
		return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, detail)
	}
	unboundRead(w)
	c.setBody(r, body)
	return nil
}

// setBody makes r send the whole body, as often as it is attempted.
func (c *call) setBody(r *http.Request, body []byte) {
	c.body = body
	r.ContentLength = int64(len(body))
	r.TransferEncoding = nil
	r.GetBody = func() (io.ReadCloser, error) {
		return io.NopCloser(bytes.NewReader(body)), nil
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
}
