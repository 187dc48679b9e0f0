package balancer

import (
	"fmt"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// A server in need names a request limit in its responses: the number of requests a second
// that it takes from all entries together. The limit holds until a response no longer
// names it.
//
// How the entries divide it is in limitshare.go.

// LimitSource is how an entry learned of a request limit.
type LimitSource string

const (
	// LimitFromResponse is a response to a request of this entry.
	LimitFromResponse LimitSource = "response"
	// LimitFromProbe is a response to a probe of this entry.
	LimitFromProbe LimitSource = "probe"
	// LimitFromPeer is a response to another entry.
	LimitFromPeer LimitSource = "peer"
)

// NamedLimit is the request limit in one response of a server.
type NamedLimit struct {
	// PerSecond is the limit in requests a second for all entries together. It is zero if
	// Ended is set: the response named no limit, after earlier ones had named one.
	PerSecond float64
	Ended     bool
}

// RequestLimitChange describes a change of a server's request limit.
type RequestLimitChange struct {
	// Server is the server's name.
	Server string
	NamedLimit
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

const (
	// rampStep is the time in which the limit of a server that no longer names one doubles,
	// and rampSteps the number of doublings until it is dropped: the server is idle then
	// and would attract the requests of all entries at once.
	rampStep  = 500 * time.Millisecond
	rampSteps = 6
	// minRampLimit is the least limit with which a ramp begins, in requests a second.
	minRampLimit = 1.0
	// forgetLimitAfter is how long a limit that has ended, or that of a server that is no
	// longer listed, is remembered.
	forgetLimitAfter = time.Minute
)

// at returns the limit that holds at that time, and false if none does.
func (l *namedLimit) at(now int64) (perSecond float64, limited bool) {
	if !l.hasEnded() {
		return l.perSecond, true
	}
	return rampLimit(l.perSecond, max(now-l.endedAt, 0))
}

// rampLimit returns the limit that holds that many nanoseconds after the end of another one, and
// false if none does any more.
func rampLimit(perSecond float64, sinceEnd int64) (limit float64, limited bool) {
	step := sinceEnd / int64(rampStep)
	if step >= rampSteps {
		return 0, false
	}
	return max(perSecond, minRampLimit) * math.Exp2(float64(step+1)), true
}

// requestLimit is the request limit of one server.
type requestLimit struct {
	named    atomic.Pointer[namedLimit] // nil if the server has named none
	warmUp   warmUpState
	position atomic.Int32 // of this entry in the order of the server's senders

	mu       sync.Mutex // guards the fields below
	limiter  *rate.Limiter
	share    float64 // limit of limiter, in requests a second
	lastSent int64   // nanoseconds since the Unix epoch
}

// limitInForce is the limit of a server that holds at a time.
type limitInForce struct {
	perSecond float64
	// named is the limit that the server named, nil if none holds. cold is set if one holds
	// because the server warms up or has just done so.
	named *namedLimit
	cold  bool
}

// inForce returns the lowest limit that holds at that time, and false if none does.
func (l *requestLimit) inForce(p *pickParams) (limit limitInForce, limited bool) {
	if named := l.named.Load(); named != nil {
		if limit.perSecond, limited = named.at(p.now); limited {
			limit.named = named
		}
	}
	perSecond, cold := l.warmUp.limitAt(p.warmUpPerSecond, p.now)
	if cold {
		limit.cold = true
		if !limited || perSecond < limit.perSecond {
			limit.perSecond = perSecond
		}
	}
	return limit, limited || cold
}

// reportedChange is the relative difference from which a limit counts as changed. Servers
// may compute it anew for each response.
const reportedChange = 0.1

// observe records the limit in a response that arrived at that time. It returns whether the
// limit has begun, ended or changed. Responses older than the last one observed are ignored.
func (l *requestLimit) observe(limit NamedLimit, at int64) (changed bool) {
	for {
		old := l.named.Load()
		if old == nil && limit.Ended || old != nil && at <= old.observedAt {
			return false
		}
		next := &namedLimit{perSecond: limit.PerSecond, observedAt: at}
		switch {
		case !limit.Ended:
			changed = old == nil || old.hasEnded() || math.Abs(limit.PerSecond-old.perSecond) > reportedChange*old.perSecond
		case !old.hasEnded():
			next.perSecond, next.endedAt, changed = old.perSecond, at, true
		case at-old.endedAt > int64(forgetLimitAfter):
			next = nil
		default:
			next.perSecond, next.endedAt = old.perSecond, old.endedAt
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
			b.observeLimit(be, NamedLimit{Ended: true}, now, LimitFromResponse)
		}
		return
	}
	b.observeRawLimit(be, r.RequestLimit, now, LimitFromResponse)
}

// ObserveProbe records the notices and the request limit in the response to a probe. A probe's
// response without a limit says nothing about it, as health checks may be answered by
// another part of the server than requests.
func (b *Balancer) ObserveProbe(server string, now time.Time, r Report) {
	be := b.snapshot.Load().backend(server)
	if be == nil {
		return
	}
	b.observeNotices(be, r.Notices, now)
	b.observeWarmUp(be, b.snapshot.Load().warmUp, r.Notices.WarmUp, now, LimitFromProbe)
	if r.RequestLimit != "" {
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
	b.observeLimit(be, NamedLimit{PerSecond: perSecond}, now, source)
}

// AddPeerLimit records the request limit in a response that another entry received at that
// time.
func (b *Balancer) AddPeerLimit(server string, at time.Time, limit NamedLimit) {
	if be := b.snapshot.Load().backend(server); be != nil {
		b.observeLimit(be, limit, at, LimitFromPeer)
	}
}

func (b *Balancer) observeLimit(be *backend, limit NamedLimit, at time.Time, source LimitSource) {
	changed := be.requestLimit.observe(limit, steady.Nanos(at))
	if source != LimitFromPeer && be.requestLimit.named.Load() != nil {
		b.options.Observer.LimitNamed(be.vm.Name, limit, at, changed)
	}
	if !changed {
		return
	}
	if limit.Ended {
		metrics.Count(b.options.Scope, metrics.RequestLimits, "ended")
	} else {
		metrics.Count(b.options.Scope, metrics.RequestLimits, "named")
	}
	if b.options.OnRequestLimit != nil {
		b.options.OnRequestLimit(RequestLimitChange{Server: be.vm.Name, NamedLimit: limit, Source: source, Age: time.Since(at)})
	}
}
