package quota

import "time"

const (
	// loanTime is how long a loan runs without renewal.
	loanTime = 8 * time.Second
	// clockMargin covers the drift between two clocks during a loan.
	clockMargin = 50 * time.Millisecond
	// rateBusyTime is how long a unit of a rate stays used: the second of the
	// limit, and what a clock may drift in it.
	rateBusyTime = time.Second + time.Millisecond
	// reserveDivisor is the part of its own idle units that an entry keeps.
	reserveDivisor = 10
)

// account is one limit at one entry. A limit is a fixed number of units, and at
// each moment each unit is at one entry or held back by its owner. A call takes
// a unit, which then is busy: for rateBusyTime where the limit counts starts,
// and until the end of the call where it counts calls in progress.
//
// The Limiter's lock guards an account. All times are the Limiter's own clock.
type account struct {
	key   limitKey
	hash  uint64
	limit int
	// busyTime is the longest time for which a unit stays busy.
	busyTime time.Duration
	// own is the number of units of this entry's seats, wherever they are.
	own int

	lent                 map[string]*lentLoan     // by borrower
	borrowed             map[string]*borrowedLoan // by lender
	lentSum, borrowedSum int
	// cooling counts own units that came back and may still be busy.
	cooling window
	// nextExpiry is not later than the end of any loan.
	nextExpiry time.Duration

	started window // busy units of a rate
	running int    // busy units of calls in progress
	demand  demand

	askAt time.Duration // when more may be asked for
	pause time.Duration // between two rounds of asking
}

func newAccount(key limitKey) *account {
	return &account{
		key:      key,
		hash:     hashKey(key),
		busyTime: rateBusyTime,
		lent:     make(map[string]*lentLoan),
		borrowed: make(map[string]*borrowedLoan),
	}
}

// advance frees what is over by now.
func (a *account) advance(now time.Duration) {
	a.started.advance(now)
	a.cooling.advance(now)
	if now >= a.nextExpiry {
		a.expireLoans(now)
	}
}

// present returns the units at this entry, busy or not. It is negative while
// loans of a limit that has shrunk are still out.
func (a *account) present() int {
	return a.own - a.lentSum - a.cooling.count + a.borrowedSum
}

// busy returns the units that calls of this entry use.
func (a *account) busy() int {
	if a.key.kind == CallsPerSecond {
		return a.started.count
	}
	return a.running
}

// free returns the units that a call may take now.
func (a *account) free() int { return a.present() - a.busy() }

// take uses one unit; the caller has checked that one is free.
func (a *account) take(now time.Duration) {
	if a.key.kind == CallsPerSecond {
		a.started.add(now+rateBusyTime, 1)
		return
	}
	a.running++
}

// note observes one call that asks for a unit, whether or not it gets one.
func (a *account) note(now time.Duration, refused bool) {
	if a.key.kind == CallsPerSecond {
		a.demand.add(now, 1)
		return
	}
	asked := a.running + 1
	if refused {
		// How many refused calls would have run at a time is not known.
		asked += a.running
	}
	a.demand.peak(now, asked)
}

// target returns the units that this entry wants to have for its own callers.
func (a *account) target(now time.Duration) int {
	return min(withHeadroom(a.demand.units(now)), a.limit)
}
