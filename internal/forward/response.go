package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// copyBufferBytes is the size of the buffer that copies one response body.
const copyBufferBytes = 32 << 10

var (
	errExcessBytes     = errors.New("server sent more bytes than the response's length")
	errEndlessBody     = errors.New("response without an announced length exceeds the limit")
	errUndelimitedBody = errors.New("response has neither a Content-Length nor chunked encoding, so truncation can't be detected")
)

// TruncatedError reports a response body that is incomplete or longer than announced.
type TruncatedError struct {
	// Server is the backend server's name.
	Server string
	// Read is how many bytes of the body were received.
	Read int64
	// Err is the cause.
	Err error
}

// Error returns the server, the bytes received and the cause.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("invalid response body from %s after %d bytes: %v", e.Server, e.Read, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// Response is a backend server's response. Body must be closed.
type Response struct {
	// Status is the server's HTTP status.
	Status int
	// Header is the server's header without hop-by-hop fields.
	Header http.Header
	// Body streams the response body; reading fails with *TruncatedError if it
	// is incomplete or longer than announced.
	Body io.ReadCloser
	// Complete is set if Body was read completely from the server, and is in memory.
	Complete bool
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
	// Server is the name of the backend server.
	Server string
	// LoadReport is the raw load report, or empty.
	LoadReport string
	// RequestLimit is the raw request limit that the server names, or empty.
	RequestLimit string
	// Notices are what the response says about further requests to the server.
	Notices balancer.Notices
	// AnnouncedTrailers are the names in the server's Trailer header.
	AnnouncedTrailers []string
	// Trailer returns the trailers after Body has been read to EOF.
	Trailer func() http.Header
}

func newResponse(att *attempt, resp *http.Response, loadReport, requestLimit string) *Response {
	out := &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Server:        att.server.Name,
		LoadReport:    loadReport,
		RequestLimit:  requestLimit,
		Trailer:       func() http.Header { return resp.Trailer },
	}
	for name := range resp.Trailer {
		out.AnnouncedTrailers = append(out.AnnouncedTrailers, name)
	}
	out.Body = &responseBody{
		attempt: att,
		body:    resp.Body,
		length:  wireBodyLength(resp),
		chunked: slices.Contains(resp.TransferEncoding, "chunked"),
	}
	return out
}

// wireBodyLength returns the number of body bytes on the connection, or -1 if
// unknown. It differs from Content-Length where the response has no body.
func wireBodyLength(resp *http.Response) int64 {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return 0
	}
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return 0
	}
	return resp.ContentLength
}

// responseBody reads the body and fails if it is shorter or longer than announced.
type responseBody struct {
	attempt   *attempt
	body      io.ReadCloser
	length    int64
	chunked   bool
	bytesRead int64
	err       error
}

// Read returns the last bytes only if no excess bytes follow them, unless the
// responses are correlated with their requests.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	b.bytesRead += int64(n)
	if err != nil && err != io.EOF {
		return n, b.fail(err)
	}
	if b.length < 0 && b.bytesRead > maxUnknownLengthBytes {
		return 0, b.fail(errEndlessBody)
	}
	if b.length >= 0 && b.bytesRead >= b.length && !b.attempt.opts.CorrelatedResponses && b.attempt.hasExcess(b.length) {
		return 0, b.fail(errExcessBytes)
	}
	if err == io.EOF && b.length < 0 && !b.chunked && !b.attempt.opts.CorrelatedResponses {
		return n, b.fail(errUndelimitedBody)
	}
	if err == io.EOF {
		b.err = io.EOF
		b.attempt.release()
	}
	return n, err
}

func (b *responseBody) fail(err error) error {
	b.err = &TruncatedError{Server: b.attempt.server.Name, Read: b.bytesRead, Err: err}
	return b.err
}

// Close ends the attempt. If the body was not read to EOF, the connection is closed.
func (b *responseBody) Close() error {
	err := b.body.Close()
	b.attempt.cancel(nil)
	return err
}

// WriteResponse streams a response to the caller and closes its body. If the
// body turns out to be truncated or too long after the header was sent, it panics
// with http.ErrAbortHandler, so that net/http aborts the caller's connection; no
// middleware may recover that panic. The returned error is a failure of the
// caller's connection.
func WriteResponse(w http.ResponseWriter, resp *Response) error {
	defer resp.Body.Close()
	copyHeader(w.Header(), resp)
	w.WriteHeader(resp.Status)
	if err := copyBody(w, resp.Body); err != nil {
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			panic(http.ErrAbortHandler)
		}
		return err
	}
	copyTrailer(w.Header(), resp)
	return nil
}

func copyHeader(dst http.Header, resp *Response) {
	for name, values := range resp.Header {
		dst[name] = values
	}
	if resp.ContentLength >= 0 && resp.Status != http.StatusNoContent {
		dst.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	for _, name := range resp.AnnouncedTrailers {
		dst.Add("Trailer", name)
	}
	dst.Set(wire.HeaderOutcome, string(outcome.Ran))
	dst.Set(wire.HeaderServer, resp.Server)
}

// copyBuffers pools the buffers of copyBody: with a new buffer for each response,
// garbage collection was the largest cost of a call.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// copyBody flushes after each read, as a response may be a slow stream.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buf := *pooled
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, writeErr := w.Write(buf[:n]); writeErr != nil {
				return writeErr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_ = flusher.Flush()
	}
}

func copyTrailer(dst http.Header, resp *Response) {
	for name, values := range resp.Trailer() {
		if !slices.Contains(resp.AnnouncedTrailers, name) {
			name = http.TrailerPrefix + name
		}
		dst[name] = values
	}
}
