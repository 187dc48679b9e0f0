package quota

import "time"

// clock measures the time since the process started and detects when the wall
// clock and the monotonic clock diverge.
type clock struct {
	now   func() time.Time
	start time.Time
	wall  time.Duration
	mono  time.Duration
}

func newClock(now func() time.Time) clock { return clock{now: now, start: now()} }

// read returns the monotonic time since the start, and whether the two clocks have
// diverged since the last reading.
func (c *clock) read() (mono time.Duration, gap bool) {
	t := c.now()
	mono = t.Sub(c.start)
	wall := time.Duration(t.UnixNano() - c.start.UnixNano())
	drift := (wall - c.wall) - (mono - c.mono)
	c.wall, c.mono = wall, mono
	return mono, drift > clockJumpThreshold || drift < -clockJumpThreshold
}

// since converts a time of this process to a duration since its start.
func (c *clock) since(t time.Time) time.Duration { return t.Sub(c.start) }
