package storesync

import (
	"sync"
	"time"
)

const (
	// outageThreshold is the time between two successful reads by any member above which a
	// failed read of this member in between shows an outage of the store. It spans several
	// failed reads in a row.
	outageThreshold = 1500 * time.Millisecond
	// peerOutageThreshold is the same for a failed read of another member. Readers may have
	// lost the store alone: the first fallback reader then reads it earlier than that, also
	// in a very large cluster.
	peerOutageThreshold = 2 * time.Second
	// unobservedThreshold is the time after which registrations have expired if the store was
	// away: three heartbeats of servers of 1.5 s. If no member is known to have read the
	// store for that long, whether it tried or not, the store may have been away.
	unobservedThreshold = 4500 * time.Millisecond
)

// outageDetector tells an outage of the store from a time in which no member read it, as readers
// end, pause or lose only their own path. Its evidence are the failed reads of any member. It is
// safe for concurrent use; its lock is a leaf.
type outageDetector struct {
	mu sync.Mutex // guards the fields below
	// peerRead is the newest successful read of another member, and peerFailure when another
	// one last announced that its reads fail. They are zero if none is known.
	peerRead, peerFailure time.Time
	ownFailure            time.Time // the last failed read of this member
}

// observeFailure records a failed read of this member.
func (d *outageDetector) observeFailure(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownFailure = now
}

// observePeer records what another member announces: when it last read the store, and whether its
// reads fail since. ownRead is the last successful read of this member, the zero time if there is
// none. It reports whether the other member's read is the first one after an outage.
func (d *outageDetector) observePeer(now, read time.Time, failing bool, ownRead time.Time) (outageEnded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if failing {
		d.peerFailure = now
	}
	if !read.After(d.peerRead) {
		return false
	}
	// A member that does not know any read has just started, so it can't tell.
	known := !d.peerRead.IsZero() || !ownRead.IsZero()
	outageEnded = known && d.isOutage(read, ownRead)
	d.peerRead = read
	return outageEnded
}

// endsOutage reports whether a read of this member that succeeds now is the first one of any
// member after an outage.
func (d *outageDetector) endsOutage(now, ownRead time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isOutage(now, ownRead)
}

// isOutage reports whether the store was away before a successful read. d.mu must be held.
func (d *outageDetector) isOutage(read, ownRead time.Time) bool {
	last := ownRead
	if d.peerRead.After(last) {
		last = d.peerRead
	}
	gap := read.Sub(last)
	return last.IsZero() || gap >= unobservedThreshold ||
		gap >= outageThreshold && d.ownFailure.After(last) ||
		gap >= peerOutageThreshold && d.peerFailure.After(last)
}

// onOutageEnd begins to hold removals, as a member was the first one to read the store after an
// outage.
func (s *Syncer) onOutageEnd(now time.Time, reader string) {
	s.count("outages")
	s.options.Events.Info("store outage ended", "reader", reader)
	s.deferred.onStoreReturn(now)
}
