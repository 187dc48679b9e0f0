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

var errUnidentifiedRefusal = errors.New("a refusal that does not say which request was not run, on a connection that was used before")

var errUnrequestedUpgrade = errors.New("server switched protocols without an upgrade request")

// attempt is the state of one Send.
type attempt struct {
	opts   *Options
	header http.Header // of the request, as rewritten by the Dialect
	server fleet.VM
	match  tree.Match
	cancel context.CancelCauseFunc
	body   *requestBody

	mu       sync.Mutex
	conn     *conn     // connection bound to the request; nil before the first
	transfer *transfer // the request's use of conn
	reused   bool      // conn was used by earlier requests
	tooOld   bool      // conn was idle for too long or closed, so nothing was written on it
}

// trace makes the transport report the connection that it picks for the attempt.
func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.gotConn(info) },
	})
}

// gotConn binds the connection. The transport calls it again when it retries a
// request by itself; if a byte may have been written on the first connection,
// writes on the second one are stopped before they start.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		a.cancel(errWritesStopped)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	transfer, tooOld := c.bindWithin(info.Reused, a.opts.reuseAge(a.match))
	if a.conn != nil && a.conn.stopWrites(a.transfer) > 0 {
		c.stopWrites(transfer)
		a.cancel(errTransportRetry)
		return
	}
	a.conn, a.transfer, a.reused, a.tooOld = c, transfer, info.Reused, tooOld
	if tooOld && a.body != nil {
		a.body.refused.Store(true)
	}
	a.opts.connections.count(info.Reused, tooOld)
}

// needsNewConn reports whether the transport gave up only because the connection was too old,
// so that the request may be sent on another one.
func (a *attempt) needsNewConn(ctx context.Context) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.tooOld || ctx.Err() != nil || a.body != nil && a.body.readStarted.Load() {
		return false
	}
	return a.conn.stopWrites(a.transfer) == 0
}

// forgetConn prepares for a round trip on another connection. If its dial fails, that failure must
// not be taken for one of the previous connection, on which nothing was written.
func (a *attempt) forgetConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn, a.transfer, a.reused, a.tooOld = nil, nil, false, false
}

// setIdleTimeout sets how long the connection may be idle after the response with that header.
func (a *attempt) setIdleTimeout(h http.Header) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.setIdleTimeout(a.transfer, a.opts.idleTimeout(h))
	}
}

// closeConn closes the connection, so that no further request uses it.
func (a *attempt) closeConn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.closeFor(a.transfer)
	}
}

// reusesConn reports whether earlier requests used the connection: a response that does not say
// which request it belongs to may be the repetition of one to them.
func (a *attempt) reusesConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reused
}

// abort stops all writes for the request and determines its outcome.
func (a *attempt) abort(ctx context.Context, err error) *SendError {
	a.mu.Lock()
	c, transfer := a.conn, a.transfer
	a.mu.Unlock()
	if c == nil {
		return a.sendError(StageDial, outcome.NotRun, reasonOf(ctx, outcome.ReasonDialFailed), "", err)
	}
	written := c.stopWrites(transfer)
	c.closeFor(transfer)
	if written == 0 {
		return a.sendError(StageWrite, outcome.NotRun, reasonOf(ctx, outcome.ReasonServerHungUp), "", err)
	}
	f := a.sendError(StageWait, outcome.Unknown, reasonOf(ctx, outcome.ReasonServerHungUp), "", err)
	f.Written = written
	return f
}

func (a *attempt) sendError(stage Stage, o outcome.Outcome, reason outcome.Reason, loadReport string, err error) *SendError {
	return &SendError{
		Stage:      stage,
		Outcome:    o,
		Reason:     reason,
		Server:     a.server.Name,
		BodyRead:   a.body != nil && a.body.readStarted.Load(),
		LoadReport: loadReport,
		Err:        err,
	}
}

// release marks the connection idle after the response has been read to EOF.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.release(a.transfer)
	}
}

// hasExcess reports whether bytes followed a response body of that length.
func (a *attempt) hasExcess(length int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn != nil && a.conn.hasExcess(a.transfer, length)
}

// reasonOf distinguishes an expired deadline and a caller that hung up from a
// failure of the server, for which it returns fallback.
func reasonOf(ctx context.Context, fallback outcome.Reason) outcome.Reason {
	switch cause := context.Cause(ctx); {
	case cause == nil || errors.Is(cause, errTransportRetry):
		return fallback
	case errors.Is(cause, context.DeadlineExceeded):
		return outcome.ReasonDeadline
	default:
		return outcome.ReasonCallerGone
	}
}

// serverURL preserves the caller's path and query exactly as sent.
func serverURL(r *http.Request, address string) *url.URL {
	u := *r.URL
	u.Scheme = "http"
	u.Host = address
	u.User = nil
	return &u
}

// requestBody streams the caller's body. The request gets no GetBody, so that the
// transport can't send it again.
type requestBody struct {
	reader      io.Reader
	readStarted atomic.Bool
	refused     atomic.Bool // the connection can't carry the request
}

// Read records that reading of the body has begun. It reads nothing for a connection that
// can't carry the request, so that the body can be sent on another one.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.refused.Load() {
		return 0, errOldConnection
	}
	b.readStarted.Store(true)
	return b.reader.Read(p)
}

// Close does nothing: the caller's body is closed by its owner.
func (b *requestBody) Close() error { return nil }
