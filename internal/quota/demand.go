package quota

import "time"

// demandWindow is the length of one demand measurement.
const demandWindow = time.Second

// demand measures how many units of a limit the callers of this entry need: the
// larger of the last complete window and the current one.
type demand struct {
	start         time.Duration
	current, last int
}

// roll starts a new window if the current one is over.
func (d *demand) roll(now time.Duration) {
	switch elapsed := now - d.start; {
	case elapsed < demandWindow:
		return
	case elapsed < 2*demandWindow:
		d.last = d.current
	default:
		d.last = 0
	}
	d.current = 0
	d.start = now
}

// add counts requested units, for a limit on started calls.
func (d *demand) add(now time.Duration, units int) {
	d.roll(now)
	d.current += units
}

// observePeak records units needed at the same time, for a limit on calls in
// progress.
func (d *demand) observePeak(now time.Duration, units int) {
	d.roll(now)
	d.current = max(d.current, units)
}

// units returns the current demand in units of the limit.
func (d *demand) units(now time.Duration) int {
	d.roll(now)
	return max(d.current, d.last)
}

// withHeadroom adds an eighth of the demand plus one unit. A demand of zero stays
// zero.
func withHeadroom(units int) int {
	if units == 0 {
		return 0
	}
	return units + units/8 + 1
}
