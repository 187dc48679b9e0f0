// Package caller sends requests through chestnutrouter's entries.
//
// A Client asks an entry which addresses to use and keeps the answer as long as
// it is valid. It fails over to another entry, repeats idempotent calls within a
// budget, and gives every other call an operation id, so that repeating it never
// runs it twice.
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

// Headers of the interface towards callers.
const (
	headerOperation = "Chestnut-Operation"
	headerTimeoutMs = "Chestnut-Timeout-Ms"
	headerCaller    = "Chestnut-Caller"
	headerOutcome   = "Chestnut-Outcome"
	headerReason    = "Chestnut-Reason"
)

const (
	// defaultMaxAttempts bounds the sends of one call.
	defaultMaxAttempts = 3
	// defaultRetryShare is the most repeats as a share of successes.
	defaultRetryShare = 0.1
	// dialTimeout bounds the opening of a connection to an entry.
	dialTimeout = time.Second
	// expectTimeout is how long an upload waits for 100 Continue before its body is sent.
	expectTimeout = time.Second
	// idleTimeout is how long an unused connection to an entry is kept.
	idleTimeout = 30 * time.Second
)

// Options configure a Client.
type Options struct {
	// Seeds are addresses of entries to ask first, "IP:port".
	Seeds []string
	// Zone is the caller's availability zone; empty means any.
	Zone string
	// Caller is the caller's own name, which scopes its operation ids.
	Caller string
	// MaxAttempts bounds the sends of one call; zero means 3.
	MaxAttempts int
	// RetryShare is the most repeats as a share of successes; zero means 0.1.
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
			ExpectContinueTimeout: expectTimeout,
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

// Do sends a call that may be repeated without harm. It fails over and repeats
// within the budget, as long as the body can be had again from GetBody.
//
// A nil error means that a backend server answered, whatever its status; the
// caller of Do closes the body. Other ends are *NotRunError,
// *OutcomeUnknownError and *ResolveError.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	return c.run(&call{req: req})
}

// DoOnce sends a call that must run at most once. Every repeat carries the same
// operation id, unless the answer before it was a certain not-run.
//
// After *OutcomeUnknownError, Repeat with its Operation asks again, now or
// later. A nil error means that a backend server answered.
func (c *Client) DoOnce(req *http.Request) (*http.Response, error) {
	return c.run(&call{req: req, once: true})
}

// Repeat sends an operation again under the id that an earlier *OutcomeUnknownError
// named. It never runs the operation a second time; only where the answer is a
// certain not-run does a new operation take its place.
func (c *Client) Repeat(req *http.Request, operation string) (*http.Response, error) {
	return c.run(&call{req: req, once: true, operation: operation, maybeRan: true})
}

// newOperation binds a new operation to the entry that handed out the ticket.
func newOperation(ticket string) string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails: crypto/rand ends the process instead
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
	if k.once {
		out.Header.Set(headerOperation, k.operation)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(1, time.Until(deadline).Milliseconds())
		out.Header.Set(headerTimeoutMs, strconv.FormatInt(left, 10))
	}
	if err := k.rewind(out); err != nil {
		return nil, err
	}
	return c.http.Do(out)
}

// BodyError means that a body could not be had again for a repeat.
type BodyError struct{ Err error }

// Error names the cause.
func (e *BodyError) Error() string { return fmt.Sprintf("the body can't be sent again: %v", e.Err) }

// Unwrap returns the cause.
func (e *BodyError) Unwrap() error { return e.Err }

// notSent reports whether it is certain that nothing of the request was sent.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
