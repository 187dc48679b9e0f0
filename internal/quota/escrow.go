// Package quota keeps the voted limits over the sum of all entries without any
// coordination on the request path.
//
// Each limit is split into equal shares, one for each seat of package seat. An
// entry spends only what its seats hold, and borrows from its peers what its
// callers need beyond that. A lender takes off before it grants, so a lost
// message costs allowance for the term of the loan and never makes any.
//
// The promise, for any span of one second and any clock: the entries together
// start no more calls than the largest limit that any of them had in force in
// that second and the terms of the loans before it. The same holds for the calls
// in progress at any moment. No two clocks are compared; what is needed is that
// they run at the same speed to within clockMargin over one loan.
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

// Options set a Limiter up.
type Options struct {
	// Incarnation identifies this entry process.
	Incarnation string
	// Client calls the peers; nil borrows nothing.
	Client peer.Client
	// Peers returns the entries that may lend; nil borrows nothing.
	Peers func() []Peer
	// LastContact returns when the newest request was sent that the log or a peer
	// has answered. The time of the answer will not do: an answer that waited
	// while the process was paused says nothing about now. It must not block.
	LastContact func() time.Time
	// LowestApplied returns an offset that all holders of seats are known to have
	// applied, and -1 where nothing is known; nil is the same as -1.
	LowestApplied func() int64
	// Scope gets the counters; nil drops them.
	Scope tally.Scope
	// Now reads the time; nil means time.Now.
	Now func() time.Time
}

// Limiter spends the voted limits of one entry. It is safe for concurrent use.
// Its single lock is a leaf: nothing else is locked while it is held.
type Limiter struct {
	opts     Options
	count    counters
	awaiting atomic.Int64  // calls that wait for a loan
	refused  chan struct{} // holds a token where a call was refused lately

	mu    sync.Mutex // guards what follows
	clock clock
	book  *book
}

// New returns a ledger without limits.
func New(opts Options) *Limiter {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.LowestApplied == nil {
		opts.LowestApplied = func() int64 { return -1 }
	}
	return &Limiter{
		opts:    opts,
		count:   newCounters(opts.Scope),
		refused: make(chan struct{}, 1),
		clock:   newClock(opts.Now),
		book:    newBook(opts.Incarnation),
	}
}

// SetTree puts the limits of a tree in force.
func (l *Limiter) SetTree(t *tree.Tree) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.setTree(l.tick(), t)
}

// SetSeats puts a table of seats in force.
func (l *Limiter) SetSeats(t seat.Table) {
	applied := l.opts.LowestApplied()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.setSeats(l.tick(), t, applied)
}

// TryAcquire takes one call out of each limit that governs it, or refuses it as not
// run. The caller of TryAcquire calls release when the call has ended; further calls
// of release do nothing.
func (l *Limiter) TryAcquire(member, service, rank string) (release func(), refusal *outcome.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.book.limitsOf(tree.Scope{Member: member, Service: service, Rank: rank})
	if len(limits) == 0 {
		return releaseNothing, nil
	}
	now := l.tick()
	if refusing := l.book.spend(now, limits); refusing != nil {
		l.noteRefused()
		return releaseNothing, l.refuse(now, refusing)
	}
	return l.releaseOnce(limits), nil
}

func releaseNothing() {}

func (l *Limiter) releaseOnce(limits []*account) func() {
	released := false
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if released {
			return
		}
		released = true
		l.book.end(limits)
	}
}

// tick reads the clock and what has been heard.
func (l *Limiter) tick() time.Duration {
	now, gap := l.clock.read()
	if gap {
		l.count.pauses.Inc(1)
		l.book.pause(now)
	}
	if l.opts.LastContact != nil {
		if at := l.opts.LastContact(); !at.IsZero() {
			l.book.fence.hear(l.clock.since(at))
		}
	}
	return now
}

// refuse says why a call was refused and when it may be tried again.
func (l *Limiter) refuse(now time.Duration, a *account) *outcome.Refusal {
	reason := outcome.ReasonLimitRate
	wait := a.started.next(now) - now
	if a.key.kind == ConcurrentCalls {
		reason = outcome.ReasonLimitConcurrent
		wait = 0
	}
	detail := "the voted limit of " + scopeName(a.key.scope) + " is spent; try again later"
	if l.book.fence.closed(now) {
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
