package quota

import "time"

const (
	// contactTimeout is how long an entry may acquire and lend units without contact
	// with the log or a peer.
	contactTimeout = 5 * time.Second
	// clockJumpThreshold is the divergence of the wall clock and the monotonic clock
	// between two readings beyond which one of them stood still or was set.
	clockJumpThreshold = 250 * time.Millisecond
)

// fence blocks an entry whose seats may have been reassigned without its
// knowledge: one that was paused, or that had no contact with the log or a peer for
// contactTimeout.
type fence struct {
	lastContact time.Duration
	lastGap     time.Duration
	contacted   bool // had contact at least once
}

// recordContact records the send time of a request to which the log or a peer
// has responded.
func (f *fence) recordContact(at time.Duration) {
	if !f.contacted || at > f.lastContact {
		f.contacted, f.lastContact = true, at
	}
}

// recordGap closes the fence until there is a response to a request sent after now.
func (f *fence) recordGap(now time.Duration) { f.lastGap = now }

// closed reports whether this entry may neither acquire nor lend units now.
func (f *fence) closed(now time.Duration) bool {
	return !f.contacted || now-f.lastContact > contactTimeout || f.lastContact < f.lastGap
}
