// Package caller sends requests through chestnutrouter's entries.
//
// A Client fetches the endpoint list from an entry and caches it for its
// time to live. It fails over to another entry, retries idempotent calls within
// a retry budget, and gives every other call an operation id, so that a retry
// never runs it twice.
package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

// HTTP headers exchanged with entries.
const (
	headerOperation = "Chestnut-Operation"
	headerTimeoutMs = "Chestnut-Timeout-Ms"
	headerCaller    = "Chestnut-Caller"
	headerOutcome   = "Chestnut-Outcome"
	headerReason    = "Chestnut-Reason"
)

const (
	// defaultMaxAttempts bounds the attempts of one call, including the first.
	defaultMaxAttempts = 3
	// defaultRetryShare bounds retries to a fraction of successful calls.
	defaultRetryShare = 0.1
	// dialTimeout bounds the time to connect to an entry.
	dialTimeout = time.Second
	// expectContinueTimeout is how long an upload waits for 100 Continue before its body is sent.
	expectContinueTimeout = time.Second
	// idleTimeout is how long an idle connection to an entry stays open.
	idleTimeout = 30 * time.Second
)

// Options configure a Client.
type Options struct {
	// Seeds are the addresses ("IP:port") of the entries to fetch the first endpoint list
	// from.
	Seeds []string
	// Zone is the caller's availability zone; empty means any.
	Zone string
	// Caller is the caller's name. Operation ids are scoped to it.
	Caller string
	// MaxAttempts bounds the attempts of one call, including the first; zero means 3.
	MaxAttempts int
	// RetryShare bounds retries to a fraction of successful calls; zero means 0.1.
	RetryShare float64
}

// Client sends requests through the entries. It is safe for concurrent use.
type Client struct {
	opts     Options
	http     *http.Client
	resolver resolver
	budget   budget
}

// New returns a Client that is ready for use.
func New(opts Options) *Client {
	if opts.MaxAttempts == 0 {
		opts.MaxAttempts = defaultMaxAttempts
	}
	if opts.RetryShare == 0 {
		opts.RetryShare = defaultRetryShare
	}
	client := &http.Client{
		Transport: &http.Transport{
			DialContext:           (&net.Dialer{Timeout: dialTimeout}).DialContext,
			IdleConnTimeout:       idleTimeout,
			ExpectContinueTimeout: expectContinueTimeout,
			DisableCompression:    true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{
		opts:     opts,
		http:     client,
		resolver: resolver{client: client, seeds: opts.Seeds, zone: opts.Zone, caller: opts.Caller},
		budget:   budget{tokens: burstTokens, share: opts.RetryShare},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do sends an idempotent call. It fails over and retries within the retry
// budget, provided that the request has no body or has GetBody.
//
// A nil error means that a backend server responded, whatever its status; the
// caller of Do closes the response body. Errors are *NotRunError,
// *OutcomeUnknownError, *ResolveError and *BodyError.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	return c.run(&call{req: req})
}

// DoOnce sends a call that must run at most once. Every retry carries the same
// operation id, unless the previous attempt certainly did not run.
//
// After an *OutcomeUnknownError, call Repeat with its Operation, now or later,
// to get the outcome. A nil error means that a backend server responded.
func (c *Client) DoOnce(req *http.Request) (*http.Response, error) {
	return c.run(&call{req: req, atMostOnce: true})
}

// Repeat retries an operation under the id from an earlier *OutcomeUnknownError.
// It never runs the operation a second time. Only if the operation certainly did
// not run does it start a new operation in its place.
func (c *Client) Repeat(req *http.Request, operation string) (*http.Response, error) {
	return c.run(&call{req: req, atMostOnce: true, operation: operation, maybeRan: true})
}

// newOperation returns a new operation id, which binds the operation to the entry
// that issued the ticket.
func newOperation(ticket string) string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails: crypto/rand crashes the process instead
	return ticket + "." + hex.EncodeToString(id[:])
}

// send sends one attempt to one entry.
func (c *Client) send(ctx context.Context, k *call, entry Entry) (*http.Response, error) {
	out := k.req.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = entry.Address
	out.Host = k.host()
	out.RequestURI = ""
	out.Header.Set(headerCaller, c.opts.Caller)
	out.Header.Del(headerOperation)
	if k.atMostOnce {
		out.Header.Set(headerOperation, k.operation)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(1, time.Until(deadline).Milliseconds())
		out.Header.Set(headerTimeoutMs, strconv.FormatInt(remaining, 10))
	}
	if err := k.rewindBody(out); err != nil {
		return nil, err
	}
	return c.http.Do(out)
}

// BodyError means that the request body could not be replayed for a retry.
type BodyError struct{ Err error }

// Error returns a message with the cause.
func (e *BodyError) Error() string { return fmt.Sprintf("cannot replay the request body: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// notSent reports whether nothing of the request was sent, because the dial failed.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
