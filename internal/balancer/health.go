package balancer

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// errorWeight is the weight of the newest answer in a server's error share.
	errorWeight = 0.2
	// ejectShare is the error share above which a server is ejected.
	ejectShare = 0.6
	// shortestEjection doubles with each ejection in a row.
	shortestEjection = time.Second
	// longestEjection bounds the doubling.
	longestEjection = 30 * time.Second
	// maxEjectedShare is the share of servers above which ejections are ignored,
	// because so many failures say more about the judge than about the servers.
	maxEjectedShare = 1.0 / 3
)

// health is what the answers of a server say about its failures. Picks read the
// atomic fields; the others belong to Done.
type health struct {
	ejectedUntil   atomic.Int64 // nanoseconds since the Unix epoch
	penalizedUntil atomic.Int64 // from then on there is neither a failure nor a slow start
	failedUntil    atomic.Int64 // until then, a failed or shed answer counts as in progress
	trial          atomic.Bool  // one request at a time until an answer is whole

	mu    sync.Mutex // guards share and inRow
	share float64    // decayed share of errors
	inRow int        // ejections without a whole answer between them
}

// succeed takes in a whole answer.
func (h *health) succeed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.share -= errorWeight * h.share
	h.inRow = 0
	h.trial.Store(false)
}

// penalize lets a failed or shed answer count as in progress for a while.
func (h *health) penalize(now time.Time, length time.Duration) {
	until := now.Add(length).UnixNano()
	h.failedUntil.Store(until)
	h.penalizedUntil.Store(max(until, h.penalizedUntil.Load()))
}

// fail takes in a failed answer. It reports whether the server is ejected by it.
func (h *health) fail(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.share += errorWeight * (1 - h.share)
	ejected := h.ejectedUntil.Load() > now.UnixNano()
	if ejected || h.share <= ejectShare && !h.trial.Load() {
		return false
	}
	length := min(shortestEjection<<h.inRow, longestEjection)
	h.inRow = min(h.inRow+1, maxDoublings)
	h.ejectedUntil.Store(now.Add(length).UnixNano())
	h.trial.Store(true)
	return true
}

// maxDoublings keeps the shift in range; it is past longestEjection.
const maxDoublings = 8
