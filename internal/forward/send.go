package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var errUpgrade = errors.New("server switched protocols unasked")

// send is the state of one attempt.
type send struct {
	opts   *Options
	header http.Header // of the request, in the server's names
	server fleet.VM
	match  tree.Match
	cancel context.CancelCauseFunc
	body   *requestBody

	mu       sync.Mutex
	conn     *conn     // connection that carries the request; nil before the first
	transfer *transfer // the request's use of conn
}

// trace hooks the attempt to the connection that the transport picks for it.
func (s *send) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { s.gotConn(info) },
	})
}

// gotConn binds the connection. The transport calls it again when it repeats a
// request by itself; where the first connection has taken a byte, the second
// one is sealed before anything is written.
func (s *send) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		s.cancel(errSealed)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	transfer := c.bind(info.Reused)
	if s.conn != nil && s.conn.seal(s.transfer) > 0 {
		c.seal(transfer)
		s.cancel(errRepeat)
		return
	}
	s.conn, s.transfer = c, transfer
}

// fail ends all writing for the request and says what is certain.
func (s *send) fail(ctx context.Context, err error) *SendError {
	s.mu.Lock()
	c, transfer := s.conn, s.transfer
	s.mu.Unlock()
	if c == nil {
		return s.failure(StageDial, outcome.NotRun, reasonOf(ctx, outcome.ReasonDialFailed), "", err)
	}
	written := c.seal(transfer)
	c.closeFor(transfer)
	if written == 0 {
		return s.failure(StageWrite, outcome.NotRun, reasonOf(ctx, outcome.ReasonServerHungUp), "", err)
	}
	f := s.failure(StageWait, outcome.Unknown, reasonOf(ctx, outcome.ReasonServerHungUp), "", err)
	f.Written = written
	return f
}

func (s *send) failure(stage Stage, o outcome.Outcome, reason outcome.Reason, loadReport string, err error) *SendError {
	return &SendError{
		Stage:      stage,
		Outcome:    o,
		Reason:     reason,
		Server:     s.server.Name,
		BodyRead:   s.body != nil && s.body.touched.Load(),
		LoadReport: loadReport,
		Err:        err,
	}
}

// release marks the connection idle once the answer has been read whole.
func (s *send) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.release(s.transfer)
	}
}

// surplus reports whether bytes followed an answer of that length.
func (s *send) surplus(length int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.surplus(s.transfer, length)
}

// reasonOf tells a deadline and a caller that left from the server's failure.
func reasonOf(ctx context.Context, otherwise outcome.Reason) outcome.Reason {
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errRepeat):
		return otherwise
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.ReasonDeadline
	default:
		return outcome.ReasonCallerGone
	}
}

// serverURL keeps the caller's path and query as they were sent.
func serverURL(r *http.Request, address string) *url.URL {
	u := *r.URL
	u.Scheme = "http"
	u.Host = address
	u.User = nil
	return &u
}

// requestBody streams the caller's body and has no GetBody, so that the
// transport can't send it again.
type requestBody struct {
	reader  io.Reader
	touched atomic.Bool
}

// Read notes that the body was touched.
func (b *requestBody) Read(p []byte) (int, error) {
	b.touched.Store(true)
	return b.reader.Read(p)
}

// Close leaves the caller's body open; its owner closes it.
func (b *requestBody) Close() error { return nil }
