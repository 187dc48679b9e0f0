// Package quota enforces the global limits without coordination on the request
// path. A global limit bounds the sum over all entries; its value is approved by
// the members' votes.
//
// Each limit is split into equal shares, one for each seat of package seat. An
// entry acquires units only of its own seats' shares, and borrows units from its
// peers if its callers need more. A loan is a short lease of units of a limit. A
// lender deducts the units before it grants them. So a lost message can make units
// unusable until the loan has expired, but never creates any.
//
// The guarantee holds for any second, on any clock: the entries together start no
// more calls than the largest limit that was active at any of them during that
// second and the lifetime of the loans before it. The same holds for the calls in
// progress at any moment. Clocks of different entries are never compared. They only
// need to run at the same speed, to within clockMargin over one loan.
package quota

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Options configures a Limiter.
type Options struct {
	// Incarnation identifies this entry process.
	Incarnation string
	// Client calls the peers; nil disables borrowing.
	Client peer.Client
	// Peers returns the entries that may lend; nil disables borrowing.
	Peers func() []Peer
	// LastContact returns the send time of the newest request to which the log or a
	// peer has responded. The arrival time of the reply would not do: a reply that waited
	// while this process was paused proves nothing about the present. LastContact
	// must not block.
	LastContact func() time.Time
	// LowestApplied returns an offset that all seat holders are known to have
	// applied, or -1 if none is known; nil means always -1.
	LowestApplied func() int64
	// Scope receives the counters; nil discards them.
	Scope tally.Scope
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Limiter enforces the global limits at one entry. It is safe for concurrent use.
// No other lock is taken while its single lock is held.
type Limiter struct {
	opts          Options
	count         counters
	waiters       atomic.Int64  // calls that wait for a loan
	refusalSignal chan struct{} // holds a token after a call was refused

	mu    sync.Mutex // guards the fields below
	clock clock
	state *state
}

// New returns a Limiter without limits.
func New(opts Options) *Limiter {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.LowestApplied == nil {
		opts.LowestApplied = func() int64 { return -1 }
	}
	return &Limiter{
		opts:          opts,
		count:         newCounters(opts.Scope),
		refusalSignal: make(chan struct{}, 1),
		clock:         newClock(opts.Now),
		state:         newState(opts.Incarnation),
	}
}

// SetTree activates the limits of a tree.
func (l *Limiter) SetTree(t *tree.Tree) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.setTree(l.tick(), t)
}

// SetSeats activates a seat table.
func (l *Limiter) SetSeats(t seat.Table) {
	applied := l.opts.LowestApplied()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.setSeats(l.tick(), t, applied)
}

// TryAcquire takes one unit of each limit that applies to a call, or refuses the
// call with the outcome "not run". It does not wait. Call release when the call has
// ended; further calls of release do nothing.
func (l *Limiter) TryAcquire(member, service, rank string) (release func(), refusal *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.state.limitsOf(tree.Scope{Member: member, Service: service, Rank: rank})
	if len(limits) == 0 {
		return releaseNoop, nil
	}
	now := l.tick()
	if refusing := l.state.tryAcquire(now, limits); refusing != nil {
		l.signalRefusal()
		return releaseNoop, l.newRefusal(now, refusing)
	}
	return l.releaseOnce(limits), nil
}

func releaseNoop() {}

func (l *Limiter) releaseOnce(limits []*allocation) func() {
	released := false
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if released {
			return
		}
		released = true
		l.state.release(limits)
	}
}

// tick returns the current time and updates the fence.
func (l *Limiter) tick() time.Duration {
	now, gap := l.clock.read()
	if gap {
		l.count.clockGaps.Inc(1)
		l.state.handlePause(now)
	}
	if l.opts.LastContact != nil {
		if at := l.opts.LastContact(); !at.IsZero() {
			l.state.fence.recordContact(l.clock.since(at))
		}
	}
	return now
}

// newRefusal returns why a call was refused and when it may be retried.
func (l *Limiter) newRefusal(now time.Duration, a *allocation) *outcome.Refusal {
	reason := outcome.ReasonLimitRate
	wait := a.recentStarts.nextFreeAt(now) - now
	if a.key.kind == ConcurrentCalls {
		reason = outcome.ReasonLimitConcurrent
		wait = 0
	}
	detail := "the voted limit of " + scopeName(a.key.scope) + " is spent; try again later"
	if l.state.fence.closed(now) {
		l.count.fenced.Inc(1)
		detail = "this entry has heard neither the log nor a peer lately and may not spend a voted limit; try another entry"
	}
	refusal := outcome.NewNotRun(http.StatusTooManyRequests, reason, detail)
	return refusal.WithRetryAfter(wholeSeconds(wait))
}

// wholeSeconds rounds up to at least one second, the unit of Retry-After.
func wholeSeconds(d time.Duration) time.Duration {
	return max(time.Second, time.Duration(math.Ceil(d.Seconds()))*time.Second)
}

func scopeName(s tree.Scope) string {
	name := s.Member
	if name == "" {
		name = "the co-operative"
	}
	if s.Service != "" {
		name += "/" + s.Service
	}
	if s.Rank != "" {
		name += " rank " + s.Rank
	}
	return name
}
