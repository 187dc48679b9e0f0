package balancer

import (
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// forgetLeavingAfter is how long it is remembered that a server is leaving after it was listed for
// the last time: its record may be back, as after an outage of the store.
const forgetLeavingAfter = 10 * time.Minute

// MaxWarmUp bounds the time for which a server can say that it is cold.
const MaxWarmUp = 10 * time.Minute

// MaxPause bounds the time for which a server can ask for no requests.
const MaxPause = 24 * time.Hour

// Notices are what a response says about further requests to its server.
type Notices struct {
	// Leaving is set if the server is shutting down. Each response says so from then on.
	Leaving bool
	// Pause is how long the server wants nothing from this entry, zero if it does not say so.
	Pause time.Duration
	// WarmUp is how long the server still is cold, zero if it does not say that it is.
	WarmUp time.Duration
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

// record records the notices of a response that arrived at that time. It returns those that are
// news: that the server leaves, or a pause that begins.
func (n *notices) record(r Notices, now time.Time) (news Notices) {
	news.Leaving = r.Leaving && n.leavingSince.CompareAndSwap(0, steady.Nanos(now))
	pause := min(r.Pause, MaxPause)
	until := steady.Nanos(now.Add(pause))
	for pause > 0 {
		old := n.pausedUntil.Load()
		if until <= old {
			break
		}
		if n.pausedUntil.CompareAndSwap(old, until) {
			if old <= steady.Nanos(now) {
				news.Pause = pause
			}
			break
		}
	}
	return news
}

// observeNotices records the notices of a response, and counts and reports those that are news.
func (b *Balancer) observeNotices(be *backend, r Notices, now time.Time) {
	news := be.notices.record(r, now)
	if news == (Notices{}) {
		return
	}
	if news.Leaving {
		metrics.Count(b.options.Scope, metrics.Notices, "leaving")
	}
	if news.Pause > 0 {
		metrics.Count(b.options.Scope, metrics.Notices, "pause")
	}
	if b.options.OnNotices != nil {
		b.options.OnNotices(be.vm.Name, news)
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
