package quota

import "time"

const (
	// loanTTL is the lifetime of a loan that is not renewed.
	loanTTL = 8 * time.Second
	// clockMargin is the maximum that two clocks may drift apart during a loan.
	clockMargin = 50 * time.Millisecond
	// rateWindow is how long a unit of a rate limit stays in use: one second plus
	// the clock drift possible within it.
	rateWindow = time.Second + time.Millisecond
	// reserveDivisor sets the reserve: an entry does not lend the last
	// 1/reserveDivisor of its own units, even when its callers need none.
	reserveDivisor = 10
)

// allocation is what one entry has of one limit. A limit is a fixed number of
// units. At any moment each unit is usable at one entry or withheld by its owner.
// A call takes a unit, which is then in use: for rateWindow if the limit counts
// started calls, until the end of the call if it counts calls in progress.
//
// The Limiter's lock guards an allocation. All times are read from the Limiter's
// own clock.
type allocation struct {
	key   limitKey
	hash  uint64
	limit int
	// maxUseTime is the maximum time for which a unit stays in use.
	maxUseTime time.Duration
	// own is the number of units of this entry's seats, including those lent.
	own int

	lent                 map[string]*lentLoan     // by borrower
	borrowed             map[string]*borrowedLoan // by lender
	lentSum, borrowedSum int
	// cooldown counts own units that were returned and may still be in use.
	cooldown window
	// nextExpiry is no later than the expiry of any loan.
	nextExpiry time.Duration

	recentStarts window // units in use of a rate limit: calls started in the last rateWindow
	running      int    // units in use of a limit on calls in progress
	demand       demand

	nextBorrowAt time.Duration // earliest time to request more units
	backoff      time.Duration // delay until the next request for more units
}

func newAllocation(key limitKey) *allocation {
	return &allocation{
		key:        key,
		hash:       hashKey(key),
		maxUseTime: rateWindow,
		lent:       make(map[string]*lentLoan),
		borrowed:   make(map[string]*borrowedLoan),
	}
}

// advance frees the units that are no longer in use and expires loans.
func (a *allocation) advance(now time.Duration) {
	a.recentStarts.advance(now)
	a.cooldown.advance(now)
	if now >= a.nextExpiry {
		a.expireLoans(now)
	}
}

// capacity returns the units that this entry may use, including those in use. It is
// negative while more units are lent than a lowered limit leaves.
func (a *allocation) capacity() int {
	return a.own - a.lentSum - a.cooldown.count + a.borrowedSum
}

// inUse returns the units in use by calls of this entry.
func (a *allocation) inUse() int {
	if a.key.kind == CallsPerSecond {
		return a.recentStarts.count
	}
	return a.running
}

// free returns the units that calls may take now.
func (a *allocation) free() int { return a.capacity() - a.inUse() }

// takeUnit marks one unit as in use. The caller has checked that one is free.
func (a *allocation) takeUnit(now time.Duration) {
	if a.key.kind == CallsPerSecond {
		a.recentStarts.add(now+rateWindow, 1)
		return
	}
	a.running++
}

// recordDemand counts one call that needs a unit, whether or not it gets one.
func (a *allocation) recordDemand(now time.Duration, refused bool) {
	if a.key.kind == CallsPerSecond {
		a.demand.add(now, 1)
		return
	}
	needed := a.running + 1
	if refused {
		// How many of the refused calls would have run concurrently is unknown, so
		// the estimate doubles.
		needed += a.running
	}
	a.demand.observePeak(now, needed)
}

// target returns the number of units that this entry needs for its own callers.
func (a *allocation) target(now time.Duration) int {
	return min(withHeadroom(a.demand.units(now)), a.limit)
}
