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
// The entries tell each other of limits, and divide each limit without further messages:
// the first entries in the order of the server send to it, and the others do not. There
// are as many senders as the limit has whole requests a second, so that the one request
// which each of them may send at any time adds little to the sum. If members are missing,
// they may be on the other side of a network partition, and the limit is divided in
// proportion to the members that are in contact.

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
	step := max(now-l.endedAt, 0) / int64(rampStep)
	if step >= rampSteps {
		return 0, false
	}
	return max(l.perSecond, minRampLimit) * math.Exp2(float64(step+1)), true
}

// limitOrder is how the entries divide the limits of all servers of a service.
type limitOrder struct {
	// entries returns the number of entries among which limits are divided. ordered is false
	// if the position of this entry is not known; all entries are senders then.
	entries func() int
	ordered bool
	// present is the share of the known members that are in contact, above 0 to 1.
	present float64
}

// requestLimit is the request limit of one server.
type requestLimit struct {
	named    atomic.Pointer[namedLimit] // nil if the server has named none
	position atomic.Int32               // of this entry in the order of the server's senders

	mu       sync.Mutex // guards the fields below
	limiter  *rate.Limiter
	share    float64 // limit of limiter, in requests a second
	lastSent int64   // nanoseconds since the Unix epoch
}

const (
	// burstTime is the time for which a sender may save up its share, beyond one request.
	burstTime = 100 * time.Millisecond
	// trialAfter is the age of a limit from which one request is sent to the server to
	// learn whether the limit still holds. Each entry waits trialStep longer than the one
	// before it in the order, up to maxTrialSteps, so that the first one that has a request
	// sends it. It serves limits below one request in that time and senders that get no
	// requests from callers.
	trialAfter    = 10 * time.Second
	trialStep     = 500 * time.Millisecond
	maxTrialSteps = 40
)

// shareAt returns this entry's share of a limit in requests a second.
func (l *requestLimit) shareAt(perSecond float64, o *limitOrder) float64 {
	total, entries := perSecond*o.present, max(o.entries(), 1)
	if !o.ordered {
		return total / float64(entries)
	}
	senders := max(int(min(total, float64(entries))), 1)
	if int(l.position.Load()) >= senders {
		return 0
	}
	return total / float64(senders)
}

// setShare sets the limiter to the share. An entry that becomes a sender begins without
// saved requests, as the senders before it may have used theirs. l.mu must be held.
func (l *requestLimit) setShare(share float64, now int64) {
	if l.limiter != nil && share == l.share {
		return
	}
	at := steady.Time(now)
	burst := max(1, int(share*burstTime.Seconds()))
	if l.limiter == nil || l.share == 0 {
		l.limiter = rate.NewLimiter(rate.Limit(share), burst)
		l.limiter.AllowN(at, burst)
	} else {
		l.limiter.SetLimitAt(at, rate.Limit(share))
		l.limiter.SetBurstAt(at, burst)
	}
	l.share = share
}

// trialDue reports whether a request must be sent to learn whether the limit still holds.
// l.mu must be held.
func (l *requestLimit) trialDue(named *namedLimit, now int64, o *limitOrder) bool {
	wait := trialAfter + time.Duration(min(l.position.Load(), maxTrialSteps))*trialStep
	return now-max(named.observedAt, l.lastSent) > int64(float64(wait)/o.present)
}

// blocks reports whether the limit keeps this entry from sending a request now.
func (l *requestLimit) blocks(p *pickParams) bool {
	named := l.named.Load()
	if named == nil {
		return false
	}
	perSecond, limited := named.at(p.now)
	if !limited {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setShare(l.shareAt(perSecond, p.limits), p.now)
	return l.limiter.TokensAt(steady.Time(p.now)) < 1 && !l.trialDue(named, p.now, p.limits)
}

// take counts a request against this entry's share. It returns false if the share is used
// up.
func (l *requestLimit) take(p *pickParams) bool {
	named := l.named.Load()
	if named == nil {
		return true
	}
	perSecond, limited := named.at(p.now)
	if !limited {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setShare(l.shareAt(perSecond, p.limits), p.now)
	if !l.limiter.AllowN(steady.Time(p.now), 1) && !l.trialDue(named, p.now, p.limits) {
		return false
	}
	l.lastSent = p.now
	return true
}

// SenderOrder is this entry's position among the entries that divide the request limits of
// servers.
type SenderOrder struct {
	// Position returns this entry's position in the order of a server in that availability
	// zone, 0 for the first. An entry that is leaving is not in the order and comes last.
	Position func(server, zone string) int
	// Entries is the number of entries in the order.
	Entries int
	// Missing is the number of entries out of contact that may still send to the servers,
	// and Live the number of those in contact.
	Missing, Live int
}

// SetSenderOrder sets how the entries divide the request limits of servers. Until then all
// live entries have equal shares.
func (b *Balancer) SetSenderOrder(order SenderOrder) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, be := range b.snapshot.Load().backends {
		be.requestLimit.position.Store(int32(order.Position(be.vm.Name, be.vm.Zone)))
	}
	live := max(order.Live, 1)
	b.limits.Store(&limitOrder{
		entries: func() int { return order.Entries },
		ordered: true,
		present: float64(live) / float64(live+max(order.Missing, 0)),
	})
}

// LimitWait is how long the request limits of the servers keep a request from being sent.
type LimitWait struct {
	// Wait is the time until this entry may send the request, math.MaxInt64 if no server
	// takes requests from this entry.
	Wait time.Duration
	// Interval is the mean time between two requests that an entry may send by the limits
	// of all servers.
	Interval time.Duration
}

// LimitWait returns how long a request has to wait behind the given number of others. It
// returns false unless request limits are all that keeps it waiting, that is if every
// server which accepts requests names a limit and this entry's shares are used up.
func (b *Balancer) LimitWait(now time.Time, exclude []string, ahead int) (LimitWait, bool) {
	s := b.snapshot.Load()
	var p pickParams
	share, total, next := 0.0, 0.0, math.Inf(1) // next is in seconds
	for _, be := range s.backends {
		if be.report.draining.Load() || excluded(exclude, be.vm.Name) {
			continue
		}
		l := be.requestLimit
		named := l.named.Load()
		if named == nil {
			return LimitWait{}, false
		}
		if p.limits == nil {
			p = pickParams{now: steady.Nanos(now), limits: b.limits.Load()}
		}
		if !l.blocks(&p) {
			return LimitWait{}, false
		}
		perSecond, _ := named.at(p.now)
		total += perSecond
		own, wait := l.nextToken(p.now)
		share, next = share+own, min(next, wait)
	}
	if p.limits == nil {
		return LimitWait{}, false // no server accepts requests
	}
	return LimitWait{
		Wait:     seconds(next + float64(ahead)/share),
		Interval: seconds(float64(max(p.limits.entries(), 1)) / total),
	}, true
}

// nextToken returns this entry's share in requests a second, and the seconds until it may
// send the next request by it.
func (l *requestLimit) nextToken(now int64) (share, wait float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share, max(1-l.limiter.TokensAt(steady.Time(now)), 0) / l.share
}

// seconds returns a number of seconds as a duration, math.MaxInt64 if it is too large or
// not a number.
func seconds(n float64) time.Duration {
	if n < math.MaxInt64/float64(time.Second) {
		return time.Duration(n * float64(time.Second))
	}
	return math.MaxInt64
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
