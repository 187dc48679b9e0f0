package balancer

import (
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// forgetLeavingAfter is how long it is remembered that a server is leaving after it was listed for
// the last time: its record may be back, as after an outage of the store.
const forgetLeavingAfter = 10 * time.Minute

// MaxPause bounds the time for which a server can ask for no requests.
const MaxPause = 24 * time.Hour

// Notices are what a response says about further requests to its server.
type Notices struct {
	// Leaving is set if the server is shutting down. Each response says so from then on.
	Leaving bool
	// Pause is how long the server wants nothing from this entry, zero if it does not say so.
	Pause time.Duration
}

// notices holds the notices of one start of a server. Other than a load report they are not
// replaced by the next response.
type notices struct {
	leavingSince atomic.Int64 // nanoseconds since the Unix epoch, zero if the server stays
	pausedUntil  atomic.Int64 // nanoseconds since the Unix epoch
}

// blocks reports whether the server wants no request of this entry.
func (n *notices) blocks(now int64) bool {
	return n.leavingSince.Load() != 0 || now < n.pausedUntil.Load()
}

// record records the notices of a response that arrived at that time.
func (n *notices) record(r Notices, now time.Time) {
	if r.Leaving {
		n.leavingSince.CompareAndSwap(0, steady.Nanos(now))
	}
	until := steady.Nanos(now.Add(min(r.Pause, MaxPause)))
	for r.Pause > 0 {
		old := n.pausedUntil.Load()
		if until <= old || n.pausedUntil.CompareAndSwap(old, until) {
			return
		}
	}
}

// inForce reports whether the notices of a server that is not listed must be remembered.
func (n *notices) inForce(now int64) bool {
	leaving := n.leavingSince.Load()
	return leaving != 0 && now-leaving < int64(forgetLeavingAfter) || now < n.pausedUntil.Load()
}

// Wants reports whether the server takes anything from this entry: it has not asked for a pause
// that still lasts.
func (b *Balancer) Wants(server string, now time.Time) bool {
	be := b.snapshot.Load().backend(server)
	return be == nil || steady.Nanos(now) >= be.notices.pausedUntil.Load()
}
