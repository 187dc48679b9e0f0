// Package phase learns when the pace of a backend server may change.
//
// A shared host deals out its time anew in fixed periods, so a server that a
// neighbour slows changes its pace at the same place of each period. Who knows that
// place asks right after it: what it learns is newer, and holds for longer, than
// what it would learn by asking at any time.
package phase

import "time"

const (
	// Period is the time between two changes at the users' servers, as their load
	// headers show. A server that changes otherwise never fits and is not locked.
	Period = 150 * time.Millisecond
	// lockFits is how many changes in a row have to come at the same place. Where
	// reports lie 33 ms apart a change fits by chance about three times in ten, so
	// five do about once in a hundred.
	lockFits = 5
	// lockWidth is how exactly the place has to be known: a report is then as new
	// as one of a server that is asked at twice the rate of a round.
	lockWidth = 12 * time.Millisecond
	// leastWidth covers the time that a report is on its way; the place is not
	// taken to be known better.
	leastWidth = 5 * time.Millisecond
	// longestGap is the longest time between two reports that tells at which place
	// the change between them came.
	longestGap = 60 * time.Millisecond
	// margin is how long after the latest possible change a server is asked.
	margin = time.Millisecond
)

// Tracker is what is known of one server. The zero value knows nothing. It is not
// safe for concurrent use.
type Tracker struct {
	// Changes come between early and late, and whole periods before and after.
	early, late time.Time
	fits        int // changes in a row that fit

	last     time.Time // of the newest report, zero before the first
	slowdown int       // by that report
}

// Observe takes in what the server itself reported just now. Reports come in order.
// It returns whether the pace has changed since the report before.
func (r *Tracker) Observe(at time.Time, slowdown int) bool {
	from, before := r.last, r.slowdown
	r.last, r.slowdown = at, slowdown
	if from.IsZero() || slowdown == before {
		return false
	}
	if at.Sub(from) <= longestGap {
		r.fit(from.Add(-margin), at)
	}
	return true
}

// fit takes in a change that came between two times.
func (r *Tracker) fit(from, until time.Time) {
	if r.fits == 0 {
		r.early, r.late, r.fits = from, until, 1
		return
	}
	r.move(from.Add(until.Sub(from) / 2))
	early, late := latest(r.early, from), earliest(r.late, until)
	if late.Before(early) {
		r.early, r.late, r.fits = from, until, 1
		return
	}
	if short := leastWidth - late.Sub(early); short > 0 {
		early, late = early.Add(-short/2), late.Add(short/2)
	}
	r.early, r.late = early, late
	r.fits++
}

// move brings the window to the period whose change is next to the time.
func (r *Tracker) move(to time.Time) {
	middle := r.early.Add(r.late.Sub(r.early) / 2)
	away := to.Sub(middle)
	periods := (away + Period/2) / Period
	if away < -Period/2 {
		periods = (away - Period/2) / Period
	}
	r.early, r.late = r.early.Add(periods*Period), r.late.Add(periods*Period)
}

// Locked reports whether the next changes can be foretold.
func (r *Tracker) Locked() bool { return r.fits >= lockFits && r.late.Sub(r.early) <= lockWidth }

// Next is the first time after the given one at which the server is worth asking:
// right after a possible change, or in the middle between two. It holds only for a
// rhythm that is locked.
func (r *Tracker) Next(after time.Time) (next time.Time, change bool) {
	first := r.late.Add(margin)
	half := after.Sub(first) / (Period / 2)
	if after.Before(first) {
		half--
	}
	half++
	return first.Add(half * (Period / 2)), half%2 == 0
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
