package admission

import (
	"math"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

const (
	// firstLimit is the limit before anything is known.
	firstLimit = 16
	// leastLimit lets a rank always try.
	leastLimit = 1
	// mostLimit bounds the growth where reports never show a busy server.
	mostLimit = 1 << 12
	// mostRise bounds the growth for waiting requests, per round of answers.
	mostRise = 4
	// mostExcess bounds what one report counts, as one server may be slow.
	mostExcess = 2
	// limitCut is the part of the limit that goes for each request above the
	// target, while the window's requests are answered once.
	limitCut = 0.03
	// yieldCut is limitCut of ranks that yield to more urgent ones.
	yieldCut = 0.4
	// shedCut is the part of the limit that goes with a shed answer.
	shedCut = 0.1
	// usedShare is the part of the limit in use from which it may grow.
	usedShare = 0.8
)

// window is how many requests of a rank and all less urgent ones this entry
// may have in progress whatever the servers' estimated load. It rises by
// addition and falls by multiplication, so that entries that share servers come
// to equal windows; a rank that does not yield rises faster while it waits.
type window struct {
	limit float64
	// headroom is the slots of each server that the rank leaves free; below zero
	// it is how many requests may wait at the server.
	headroom int
}

func newWindow() window { return window{limit: firstLimit} }

// headroomOf gives the most urgent rank two waiting requests a server, the next
// one, and leaves two slots free by the others.
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

// yields reports whether the rank leaves slots free for more urgent ones.
func (w *window) yields() bool { return w.headroom > 0 }

func (w *window) full(inProgress int) bool { return float64(inProgress) >= w.limit }

// learn moves the limit by what an answer shows of its server.
func (w *window) learn(r balancer.Result, inProgress, waiting int) {
	if r.Kind == balancer.Shed {
		w.limit -= shedCut * w.limit
	}
	switch {
	case r.Kind != balancer.OK:
	case r.HasReport:
		w.follow(r.Report, inProgress, waiting)
	default:
		w.grow(inProgress, waiting)
	}
	w.limit = min(max(w.limit, leastLimit), mostLimit)
}

func (w *window) follow(r balancer.Report, inProgress, waiting int) {
	excess := r.InFlight + r.Queue - r.Slots + w.headroom
	if excess > 0 {
		w.limit -= w.cut() * float64(min(excess, mostExcess))
		return
	}
	w.grow(inProgress, waiting)
}

// grow raises the limit of a window in use.
func (w *window) grow(inProgress, waiting int) {
	if float64(inProgress) >= usedShare*w.limit {
		w.limit += w.rise(waiting) / w.limit
	}
}

func (w *window) cut() float64 {
	if w.yields() {
		return yieldCut
	}
	return limitCut
}

func (w *window) rise(waiting int) float64 {
	if w.yields() {
		return 1
	}
	return math.Min(float64(1+waiting), mostRise)
}

// spareLoad is the estimated load below which a server may get a request of
// the rank although its window is full, so that no slot stays idle.
func (w *window) spareLoad(slots int) float64 { return float64(slots - w.headroom - 1) }
