package quota

import "time"

// demandTime is the length of one observation of the demand.
const demandTime = time.Second

// demand observes how much of a limit the callers of this entry ask for: the
// larger of the last whole observation and the one in progress.
type demand struct {
	start         time.Duration
	current, last int
}

// roll begins a new observation where the current one is over.
func (d *demand) roll(now time.Duration) {
	switch elapsed := now - d.start; {
	case elapsed < demandTime:
		return
	case elapsed < 2*demandTime:
		d.last = d.current
	default:
		d.last = 0
	}
	d.current = 0
	d.start = now
}

// add notes units asked for, for a limit that counts starts.
func (d *demand) add(now time.Duration, units int) {
	d.roll(now)
	d.current += units
}

// peak notes units in use at a time, for a limit that counts calls in progress.
func (d *demand) peak(now time.Duration, units int) {
	d.roll(now)
	d.current = max(d.current, units)
}

// units returns the demand.
func (d *demand) units(now time.Duration) int {
	d.roll(now)
	return max(d.current, d.last)
}

// withHeadroom adds an eighth, and at least one unit, to a demand.
func withHeadroom(units int) int {
	if units == 0 {
		return 0
	}
	return units + units/8 + 1
}
