package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// copyBufferBytes is the memory that streams one answer.
const copyBufferBytes = 32 << 10

var (
	errSurplus = errors.New("server sent more than the answer's length")
	errNoEnd   = errors.New("answer has neither a length nor chunks, so its end can't be told from a break")
)

// TruncatedError is an answer whose body did not arrive whole, or ran over its length.
type TruncatedError struct {
	// Server is the backend server's name.
	Server string
	// Read is how many bytes of the body arrived.
	Read int64
	// Err is the cause.
	Err error
}

// Error names the server and the cause.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer of %s is not whole after %d bytes: %v", e.Server, e.Read, e.Err)
}

// Unwrap returns the cause.
func (e *TruncatedError) Unwrap() error { return e.Err }

// Response is a backend server's answer. Body must be closed.
type Response struct {
	// Status is the server's HTTP status.
	Status int
	// Header is the server's header without the connection's own.
	Header http.Header
	// Body streams the answer; it fails with *TruncatedError where the answer is not whole.
	Body io.ReadCloser
	// ContentLength is the body's length in bytes, or -1 where it is not known.
	ContentLength int64
	// Server is the name of the backend server.
	Server string
	// LoadReport is the raw load report, or empty.
	LoadReport string
	// AnnouncedTrailers are the trailer names that the server announced.
	AnnouncedTrailers []string
	// Trailer returns the trailers once Body has been read to its end.
	Trailer func() http.Header
}

func newResponse(s *send, resp *http.Response, loadReport string) *Response {
	a := &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Server:        s.server.Name,
		LoadReport:    loadReport,
		Trailer:       func() http.Header { return resp.Trailer },
	}
	for name := range resp.Trailer {
		a.AnnouncedTrailers = append(a.AnnouncedTrailers, name)
	}
	a.Body = &responseBody{
		send:    s,
		body:    resp.Body,
		length:  bodyLength(resp),
		chunked: slices.Contains(resp.TransferEncoding, "chunked"),
	}
	return a
}

// bodyLength is the number of body bytes on the connection, or -1.
func bodyLength(resp *http.Response) int64 {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return 0
	}
	if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return 0
	}
	return resp.ContentLength
}

// responseBody reads the body and fails where it is shorter or longer than announced.
type responseBody struct {
	send    *send
	body    io.ReadCloser
	length  int64
	chunked bool
	read    int64
	err     error
}

// Read withholds the last bytes until the answer is known to be whole.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	b.read += int64(n)
	if err != nil && err != io.EOF {
		return n, b.fail(err)
	}
	if b.length >= 0 && b.read >= b.length && !b.send.opts.CorrelatedResponses && b.send.surplus(b.length) {
		return 0, b.fail(errSurplus)
	}
	if err == io.EOF && b.length < 0 && !b.chunked && !b.send.opts.CorrelatedResponses {
		return n, b.fail(errNoEnd)
	}
	if err == io.EOF {
		b.err = io.EOF
		b.send.release()
	}
	return n, err
}

func (b *responseBody) fail(err error) error {
	b.err = &TruncatedError{Server: b.send.server.Name, Read: b.read, Err: err}
	return b.err
}

// Close ends the attempt. A body that was not read to its end closes the connection.
func (b *responseBody) Close() error {
	err := b.body.Close()
	b.send.cancel(nil)
	return err
}

// WriteResponse streams an answer to the caller and closes it. Where the answer
// turns out not to be whole after its header was sent, it panics with
// http.ErrAbortHandler, so that net/http breaks the caller's connection off; no
// middleware may recover that panic. The returned error is the caller's own
// connection failing.
func WriteResponse(w http.ResponseWriter, a *Response) error {
	defer a.Body.Close()
	copyHeader(w.Header(), a)
	w.WriteHeader(a.Status)
	if err := copyBody(w, a.Body); err != nil {
		var truncated *TruncatedError
		if errors.As(err, &truncated) {
			panic(http.ErrAbortHandler)
		}
		return err
	}
	copyTrailer(w.Header(), a)
	return nil
}

func copyHeader(dst http.Header, a *Response) {
	for name, values := range a.Header {
		dst[name] = values
	}
	if a.ContentLength >= 0 && a.Status != http.StatusNoContent {
		dst.Set("Content-Length", strconv.FormatInt(a.ContentLength, 10))
	}
	for _, name := range a.AnnouncedTrailers {
		dst.Add("Trailer", name)
	}
	dst.Set(wire.HeaderOutcome, string(outcome.Ran))
	dst.Set(wire.HeaderServer, a.Server)
}

// copyBuffers keeps the buffers of copyBody: a new one for each answer made the
// garbage collector the largest part of a call.
var copyBuffers = sync.Pool{New: func() any {
	buf := make([]byte, copyBufferBytes)
	return &buf
}}

// copyBody flushes after each read, as an answer may be a slow stream.
func copyBody(w http.ResponseWriter, body io.Reader) error {
	flusher := http.NewResponseController(w)
	pooled := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(pooled)
	buf := *pooled
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
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

func copyTrailer(dst http.Header, a *Response) {
	for name, values := range a.Trailer() {
		if !slices.Contains(a.AnnouncedTrailers, name) {
			name = http.TrailerPrefix + name
		}
		dst[name] = values
	}
}
