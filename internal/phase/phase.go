// Package phase predicts when the speed of a backend server may change.
//
// A shared host redistributes its CPU time in fixed periods, so the speed of a server
// that is slowed by a neighbour changes at the same offset in each period, its phase. If
// the phase is known, the server is probed right after each possible change: such a report
// is more recent, and stays valid for longer, than one taken at an arbitrary time.
package phase

import "time"

const (
	// Period is the time between two possible changes of the speed of the users'
	// servers, as their load headers show. For a server whose speed changes at other
	// times, successive changes rarely have the same phase, so the tracker hardly ever
	// locks (see Tracker.Locked) and the changes are not predicted.
	Period = 150 * time.Millisecond
	// lockMatches is how many consecutive changes must have the same phase before the
	// next ones are predicted. With reports 33 ms apart, a change matches by chance
	// about three times in ten, and five do about once in a hundred.
	lockMatches = 5
	// lockWidth is the precision to which the phase must be known. Reports are then as
	// recent as those of a server that is probed at twice the rate of the rounds.
	lockWidth = 12 * time.Millisecond
	// minLockWidth is the least width to which the phase is narrowed. It covers the
	// transfer time of a report.
	minLockWidth = 5 * time.Millisecond
	// maxReportGap is the longest time between two reports from which the phase of a
	// change between them can be determined.
	maxReportGap = 60 * time.Millisecond
	// margin is the time from the latest possible change to the probe.
	margin = time.Millisecond
)

// Tracker estimates at which offset in each Period the speed of one server changes (its
// phase), from the slowdowns that the server reports. It is locked once the estimate is
// precise enough to predict the next changes. The zero value has seen no reports. It is
// not safe for concurrent use.
type Tracker struct {
	// Changes occur between early and late, and any number of whole periods before and
	// after.
	early, late time.Time
	matches     int // consecutive changes with the same phase

	lastReportAt time.Time // zero before the first report
	slowdown     int       // in percent, by that report
}

// Observe adds a slowdown that the server reported at that time, in percent. Reports must
// be added in order of time. It reports whether the speed has changed since the last one.
func (t *Tracker) Observe(at time.Time, slowdown int) bool {
	from, previous := t.lastReportAt, t.slowdown
	t.lastReportAt, t.slowdown = at, slowdown
	if from.IsZero() || slowdown == previous {
		return false
	}
	if at.Sub(from) <= maxReportGap {
		t.addChange(from.Add(-margin), at)
	}
	return true
}

// addChange narrows the window by a change between two times, or restarts at that change
// if the change is outside the window.
func (t *Tracker) addChange(from, until time.Time) {
	if t.matches == 0 {
		t.early, t.late, t.matches = from, until, 1
		return
	}
	t.shiftNear(from.Add(until.Sub(from) / 2))
	early, late := latest(t.early, from), earliest(t.late, until)
	if late.Before(early) {
		t.early, t.late, t.matches = from, until, 1
		return
	}
	if missing := minLockWidth - late.Sub(early); missing > 0 {
		early, late = early.Add(-missing/2), late.Add(missing/2)
	}
	t.early, t.late = early, late
	t.matches++
}

// shiftNear shifts the window by whole periods to the one nearest to the time.
func (t *Tracker) shiftNear(to time.Time) {
	middle := t.early.Add(t.late.Sub(t.early) / 2)
	distance := to.Sub(middle)
	periods := (distance + Period/2) / Period
	if distance < -Period/2 {
		periods = (distance - Period/2) / Period
	}
	t.early, t.late = t.early.Add(periods*Period), t.late.Add(periods*Period)
}

// Locked reports whether the next changes can be predicted.
func (t *Tracker) Locked() bool { return t.matches >= lockMatches && t.late.Sub(t.early) <= lockWidth }

// Next returns the first time after the given one at which to probe the server: right
// after a possible change, or in the middle between two. change is true for the former.
// The result is valid only if the tracker is locked.
func (t *Tracker) Next(after time.Time) (next time.Time, change bool) {
	changeProbe := t.late.Add(margin)
	halfPeriods := after.Sub(changeProbe) / (Period / 2)
	if after.Before(changeProbe) {
		halfPeriods--
	}
	halfPeriods++
	return changeProbe.Add(halfPeriods * (Period / 2)), halfPeriods%2 == 0
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
