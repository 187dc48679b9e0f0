package quota

import "time"

// lentLoan is a loan of this entry's own units to one borrower.
type lentLoan struct {
	units int
	// expiresAt is when the units are certainly unused again, on this entry's clock.
	expiresAt time.Duration
	// unmet is how many units of the borrower's last request were not granted.
	unmet int
}

// borrowedLoan is a loan of one lender's units to this entry.
type borrowedLoan struct {
	// units may be taken by calls.
	units int
	// overdue counts units of an expired loan. Calls can no longer take them, but
	// calls that started before the expiry may still use them.
	overdue int
	// expiresAt is when the loan expires, on this entry's clock.
	expiresAt time.Duration
	// renewedAt is when the request was sent that last granted or renewed the loan.
	renewedAt time.Duration
	// renewalTriedAt is when a renewal was last requested.
	renewalTriedAt time.Duration
}

// expireLoans expires all loans whose time is over.
func (a *allocation) expireLoans(now time.Duration) {
	a.nextExpiry = now + loanTTL
	for borrower, l := range a.lent {
		if l.expiresAt <= now {
			a.lentSum -= l.units
			delete(a.lent, borrower)
			continue
		}
		a.nextExpiry = min(a.nextExpiry, l.expiresAt)
	}
	for lender, l := range a.borrowed {
		if l.expiresAt <= now {
			a.expireLoan(l)
		}
		if l.expiresAt+a.maxUseTime <= now || l.overdue == 0 && l.units == 0 {
			delete(a.borrowed, lender)
			continue
		}
		a.nextExpiry = min(a.nextExpiry, max(l.expiresAt, now+time.Millisecond))
	}
}

// expireLoan makes the units of a loan unavailable to new calls.
func (a *allocation) expireLoan(l *borrowedLoan) {
	units := l.units
	a.borrowedSum -= units
	l.units = 0
	l.overdue += min(units, a.overcommitted())
}

// overcommitted returns by how many units the calls in progress exceed the
// capacity.
func (a *allocation) overcommitted() int {
	if a.key.kind == CallsPerSecond {
		// Units of an expired loan need not be held for calls that started with them:
		// the lender reuses the units only after rateWindow has passed, see
		// reclaimDelay.
		return 0
	}
	return max(0, a.running-a.capacity())
}

// heldUnits returns the units of a loan that calls may take or still use.
func (a *allocation) heldUnits(l *borrowedLoan) int {
	l.overdue = min(l.overdue, a.overcommitted())
	return l.units + l.overdue
}

// lend handles one item of a borrower's request and returns how many units the
// borrower may hold from now on. The units are deducted before lend returns, so a
// lost reply makes units unusable until the loan has expired, but never creates any.
func (a *allocation) lend(now time.Duration, borrower string, held, want int, borrowerUseTime time.Duration) int {
	a.advance(now)
	l := a.lent[borrower]
	if l == nil {
		l = &lentLoan{}
	}
	// A borrower that reports more units than recorded refers to an expired loan.
	held = max(0, min(held, l.units))
	a.reclaim(now, l, held)
	granted := a.grantable(now, l, held, max(want, held))
	l.unmet = max(0, want-granted)
	if granted > held {
		a.lentSum += granted - held
		l.units = granted
	}
	if granted > 0 {
		l.expiresAt = max(l.expiresAt, now+reclaimDelay(max(a.maxUseTime, borrowerUseTime)))
	}
	a.storeLoan(now, borrower, l)
	return granted
}

// reclaim takes back the units that the borrower has returned. Units of a rate limit
// may have been used just before and need a cooldown; units of a limit on calls in
// progress are idle.
func (a *allocation) reclaim(now time.Duration, l *lentLoan, held int) {
	returned := l.units - held
	l.units = held
	a.lentSum -= returned
	if a.key.kind == CallsPerSecond {
		a.cooldown.add(now+rateWindow, returned)
	}
}

// grantable returns how many units the borrower may hold. At this point l.units
// equals held.
func (a *allocation) grantable(now time.Duration, l *lentLoan, held, want int) int {
	reserved := max(a.target(now), a.own/reserveDivisor)
	lendable := a.own - reserved // what this entry may lend in total
	others := a.lentSum - held
	allowed := min(lendable-others, a.own-others-a.cooldown.count)
	if fair, contended := a.fairShare(l, lendable); contended {
		allowed = min(allowed, fair)
	}
	// Units beyond those already lent to the borrower must be free.
	allowed = min(allowed, held+max(0, a.free()))
	return max(0, min(want, allowed))
}

// fairShare returns an equal part of the lendable units, and whether another
// borrower wants more than it has.
func (a *allocation) fairShare(l *lentLoan, lendable int) (part int, contended bool) {
	borrowers := 1
	for _, other := range a.lent {
		if other == l {
			continue
		}
		borrowers++
		contended = contended || other.unmet > 0
	}
	return (lendable + borrowers - 1) / borrowers, contended
}

func (a *allocation) storeLoan(now time.Duration, borrower string, l *lentLoan) {
	if l.units == 0 && l.unmet == 0 {
		delete(a.lent, borrower)
		return
	}
	if l.units == 0 {
		l.expiresAt = now + loanTTL // the unmet demand counts until then
	}
	a.lent[borrower] = l
	a.nextExpiry = min(a.nextExpiry, l.expiresAt)
}

// returnUnits gives up units of a loan and returns how many. The unit of a call in
// progress can't be returned before the call ends.
func (a *allocation) returnUnits(l *borrowedLoan, units int) int {
	if a.key.kind == ConcurrentCalls {
		units = min(units, max(0, a.free()))
	}
	units = max(0, min(units, l.units))
	l.units -= units
	a.borrowedSum -= units
	return units
}

// applyGrant applies a lender's reply to the request that was sent at sent.
func (a *allocation) applyGrant(lender string, sent time.Duration, granted int) {
	l := a.borrowed[lender]
	if l == nil {
		l = &borrowedLoan{}
		a.borrowed[lender] = l
	}
	recalled := a.returnUnits(l, l.units-granted) > 0
	if l.units > granted {
		return // calls in progress keep more units for now; the expiry is unchanged
	}
	a.borrowedSum += granted - l.units
	l.units = granted
	l.expiresAt = sent + loanTTL
	l.renewedAt = sent
	if recalled {
		// Report the returned units to the lender soon, so that it can use them again.
		l.renewedAt, l.renewalTriedAt = sent-renewAfter, 0
	}
	a.nextExpiry = min(a.nextExpiry, l.expiresAt)
}

// expireAllLoans expires all loans to this entry.
func (a *allocation) expireAllLoans() {
	for _, l := range a.borrowed {
		a.expireLoan(l)
	}
}
