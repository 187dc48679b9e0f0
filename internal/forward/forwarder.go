// Package forward sends one request once to one backend server and streams the
// answer back.
//
// It uses net/http's Transport for the protocol and for kept connections, and
// adds what an exact outcome needs: the bytes written for each request are
// counted at the connection, the transport's silent repeats are refused, and a
// connection on which a server left surplus bytes is never used again.
package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const (
	// dialTimeout bounds the opening of a connection to a backend server.
	dialTimeout = time.Second
	// idleTimeout is how long an unused connection is kept warm.
	idleTimeout = 90 * time.Second
	// expectTimeout is how long an upload waits for 100 Continue before its body is sent.
	expectTimeout = time.Second
	// maxAnswerHeaderBytes bounds the header of a server's answer.
	maxAnswerHeaderBytes = 64 << 10
	// expectBodyBytes is the smallest body for which 100 Continue is asked.
	expectBodyBytes = 64 << 10
	// shedDrainBytes is how much of a shed answer's body is read to keep the connection.
	shedDrainBytes = 4 << 10
)

// Options configure a Forwarder.
type Options struct {
	// Entries returns the number of live entries, which share a server's connections.
	Entries func() int
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialect speaks to the servers; nil means the product's own headers.
	Dialect Dialect
	// DisableExpectContinue sends large bodies without asking for 100 Continue first.
	DisableExpectContinue bool
	// MaxBufferedResponseBytes is the largest answer that is read to its end before Send
	// returns; zero streams every answer.
	MaxBufferedResponseBytes int64
	// CorrelatedResponses says that the Dialect tells an answer to another request
	// apart. Then a complete answer counts although bytes follow it, and one
	// without a length ends with its connection.
	CorrelatedResponses bool
	// IdleTimeout is how long an unused connection is kept; zero stands for 90 s.
	IdleTimeout time.Duration
	// NonIdempotentIdleTimeout is the same for calls that are not idempotent: a server may close
	// a connection just when a request is sent, and that request can't be sent
	// again. Zero stands for IdleTimeout.
	NonIdempotentIdleTimeout time.Duration
}

// Forwarder keeps the connections to all backend servers. It is safe for
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
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if opts.Dialect == nil {
		opts.Dialect = plain{}
	}
	if opts.IdleTimeout == 0 {
		opts.IdleTimeout = idleTimeout
	}
	if opts.NonIdempotentIdleTimeout == 0 {
		opts.NonIdempotentIdleTimeout = opts.IdleTimeout
	}
	return &Forwarder{opts: opts, pools: pools{opts: opts}}
}

// Close closes the idle connections. Requests in progress are not touched.
func (f *Forwarder) Close() { f.pools.close() }

// Send makes one attempt. The request is written at most once, whatever its
// method and headers. body may be nil; its length is r.ContentLength. Cancelling
// ctx closes the server's connection until the answer's body is closed.
func (f *Forwarder) Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*Response, *SendError) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &send{opts: &f.opts, server: server, match: m, cancel: cancel}
	out := s.request(ctx, r, body)
	resp, err := f.pools.transport(m).RoundTrip(out)
	if err != nil {
		failure := s.fail(ctx, err)
		cancel(nil)
		return nil, failure
	}
	answer, failure := s.answer(resp)
	if failure != nil || f.opts.MaxBufferedResponseBytes == 0 {
		return answer, failure
	}
	return whole(answer, f.opts.MaxBufferedResponseBytes)
}

// request builds the request for the server from the caller's.
func (s *send) request(ctx context.Context, r *http.Request, body io.Reader) *http.Request {
	deadline, _ := ctx.Deadline()
	out := &http.Request{
		Method:        r.Method,
		URL:           serverURL(r, s.server.Address),
		Host:          r.Host,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        requestHeader(r, s.match, deadline),
		ContentLength: r.ContentLength,
	}
	if body != nil && body != http.NoBody && r.ContentLength != 0 {
		s.body = &requestBody{reader: body}
		out.Body = s.body
		out.Trailer = r.Trailer
		if !s.opts.DisableExpectContinue && wantsContinue(s.match.Route, r.ContentLength) {
			out.Header.Set("Expect", "100-continue")
			// Without this the transport sends the body also after a refusal, to
			// keep the connection, and its break then hides the refusal.
			out.Close = true
		}
	} else {
		out.ContentLength = 0
	}
	s.opts.Dialect.RewriteRequest(out.Header, s.server, s.match)
	s.header = out.Header
	return out.WithContext(s.trace(ctx))
}

// wantsContinue reports whether a shed would save sending the body.
func wantsContinue(route *tree.Route, length int64) bool {
	if route != nil && route.Upload {
		return true
	}
	return length < 0 || length >= expectBodyBytes
}

// answer turns the server's header into a Response, or into a SendError where the
// server refused.
func (s *send) answer(resp *http.Response) (*Response, *SendError) {
	if err := s.opts.Dialect.RewriteResponse(resp, s.header); err != nil {
		_ = resp.Body.Close()
		s.cancel(nil)
		return nil, s.failure(StageAnswer, outcome.Unknown, outcome.ReasonWrongAnswer, "", err)
	}
	svc := s.match.Service
	report := headerName(svc.LoadReportHeader, wire.HeaderLoadReport)
	shed := headerName(svc.LoadShedHeader, wire.HeaderLoadShed)
	loadReport := resp.Header.Get(report)
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(shed) == wire.ShedNotRun {
		s.discard(resp)
		return nil, s.failure(StageAnswer, outcome.NotRun, outcome.ReasonShed, loadReport, nil)
	}
	if resp.StatusCode == http.StatusSwitchingProtocols {
		s.discard(resp)
		return nil, s.failure(StageAnswer, outcome.Unknown, outcome.ReasonServerHungUp, loadReport, errUpgrade)
	}
	answerHeader(resp.Header, report)
	return newResponse(s, resp, loadReport), nil
}

// discard ends the attempt. A short body is read first, so that the connection
// can be kept; anything else closes it.
func (s *send) discard(resp *http.Response) {
	if resp.StatusCode != http.StatusSwitchingProtocols && resp.ContentLength >= 0 && resp.ContentLength <= shedDrainBytes {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	_ = resp.Body.Close()
	s.release()
	s.cancel(nil)
}
