package balancer

import (
	"fmt"
	"math"
	"strconv"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// A server in need names a request limit in its responses: the number of requests a second
// that it takes from all entries together. The limit holds until a response no longer
// names it.

// LimitSource is how an entry learned of a request limit.
type LimitSource string

const (
	// LimitFromResponse is a response to a request of this entry.
	LimitFromResponse LimitSource = "response"
	// LimitFromProbe is a response to a probe of this entry.
	LimitFromProbe LimitSource = "probe"
)

// RequestLimitChange describes a change of a server's request limit.
type RequestLimitChange struct {
	// Server is the server's name.
	Server string
	// PerSecond is the limit in requests a second for all entries together; it has no
	// meaning if Ended is set.
	PerSecond float64
	// Ended is set if the server no longer names a limit.
	Ended bool
	// Source is how this entry learned of it, and Age how old that response is.
	Source LimitSource
	Age    time.Duration
}

// RequestLimitError is returned for a request limit that cannot be parsed.
type RequestLimitError struct {
	// Value is the value, shortened.
	Value string
}

// Error returns a message with the value.
func (e *RequestLimitError) Error() string {
	return fmt.Sprintf("request limit %q is not a decimal number of requests a second", e.Value)
}

// maxLimitBytes bounds the value of a request limit.
const maxLimitBytes = 32

// ParseRequestLimit parses a request limit, a decimal number of requests a second from 0
// on. The error is a *RequestLimitError.
func ParseRequestLimit(value string) (float64, error) {
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || len(value) > maxLimitBytes || !(limit >= 0) || math.IsInf(limit, 0) {
		return 0, &RequestLimitError{Value: value[:min(len(value), maxLimitBytes)]}
	}
	return limit, nil
}

// namedLimit is the last request limit that a server named. It is immutable.
type namedLimit struct {
	perSecond float64
	// observedAt is when the newest response arrived that named the limit, or after its end
	// lacked it. endedAt is when the first one arrived that lacked it, zero before that.
	// Both are in nanoseconds since the Unix epoch.
	observedAt, endedAt int64
}

func (l *namedLimit) hasEnded() bool { return l.endedAt != 0 }

// requestLimit is the request limit of one server.
type requestLimit struct {
	named atomic.Pointer[namedLimit] // nil if the server has named none
}

// reportedChange is the relative difference from which a limit counts as changed. Servers
// may compute it anew for each response.
const reportedChange = 0.1

// observe records that a response which arrived at that time named a limit, or that it
// named none. It returns whether the limit has begun, ended or changed. Responses older than
// the last one observed are ignored.
func (l *requestLimit) observe(perSecond float64, names bool, at int64) (changed bool) {
	for {
		old := l.named.Load()
		if old == nil && !names || old != nil && at <= old.observedAt {
			return false
		}
		next := &namedLimit{perSecond: perSecond, observedAt: at}
		switch {
		case names:
			changed = old == nil || old.hasEnded() || math.Abs(perSecond-old.perSecond) > reportedChange*old.perSecond
		case old.hasEnded():
			next.perSecond, next.endedAt, changed = old.perSecond, old.endedAt, false
		default:
			next.perSecond, next.endedAt, changed = old.perSecond, at, true
		}
		if l.named.CompareAndSwap(old, next) {
			return changed
		}
	}
}

// observeResponse records the request limit of a response to a request of this entry. Only
// a complete response shows that the server no longer names a limit: a refusal may come from
// a part of the server that does not know it.
func (b *Balancer) observeResponse(be *backend, r Result, now time.Time) {
	if r.RequestLimit == "" {
		if r.Kind == OK {
			b.observeLimit(be, 0, false, now, LimitFromResponse)
		}
		return
	}
	b.observeRawLimit(be, r.RequestLimit, now, LimitFromResponse)
}

// ObserveProbe records the request limit that the response to a probe names. A probe's
// response without a limit says nothing about it, as health checks may be answered by
// another part of the server than requests.
func (b *Balancer) ObserveProbe(server string, now time.Time, r Report) {
	be := b.snapshot.Load().backend(server)
	if be != nil && r.RequestLimit != "" {
		b.observeRawLimit(be, r.RequestLimit, now, LimitFromProbe)
	}
}

// observeRawLimit records a limit in the form in which the server sent it. A value that
// can't be parsed is counted and otherwise ignored.
func (b *Balancer) observeRawLimit(be *backend, value string, now time.Time, source LimitSource) {
	perSecond, err := ParseRequestLimit(value)
	if err != nil {
		metrics.Count(b.options.Scope, metrics.RequestLimits, "malformed")
		return
	}
	b.observeLimit(be, perSecond, true, now, source)
}

func (b *Balancer) observeLimit(be *backend, perSecond float64, names bool, at time.Time, source LimitSource) {
	if !be.requestLimit.observe(perSecond, names, steady.Nanos(at)) {
		return
	}
	if names {
		metrics.Count(b.options.Scope, metrics.RequestLimits, "named")
	} else {
		metrics.Count(b.options.Scope, metrics.RequestLimits, "ended")
	}
	if b.options.OnRequestLimit != nil {
		b.options.OnRequestLimit(RequestLimitChange{
			Server: be.vm.Name, PerSecond: perSecond, Ended: !names, Source: source, Age: time.Since(at),
		})
	}
}
