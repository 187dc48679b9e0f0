package frontend

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// configurationRetry is when a caller may ask an entry again that has no tree yet.
const configurationRetry = time.Second

// TreeSource returns the tree in force, or nil before the first one.
type TreeSource interface {
	Tree() *tree.Tree
}

// Limiter spends voted limits.
type Limiter interface {
	// Acquire takes one call off every limit that covers it and may wait a little
	// for it. The release is called once when the call has ended; a refusal is
	// always not-run.
	Acquire(ctx context.Context, member, service, rank string) (release func(), refusal *outcome.Refusal)
}

// Runner makes the attempts of one call.
type Runner interface {
	// Do returns the backend server's answer, whose Body must be closed, or a refusal.
	Do(ctx context.Context, m tree.Match, r *http.Request) (*forward.Response, *outcome.Refusal)
}

// OwnerClient asks the owner of an operation that another entry is bound to.
type OwnerClient interface {
	// Forward returns what the operation came to at its owner. The refusal is Unknown
	// wherever the owner gave no answer.
	Forward(ctx context.Context, id operation.ID, caller string, r *http.Request, body []byte) (operation.Response, *outcome.Refusal)
}

// ServerHosts knows the IP numbers of the backend servers.
type ServerHosts interface {
	IsServerHost(ip string) bool
}

// Options are the stages that a Handler puts calls through.
type Options struct {
	// VM is the name of this entry VM.
	VM string
	// Trees has the tree in force.
	Trees TreeSource
	// Operations binds operations that are not idempotent. Without it each request
	// of a caller is an operation of its own, which no repeat can name: it runs at
	// most once by the rules of its attempts alone.
	Operations *operation.Table
	// Owners reaches the other entries' operations.
	Owners OwnerClient
	// Limits are the voted limits; nil sets none.
	Limits Limiter
	// Runner sends calls to backend servers.
	Runner Runner
	// Addresses knows the live entries; nil serves no addresses.
	Addresses *membership.Membership
	// AddressTTL is how long callers keep the address answer.
	AddressTTL time.Duration
	// Servers knows the backend servers, whose nested calls keep their rank.
	Servers ServerHosts
	// Drain counts requests and says when the entry leaves.
	Drain *Drainer
	// Scope receives the counters.
	Scope tally.Scope
	// BufferUploads reads uploads whole before they are sent, as other bodies, so
	// that one that a server refused can be sent to another.
	BufferUploads bool
	// FractionalRetryAfter gives Retry-After in fractions of a second.
	FractionalRetryAfter bool
	// OnCallEnd is told of each call that has ended; nil is told nothing.
	OnCallEnd func(*AccessRecord)
}

// Handler serves callers' requests. It is safe for concurrent use.
type Handler struct {
	Options
	addresses http.Handler
	stats     stats
	turn      atomic.Uint64 // spreads calls over a route's destinations
}

// NewHandler returns a ready Handler.
func NewHandler(options Options) *Handler {
	h := &Handler{Options: options, stats: stats{scope: options.Scope}}
	if options.Addresses != nil {
		h.addresses = h.newAddressEngine()
	}
	return h
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.Drain.enter()
	defer h.Drain.exit()
	boundShortAnswer(w, time.Now())
	if h.Drain.Draining() {
		w.Header().Set("Connection", "close")
	}
	if h.addresses != nil && strings.HasPrefix(r.URL.Path, wire.PathPrefix) {
		h.addresses.ServeHTTP(w, r)
		return
	}
	w.Header().Set(wire.HeaderEntry, h.VM)
	h.serveCall(w, r)
}

func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request) {
	rec := newRecord(r)
	defer h.ended(rec)
	r = r.WithContext(attempt.WithTrace(r.Context(), &rec.Trace))
	w = &recorder{ResponseWriter: w, record: rec}
	t := h.Trees.Tree()
	if t == nil {
		h.refuse(w, h.disclaim(r, noConfiguration()))
		return
	}
	c, refusal := newCall(t, r, time.Now())
	if refusal != nil {
		h.refuse(w, h.disclaim(r, refusal))
		return
	}
	c.match = c.match.PickDestination(h.turn.Add(1))
	h.applyRank(&c.match, r)
	rec.describe(t, c)
	boundCall(w, c.deadline)
	if !c.match.Route.Upload || h.BufferUploads {
		if refusal := c.bufferBody(w, r); refusal != nil {
			h.refuse(w, h.disclaim(r, refusal))
			return
		}
	}
	began := time.Now()
	end := h.serveMatched(w, r, c)
	h.stats.of(c.match).observe(end, time.Since(began))
}

// serveMatched serves a checked call and returns its outcome.
func (h *Handler) serveMatched(w http.ResponseWriter, r *http.Request, c call) outcome.Outcome {
	if c.match.Route.Idempotent || h.Operations == nil {
		return h.serveAttempted(w, r, c)
	}
	return h.serveOnce(w, r, c)
}

// serveAttempted runs the call by the rules of its attempts alone, for as long as
// its caller waits.
func (h *Handler) serveAttempted(w http.ResponseWriter, r *http.Request, c call) outcome.Outcome {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	answer, release, refusal := h.attempt(ctx, r, c)
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	defer release()
	return h.writeStream(w, answer)
}

// attempt spends the voted limits and sends the call. The release is called once
// the answer has been written.
func (h *Handler) attempt(ctx context.Context, r *http.Request, c call) (*forward.Response, func(), *outcome.Refusal) {
	if h.Limits == nil {
		answer, refusal := h.Runner.Do(ctx, c.match, r)
		return answer, func() {}, refusal
	}
	s := c.match.Service
	release, refusal := h.Limits.Acquire(ctx, s.Member, s.Name, c.match.Rank.Name)
	if refusal != nil {
		return nil, nil, refusal
	}
	answer, refusal := h.Runner.Do(ctx, c.match, r)
	if refusal != nil {
		release()
		return nil, nil, refusal
	}
	return answer, release, nil
}

func noConfiguration() *outcome.Refusal {
	detail := "this entry has no configuration yet; use another entry or try again"
	refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNoConfiguration, detail)
	return refusal.WithRetryAfter(configurationRetry)
}
