package quota

import "time"

const (
	// fenceTime is how long an entry spends without hearing the log or a peer.
	fenceTime = 5 * time.Second
	// clockGap is the difference between the wall clock and the monotonic clock
	// over one step that shows that one of them stood still or was set.
	clockGap = 250 * time.Millisecond
)

// fence stops an entry that may have been overtaken: one that was paused, or
// that has heard neither the log nor a peer for fenceTime.
type fence struct {
	heard time.Duration
	gap   time.Duration
	open  bool // heard at least once
}

// hear notes when a request was sent that the log or a peer has answered.
func (f *fence) hear(at time.Duration) {
	if !f.open || at > f.heard {
		f.open, f.heard = true, at
	}
}

// noteGap closes the fence until an answer to a later request is heard.
func (f *fence) noteGap(now time.Duration) { f.gap = now }

// closed reports whether nothing may be spent now.
func (f *fence) closed(now time.Duration) bool {
	return !f.open || now-f.heard > fenceTime || f.heard < f.gap
}
