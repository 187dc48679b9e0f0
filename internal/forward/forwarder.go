// Package forward sends a request to a backend server at most once and streams
// the response back.
//
// It uses net/http's Transport for the protocol and for idle pooled connections.
// To determine the outcome exactly, it adds three things: the bytes written for
// each request are counted at the connection, the transport's automatic retries
// are refused, and a connection on which a server sent excess bytes is never
// reused.
package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const (
	// defaultDialTimeout bounds the opening of a connection to a backend server.
	defaultDialTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection stays in the pool.
	defaultIdleTimeout = 90 * time.Second
	// continueTimeout bounds the wait for 100 Continue before the body is sent.
	continueTimeout = time.Second
	// maxResponseHeaderBytes bounds the header section of a server's response.
	maxResponseHeaderBytes = 64 << 10
	// maxResponseHeaderLines bounds its lines. Decoded, a short line takes more than ten times its bytes.
	maxResponseHeaderLines = 512
	// minExpectBodyBytes is the smallest body that is sent with Expect: 100-continue.
	minExpectBodyBytes = 64 << 10
	// maxShedDrainBytes is the largest body of a shed response that is read so
	// that the connection can be reused.
	maxShedDrainBytes = 4 << 10
	// maxUnknownLengthBytes bounds a response body whose length the server did not
	// announce. A server in trouble may send bytes without end.
	maxUnknownLengthBytes = 16 << 20
)

// Options configure a Forwarder.
type Options struct {
	// Entries returns the number of live entries, which share the connection
	// limit of a server; nil means one.
	Entries func() int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialect translates the servers' headers; nil means the native headers.
	Dialect Dialect
	// DisableExpectContinue sends large bodies without Expect: 100-continue.
	DisableExpectContinue bool
	// MaxBufferedResponseBytes is the largest response body that is read
	// completely before Send returns; zero streams every response.
	MaxBufferedResponseBytes int64
	// BufferSizedOnly streams responses whose length the server did not announce, as they may be
	// produced slowly.
	BufferSizedOnly bool
	// CorrelatedResponses means that the Dialect detects a response to another
	// request. Then excess bytes after a complete response are no error, and a
	// response without a length ends with its connection.
	CorrelatedResponses bool
	// IdleTimeout is how long an idle connection stays in the pool; zero means 90 s.
	IdleTimeout time.Duration
	// NonIdempotentIdleTimeout is the same for calls that are not idempotent. A
	// server may close an idle connection just when a request is sent, and a
	// non-idempotent request can't be retried then. Zero means IdleTimeout.
	NonIdempotentIdleTimeout time.Duration
	// MaxAnnouncedIdleTimeout is how long a connection stays in the pool at most if the server
	// announces how long it keeps it open. Zero ignores such announcements.
	MaxAnnouncedIdleTimeout time.Duration
	// NonIdempotentReuseAge is the idle time up to which a connection carries a call that is
	// not idempotent; an older one is replaced by a new one. A server may have dropped an idle
	// connection without notice and resets it when a request arrives. Zero means any age.
	NonIdempotentReuseAge time.Duration
	// Scope receives the counters; nil discards them.
	Scope tally.Scope

	connections connectionCounters
}

// connectionCounters count how the connections of requests were found.
type connectionCounters struct {
	opened, reused, replaced tally.Counter
}

func newConnectionCounters(scope tally.Scope) connectionCounters {
	counter := func(reason string) tally.Counter {
		return scope.Tagged(map[string]string{"reason": reason}).Counter(metrics.ServerConnections)
	}
	return connectionCounters{opened: counter("opened"), reused: counter("reused"), replaced: counter("replaced")}
}

func (c *connectionCounters) count(reused, tooOld bool) {
	switch {
	case tooOld:
		c.replaced.Inc(1)
	case reused:
		c.reused.Inc(1)
	default:
		c.opened.Inc(1)
	}
}

// Forwarder holds the connections to all backend servers. It is safe for
// concurrent use.
type Forwarder struct {
	opts  Options
	pools pools
}

// New returns a Forwarder that is ready for use.
func New(opts Options) *Forwarder {
	if opts.Entries == nil {
		opts.Entries = func() int { return 1 }
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: defaultDialTimeout}).DialContext
	}
	if opts.Dialect == nil {
		opts.Dialect = nativeDialect{}
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = defaultIdleTimeout
	}
	if opts.NonIdempotentIdleTimeout == 0 {
		opts.NonIdempotentIdleTimeout = opts.IdleTimeout
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	opts.connections = newConnectionCounters(opts.Scope)
	return &Forwarder{opts: opts, pools: pools{opts: opts}}
}

// Close closes the idle connections. Requests in progress are not affected.
func (f *Forwarder) Close() { f.pools.close() }

// Send makes one attempt. The request is written at most once, whatever its
// method and headers. body may be nil; its length is r.ContentLength. Until the
// response body is closed, cancelling ctx closes the connection to the server.
func (f *Forwarder) Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*Response, *SendError) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &attempt{opts: &f.opts, server: server, match: m, cancel: cancel}
	resp, err := f.pools.transport(m).RoundTrip(s.buildRequest(ctx, r, body))
	for err != nil && s.needsNewConn(ctx) {
		s.forgetConn()
		resp, err = f.pools.transport(m).RoundTrip(s.buildRequest(ctx, r, body))
	}
	if err != nil {
		failure := s.abort(ctx, err)
		cancel(nil)
		return nil, failure
	}
	converted, failure := s.convertResponse(resp)
	if failure != nil || f.opts.MaxBufferedResponseBytes == 0 {
		return converted, failure
	}
	if f.opts.BufferSizedOnly && (converted.ContentLength < 0 || converted.ContentLength > f.opts.MaxBufferedResponseBytes) {
		return converted, nil
	}
	return bufferResponse(ctx, converted, f.opts.MaxBufferedResponseBytes)
}

// buildRequest returns the request for the server, made from the caller's.
func (a *attempt) buildRequest(ctx context.Context, r *http.Request, body io.Reader) *http.Request {
	deadline, _ := ctx.Deadline()
	out := &http.Request{
		Method:        r.Method,
		URL:           serverURL(r, a.server.Address),
		Host:          r.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader(r, a.match, deadline),
		ContentLength: r.ContentLength,
	}
	if body != nil && body != http.NoBody && r.ContentLength != 0 {
		a.body = &requestBody{reader: body}
		out.Body = a.body
		if !a.match.KeysRequired {
			// A trailer could name a tenant that the entry has not authenticated.
			out.Trailer = r.Trailer
		}
		if !a.opts.DisableExpectContinue && wantsContinue(a.match.Route, r.ContentLength) {
			out.Header.Set("Expect", "100-continue")
			// Without Close the transport sends the body even after the server has
			// refused the request, to reuse the connection; if the server then
			// closes the connection, the write error hides the refusal.
			out.Close = true
		}
	} else {
		out.ContentLength = 0
	}
	a.opts.Dialect.RewriteRequest(out.Header, a.server, a.match)
	a.header = out.Header
	return out.WithContext(a.trace(ctx))
}

// wantsContinue reports whether the body is large enough, or of unknown length,
// that the server should be able to shed the request before the body is sent.
func wantsContinue(route *tree.Route, length int64) bool {
	if route != nil && route.Upload {
		return true
	}
	return length < 0 || length >= minExpectBodyBytes
}

// convertResponse returns the server's response as a Response, or a SendError if
// it is shed, is not the response to this request or switches protocols.
func (a *attempt) convertResponse(resp *http.Response) (*Response, *SendError) {
	a.setIdleTimeout(resp.Header)
	pause := pauseOf(resp)
	err := checkStatus(resp.StatusCode)
	if err == nil {
		err = a.opts.Dialect.RewriteResponse(resp, a.header)
	}
	if err != nil {
		_ = resp.Body.Close()
		a.cancel(nil)
		failure := a.sendError(StageResponse, outcome.Unknown, outcome.ReasonWrongAnswer, "", err)
		failure.Notices = noticesOf(resp, pause)
		return nil, failure
	}
	notices := noticesOf(resp, pause)
	svc := a.match.Service
	reportHeader := headerName(svc.LoadReportHeader, wire.HeaderLoadReport)
	shedHeader := headerName(svc.LoadShedHeader, wire.HeaderLoadShed)
	loadReport := resp.Header.Get(reportHeader)
	requestLimit := resp.Header.Get(wire.HeaderRequestLimit)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(shedHeader) == wire.ShedNotRun {
		unidentified := resp.Header.Get(wire.HeaderUnidentified) != ""
		if unidentified {
			a.closeConn()
		}
		a.discard(resp)
		failure := a.sendError(StageResponse, outcome.NotRun, outcome.ReasonShed, loadReport, nil)
		if unidentified && a.reusesConn() {
			failure = a.sendError(StageResponse, outcome.Unknown, outcome.ReasonWrongAnswer, loadReport, errUnidentifiedRefusal)
		}
		failure.RequestLimit, failure.Notices = requestLimit, notices
		return nil, failure
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		a.discard(resp)
		return nil, a.sendError(StageResponse, outcome.Unknown, outcome.ReasonServerHungUp, loadReport, errUnrequestedUpgrade)
	}
	stripResponseHeader(resp.Header, reportHeader)
	response := newResponse(a, resp, loadReport, requestLimit)
	response.Notices = notices
	return response, nil
}

// checkStatus returns an error for a status that no final response has. net/http's server panics
// when it writes one below 100, and callers can't tell what one above 599 means.
func checkStatus(status int) error {
	if status == http.StatusSwitchingProtocols || status >= http.StatusOK && status < endOfStatuses {
		return nil
	}
	return &StatusError{Status: status}
}

// endOfStatuses is the first number above the classes of statuses.
const endOfStatuses = 600

// discard ends the attempt. A short body is read first, so that the connection
// can be reused; otherwise the connection is closed.
func (a *attempt) discard(resp *http.Response) {
	if resp.StatusCode != http.StatusSwitchingProtocols && resp.ContentLength >= 0 && resp.ContentLength <= maxShedDrainBytes {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_ = resp.Body.Close()
	a.release()
	a.cancel(nil)
}
