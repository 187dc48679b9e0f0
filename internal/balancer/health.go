package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/steady"
)

const (
	// errorWeight is the weight of the newest response in a server's error share.
	errorWeight = 0.2
	// ejectionThreshold is the error share above which a server is ejected.
	ejectionThreshold = 0.6
	// minEjection is the duration of the first ejection; it doubles with each
	// consecutive one.
	minEjection = time.Second
	// maxEjection bounds the doubling.
	maxEjection = 30 * time.Second
	// maxEjectedShare is the share of servers above which ejections are ignored,
	// because so many failures point to a fault of this entry rather than of the servers.
	maxEjectedShare = 1.0 / 3
)

// health tracks the failures of a server and ejects it (outlier detection). Picks
// read the atomic fields; the other fields are used only when a result is recorded.
type health struct {
	ejectedUntil   atomic.Int64 // nanoseconds since the Unix epoch
	penalizedUntil atomic.Int64 // end of the last failure's penalty and of slow start, whichever is later
	failedUntil    atomic.Int64 // until then, a failed or shed request counts as in progress
	halfOpen       atomic.Bool  // after an ejection: one request at a time until a response is complete

	mu                   sync.Mutex // guards the fields below
	errorShare           float64    // moving average of the error share
	consecutiveEjections int        // ejections without a complete response between them
}

// recordSuccess records a complete response.
func (h *health) recordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errorShare -= errorWeight * h.errorShare
	h.consecutiveEjections = 0
	h.halfOpen.Store(false)
}

// penalize makes a failed or shed request count as in progress for that long.
func (h *health) penalize(now time.Time, length time.Duration) {
	until := steady.Nanos(now.Add(length))
	h.failedUntil.Store(until)
	h.penalizedUntil.Store(max(until, h.penalizedUntil.Load()))
}

// recordFailure records a failed request and reports whether it ejects the server.
func (h *health) recordFailure(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.errorShare += errorWeight * (1 - h.errorShare)
	ejected := h.ejectedUntil.Load() > steady.Nanos(now)
	if ejected || h.errorShare <= ejectionThreshold && !h.halfOpen.Load() {
		return false
	}
	length := min(minEjection<<h.consecutiveEjections, maxEjection)
	h.consecutiveEjections = min(h.consecutiveEjections+1, maxDoublings)
	h.ejectedUntil.Store(steady.Nanos(now.Add(length)))
	h.halfOpen.Store(true)
	return true
}

// maxDoublings keeps the shift in range; by then the duration exceeds maxEjection.
const maxDoublings = 8
