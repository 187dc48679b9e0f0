package quota

import "time"

// lentLoan is what one borrower may hold of this entry's own units.
type lentLoan struct {
	units int
	// until is when the units are certainly unused again, by this entry's clock.
	until time.Duration
	// unmet is how much more the borrower wanted when it last asked.
	unmet int
}

// borrowedLoan is what this entry holds of one lender's units.
type borrowedLoan struct {
	// units may be taken by calls.
	units int
	// overdue units belong to a term that is over and are no longer taken, but
	// calls that began before its end may still use them.
	overdue int
	// until is the end of the loan, by this entry's clock.
	until time.Duration
	// renewed is when the request was sent that began the current term.
	renewed time.Duration
	// tried is when a renewal was last tried.
	tried time.Duration
}

// expireLoans ends the loans that are over by now.
func (a *account) expireLoans(now time.Duration) {
	a.nextExpiry = now + loanTime
	for borrower, l := range a.lent {
		if l.until <= now {
			a.lentSum -= l.units
			delete(a.lent, borrower)
			continue
		}
		a.nextExpiry = min(a.nextExpiry, l.until)
	}
	for lender, l := range a.borrowed {
		if l.until <= now {
			a.endTerm(l)
		}
		if l.until+a.busyTime <= now || l.overdue == 0 && l.units == 0 {
			delete(a.borrowed, lender)
			continue
		}
		a.nextExpiry = min(a.nextExpiry, max(l.until, now+time.Millisecond))
	}
}

// endTerm stops calls from taking the units of a loan whose term is over.
func (a *account) endTerm(l *borrowedLoan) {
	units := l.units
	a.borrowedSum -= units
	l.units = 0
	l.overdue += min(units, a.debt())
}

// debt returns how many calls in progress use units that are no longer present.
func (a *account) debt() int {
	if a.key.kind == CallsPerSecond {
		return 0 // the lender waits for the units of a rate by itself
	}
	return max(0, a.running-a.present())
}

// heldOf returns the units of a loan that calls use or may take.
func (a *account) heldOf(l *borrowedLoan) int {
	l.overdue = min(l.overdue, a.debt())
	return l.units + l.overdue
}

// lend answers one item of a borrower's request and returns what the borrower
// may hold from now on. The units are taken off before this returns, so a lost
// answer costs allowance until the loan is over and never makes any.
func (a *account) lend(now time.Duration, borrower string, held, want int, busy time.Duration) int {
	a.advance(now)
	l := a.lent[borrower]
	if l == nil {
		l = &lentLoan{}
	}
	// A borrower that holds more than is on record speaks of a loan that is over.
	held = max(0, min(held, l.units))
	a.takeBack(now, l, held)
	granted := a.grant(now, l, held, max(want, held))
	l.unmet = max(0, want-granted)
	if granted > held {
		a.lentSum += granted - held
		l.units = granted
	}
	if granted > 0 {
		l.until = max(l.until, now+restTime(max(a.busyTime, busy)))
	}
	a.keepLent(now, borrower, l)
	return granted
}

// takeBack books the units that the borrower has given up. Those of a rate may
// have been used just before, those of calls in progress are idle.
func (a *account) takeBack(now time.Duration, l *lentLoan, held int) {
	returned := l.units - held
	l.units = held
	a.lentSum -= returned
	if a.key.kind == CallsPerSecond {
		a.cooling.add(now+rateBusyTime, returned)
	}
}

// grant decides how much the borrower may hold; l.units is held at this point.
func (a *account) grant(now time.Duration, l *lentLoan, held, want int) int {
	wanted := max(a.target(now), a.own/reserveDivisor)
	pool := a.own - wanted // what this entry is ready to lend in all
	others := a.lentSum - held
	allowed := min(pool-others, a.own-others-a.cooling.count)
	if fair, contended := a.fairPart(l, pool); contended {
		allowed = min(allowed, fair)
	}
	// What goes beyond the units already out has to be free.
	allowed = min(allowed, held+max(0, a.free()))
	return max(0, min(want, allowed))
}

// fairPart returns an equal part of the pool and whether another borrower wants
// more than it has.
func (a *account) fairPart(l *lentLoan, pool int) (part int, contended bool) {
	borrowers := 1
	for _, other := range a.lent {
		if other == l {
			continue
		}
		borrowers++
		contended = contended || other.unmet > 0
	}
	return (pool + borrowers - 1) / borrowers, contended
}

func (a *account) keepLent(now time.Duration, borrower string, l *lentLoan) {
	if l.units == 0 && l.unmet == 0 {
		delete(a.lent, borrower)
		return
	}
	if l.units == 0 {
		l.until = now + loanTime // how long the unmet wish counts
	}
	a.lent[borrower] = l
	a.nextExpiry = min(a.nextExpiry, l.until)
}

// giveUp gives units of a loan up and returns how many. The unit of a call in
// progress can't be given up before the call ends.
func (a *account) giveUp(l *borrowedLoan, units int) int {
	if a.key.kind == ConcurrentCalls {
		units = min(units, max(0, a.free()))
	}
	units = max(0, min(units, l.units))
	l.units -= units
	a.borrowedSum -= units
	return units
}

// accept books a lender's answer to the request sent at sent.
func (a *account) accept(lender string, sent time.Duration, granted int) {
	l := a.borrowed[lender]
	if l == nil {
		l = &borrowedLoan{}
		a.borrowed[lender] = l
	}
	recalled := a.giveUp(l, l.units-granted) > 0
	if l.units > granted {
		return // calls in progress keep more for now, within the old term
	}
	a.borrowedSum += granted - l.units
	l.units = granted
	l.until = sent + loanTime
	l.renewed = sent
	if recalled {
		// The lender may use the units again once it knows that they are given up.
		l.renewed, l.tried = sent-renewTime, 0
	}
	a.nextExpiry = min(a.nextExpiry, l.until)
}

// endTerms ends the terms of everything borrowed.
func (a *account) endTerms() {
	for _, l := range a.borrowed {
		a.endTerm(l)
	}
}
