package admission

import (
	"math"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

const (
	// initialLimit is the limit before the first response.
	initialLimit = 16
	// minLimit lets a rank always try one request.
	minLimit = 1
	// maxLimit bounds the growth where reports never show a busy server.
	maxLimit = 1 << 12
	// maxIncrease bounds the growth for waiting requests, per round of
	// responses.
	maxIncrease = 4
	// maxExcess bounds the excess counted for one report, as a single server
	// may be slow.
	maxExcess = 2
	// limitDecrease is the part of the limit that one round of responses
	// removes for each excess request in their reports: each response subtracts
	// this number from the limit.
	limitDecrease = 0.03
	// yieldDecrease is limitDecrease for ranks that yield to higher ones.
	yieldDecrease = 0.4
	// shedDecrease is the part of the limit that is removed for a response that
	// shed the request.
	shedDecrease = 0.1
	// growthUtilization is the part of the limit that must be in use for it to
	// grow.
	growthUtilization = 0.8
)

// window is an AIMD concurrency limit: how many requests of a rank and all
// lower ones this entry may have in progress whatever the servers' estimated
// load. It increases additively and decreases multiplicatively, so that the
// windows of entries that share servers converge; a rank that does not yield
// grows faster while its requests wait.
type window struct {
	limit float64
	// headroom is the number of slots of each server that the rank leaves free;
	// a negative value is the number of requests that may wait at the server.
	headroom int
}

func newWindow() window { return window{limit: initialLimit} }

// headroomOf returns the headroom of the rank at the index: the highest rank
// may have two requests waiting at each server, the next one may have one, and
// the others leave two slots free.
func headroomOf(index int) int {
	switch index {
	case 0:
		return -2
	case 1:
		return -1
	default:
		return 2
	}
}

// yields reports whether the rank leaves slots free for higher ranks.
func (w *window) yields() bool { return w.headroom > 0 }

func (w *window) full(inProgress int) bool { return float64(inProgress) >= w.limit }

// update adjusts the limit by a response and the load report in it.
func (w *window) update(r balancer.Result, inProgress, waiting int) {
	if r.Kind == balancer.Shed {
		w.limit -= shedDecrease * w.limit
	}
	switch {
	case r.Kind != balancer.OK:
	case r.HasReport:
		w.applyReport(r.Report, inProgress, waiting)
	default:
		w.grow(inProgress, waiting)
	}
	w.limit = min(max(w.limit, minLimit), maxLimit)
}

func (w *window) applyReport(r balancer.Report, inProgress, waiting int) {
	excess := r.InFlight + r.Queue - r.Slots + w.headroom
	if excess > 0 {
		w.limit -= w.decrease() * float64(min(excess, maxExcess))
		return
	}
	w.grow(inProgress, waiting)
}

// grow raises the limit if enough of the window is in use.
func (w *window) grow(inProgress, waiting int) {
	if float64(inProgress) >= growthUtilization*w.limit {
		w.limit += w.increase(waiting) / w.limit
	}
}

func (w *window) decrease() float64 {
	if w.yields() {
		return yieldDecrease
	}
	return limitDecrease
}

func (w *window) increase(waiting int) float64 {
	if w.yields() {
		return 1
	}
	return math.Min(float64(1+waiting), maxIncrease)
}

// spareLoad is the estimated load below which a server may get a request of the
// rank although the window is full, so that no slot stays idle.
func (w *window) spareLoad(slots int) float64 { return float64(slots - w.headroom - 1) }
