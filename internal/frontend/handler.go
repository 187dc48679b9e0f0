package frontend

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/buffer"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// configurationRetryAfter is the Retry-After of an entry without a configuration, or
// without any entry to list.
const configurationRetryAfter = time.Second

// TreeSource returns the current configuration tree, or nil before the first one.
type TreeSource interface {
	Tree() *tree.Tree
}

// Limiter enforces the global limits, whose values are approved by the members' votes.
type Limiter interface {
	// Acquire takes one unit of every limit that covers the call and may wait
	// briefly for it. release must be called once when the call has ended; a
	// refusal is always not-run.
	Acquire(ctx context.Context, member, service, rank string) (release func(), refusal *outcome.Refusal)
}

// Runner makes the attempts of one call.
type Runner interface {
	// Do returns the backend server's response, whose Body must be closed, or a refusal.
	Do(ctx context.Context, m tree.Match, r *http.Request) (*forward.Response, *outcome.Refusal)
}

// OwnerClient forwards operations to the entries that own them.
type OwnerClient interface {
	// Forward returns the result of the operation at its owner. The refusal is
	// Unknown whenever the owner did not reply.
	Forward(ctx context.Context, id operation.ID, caller string, r *http.Request, body []byte) (operation.Response, *outcome.Refusal)
}

// ServerHosts reports whether an IP address is that of a backend server.
type ServerHosts interface {
	IsServerHost(ip string) bool
}

// Options configure a Handler and hold the stages that it passes calls through.
type Options struct {
	// VM is the name of this entry VM.
	VM string
	// Tree returns the current tree.
	Tree TreeSource
	// FirstTree is closed once Tree returns a tree. If it is nil, requests before that are refused
	// at once.
	FirstTree <-chan struct{}
	// Operations is the table of non-idempotent operations. If nil, each request
	// is an operation of its own, which a retry by the caller can't refer to; then
	// only the rules for attempts make it run at most once.
	Operations *operation.Table
	// OwnerClient forwards operations that other entries own.
	OwnerClient OwnerClient
	// Limiter enforces the global limits; nil means no limits.
	Limiter Limiter
	// Allowances bounds the requests of tenants; nil means no limits.
	Allowances Allowances
	// Runner sends calls to backend servers.
	Runner Runner
	// Addresses holds the live entries; nil disables the endpoint list.
	Addresses *membership.Membership
	// AddressTTL is how long callers may cache the endpoint list.
	AddressTTL time.Duration
	// Servers identifies the backend servers, whose nested calls may raise their rank.
	Servers ServerHosts
	// Drainer counts requests in progress and refuses those that come too late before a stop.
	Drainer *drain.Drainer
	// Scope is the metrics scope.
	Scope tally.Scope
	// Bodies holds the request bodies that are read completely; nil means without a limit.
	Bodies *buffer.Budget
	// BufferUploads reads uploads completely before they are sent, like other
	// bodies, so that an upload that a server refused can be sent to another one.
	BufferUploads bool
	// FractionalRetryAfter sends Retry-After with fractions of a second.
	FractionalRetryAfter bool
	// IsBehind reports whether a newer configuration than the current one is known to
	// exist; nil means never. A request without a route is then refused for the moment,
	// as its route may be new.
	IsBehind func() bool
	// IsProven reports whether the tree is proven to have been the newest one recently enough to
	// accept keys; nil means always.
	IsProven func(*tree.Tree) bool
	// IsCurrent is like IsProven, recently enough to say that a key is not a tenant's: any newer
	// tree would have to be in force by now.
	IsCurrent func(*tree.Tree) bool
	// OnCallEnd is called at the end of each call; it may be nil.
	OnCallEnd func(*AccessRecord)
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	Options
	started            time.Time
	endpoints          http.Handler
	stats              stats
	destinationCounter atomic.Uint64 // rotates calls over a route's destinations
}

// NewHandler returns a Handler that is ready for use.
func NewHandler(options Options) *Handler {
	h := &Handler{Options: options, started: time.Now(), stats: stats{scope: options.Scope}}
	if h.Bodies == nil {
		h.Bodies = buffer.NewBudget(0, options.Scope)
	}
	if options.Addresses != nil {
		h.endpoints = h.newEndpointsEngine()
	}
	return h
}

// ServeHTTP serves a call, or the endpoint list under wire.PathPrefix.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer h.Drainer.EnterCall()()
	setLocalDeadlines(w, time.Now())
	if h.Drainer.Draining() {
		w.Header().Set("Connection", "close")
	}
	if h.endpoints != nil && strings.HasPrefix(tree.PathOf(r.URL), wire.PathPrefix) {
		h.endpoints.ServeHTTP(w, r)
		return
	}
	w.Header().Set(wire.HeaderEntry, h.VM)
	h.serveCall(w, r)
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	rec := newAccessRecord(r)
	recorder := &statusRecorder{ResponseWriter: w, record: rec, drainer: h.Drainer, unread: isLarge(r)}
	h.respond(recorder, r, rec)
	if recorder.unread && rec.Refusal != nil {
		// The error is ignored: the caller has its response, and the connection is closed.
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// respond writes the response to the call.
func (h *Handler) respond(w *statusRecorder, r *http.Request, rec *AccessRecord) {
	defer h.reportCallEnd(rec)
	r = r.WithContext(attempt.WithTrace(r.Context(), &rec.Trace))
	arrived := time.Now()
	t := h.currentTree(r)
	if t == nil {
		h.refuse(w, h.settleEarlyRefusal(r, noConfiguration()))
		return
	}
	c, refusal := newCall(t, r, arrived)
	if refusal != nil {
		if refusal.Reason == outcome.ReasonNoRoute && h.isBehind() {
			refusal = configurationBehind()
		}
		h.refuse(w, h.settleEarlyRefusal(r, refusal))
		return
	}
	tenant, refusal := h.authenticate(t, c.match.Route, r)
	if refusal != nil {
		rec.setCall(t, c)
		rec.setTenant(tenant)
		h.refuse(w, h.settleEarlyRefusal(r, refusal))
		return
	}
	c.match = c.match.PickDestination(h.destinationCounter.Add(1))
	if tenant != nil {
		c.match = c.match.WithTenant(tenant)
	}
	h.applyRank(&c.match, r)
	rec.setCall(t, c)
	setCallDeadlines(w, c.deadline)
	if refusal := h.stopRefusal(c); refusal != nil {
		h.refuse(w, refusal)
		return
	}
	if !c.match.Route.Upload || h.BufferUploads {
		body, refusal := h.bufferBody(w, r, &c)
		if refusal != nil {
			h.refuse(w, h.settleEarlyRefusal(r, refusal))
			return
		}
		defer body.Release()
		w.unread = false
	}
	start := time.Now()
	result := h.serveWithinAllowance(w, r, c, rec)
	h.stats.forMatch(c.match).observe(result, time.Since(start))
}

// stopRefusal returns a refusal if the entry stops before the call could end. An operation may
// have run already, and is then answered without a server; the Runner refuses it otherwise.
func (h *Handler) stopRefusal(c call) *outcome.Refusal {
	if h.Operations != nil && !c.match.Route.Idempotent {
		return nil
	}
	return h.Drainer.Check(c.deadline, 0)
}

// serveMatched serves a validated call and returns its outcome.
func (h *Handler) serveMatched(w http.ResponseWriter, r *http.Request, c call) outcome.Outcome {
	if c.match.Route.Idempotent || h.Operations == nil {
		return h.serveWithoutOperation(w, r, c)
	}
	return h.serveNonIdempotent(w, r, c)
}

// serveWithoutOperation runs the call without an operation: only the rules for
// attempts apply, and the call ends if its caller hangs up.
func (h *Handler) serveWithoutOperation(w http.ResponseWriter, r *http.Request, c call) outcome.Outcome {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	resp, release, refusal := h.acquireAndSend(ctx, r, c)
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	defer release()
	return h.writeStreamed(w, resp)
}

// acquireAndSend acquires the global limits and sends the call. The returned release
// function must be called after the response has been written.
func (h *Handler) acquireAndSend(ctx context.Context, r *http.Request, c call) (*forward.Response, func(), *outcome.Refusal) {
	if h.Limiter == nil {
		resp, refusal := h.Runner.Do(ctx, c.match, r)
		return resp, func() {}, refusal
	}
	service := c.match.Service
	release, refusal := h.Limiter.Acquire(ctx, service.Member, service.Name, c.match.Rank.Name)
	if refusal != nil {
		return nil, nil, refusal
	}
	resp, refusal := h.Runner.Do(ctx, c.match, r)
	if refusal != nil {
		release()
		return nil, nil, refusal
	}
	return resp, release, nil
}

// behindRetryAfter is the Retry-After of an entry that has no route yet for a request that a
// newer configuration may have.
const behindRetryAfter = 250 * time.Millisecond

func configurationBehind() *outcome.Refusal {
	detail := "this entry does not have the newest configuration yet; use another entry or try again"
	refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonConfigurationBehind, detail)
	return refusal.WithRetryAfter(behindRetryAfter)
}

func noConfiguration() *outcome.Refusal {
	detail := "this entry has no configuration yet; use another entry or try again"
	refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, detail)
	return refusal.WithRetryAfter(configurationRetryAfter)
}
