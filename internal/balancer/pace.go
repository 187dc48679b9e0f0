package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// paceWindow is the time over which the usual pace of a server is measured. It
	// spans several changes of a noisy neighbour and is short beside a lasting one.
	paceWindow = 1500 * time.Millisecond
	// paceHold is how long a pace goes on in the mean once it has been reported:
	// half of the 150 ms for which noisy neighbours stay.
	paceHold = 75 * time.Millisecond
	// mostSlowdown bounds what one report counts, as a factor.
	mostSlowdown = 20
	// kneeShare is the busy share of its slots above which a server works slower.
	kneeShare = 0.8
	// kneeFactor is how much longer work takes there.
	kneeFactor = 1.7
	// spreadWeight is what a request in progress counts where slots are free, in
	// requests: of servers that are equally quick the emptier one is safer.
	spreadWeight = 0.1
	// evenness is how much estimates may differ that are taken for equal, in usual
	// works. Entries that all know the same would otherwise all send to the one
	// server that is best by a trifle.
	evenness = 0.1
)

// pace is how quickly a server works: now, and usually. Rates are works done in
// the usual time of one work, so 1 is a quick server and 0.2 one that is slowed
// fivefold.
type pace struct {
	now   mean // rate by the newest report
	usual mean // mean rate over paceWindow
}

func (p *pace) known() bool { return p.now.value() > 0 }

// update takes in a reported slowdown; age is the time since the report before.
func (p *pace) update(slowdown int, age time.Duration) {
	if slowdown <= 0 {
		return
	}
	rate := 1 / min(float64(slowdown)/100, mostSlowdown)
	last := p.now.value()
	if last == 0 {
		last = 1
	}
	weight := min(float64(age)/float64(paceWindow), 1)
	if p.usual.value() == 0 {
		p.usual.learn((1+rate)/2, 1)
	} else {
		p.usual.learn((last+rate)/2, weight)
	}
	p.now.learn(rate, 1)
}

// rates returns the rate now and the usual one. A report that has aged past
// paceHold says nothing about now.
func (p *pace) rates(age int64) (now, usual float64) {
	usual = p.usual.value()
	if age > int64(2*paceHold) {
		return usual, usual
	}
	return p.now.value(), usual
}

// atKnee reports whether one more request would bring the server past its knee,
// beyond which it gets less done in the same time. Only a server that tells its
// pace says enough of itself for that; the first request always fits.
func (h *host) atKnee(mask uint32, v *view) bool {
	if !h.pace.known() {
		return false
	}
	before := h.inProgress(mask, v)
	return before >= 0.5 && before+0.5 > kneeShare*h.slots(v)
}

// full reports whether the server takes no request of this entry now: it is at
// its knee, or was so a moment ago and the place is another entry's.
func (h *host) full(mask uint32, v *view) bool {
	if h.atKnee(mask, v) {
		h.order.lastFull.Store(v.now)
		return true
	}
	return h.order.waits(v.now)
}

func (h *host) slots(v *view) float64 {
	if h.vm.Slots > 0 {
		return float64(h.vm.Slots)
	}
	return v.slots
}

// expected estimates how long a request takes that joins others at the server,
// in usual works beyond the one that it takes anyway. The pace reported last
// holds for paceHold; what is left of the work then goes on at the usual pace.
func (h *host) expected(before float64, v *view) float64 {
	now, usual := h.pace.rates(v.now - h.report.received.Load())
	slots := h.slots(v)
	work := h.warmUp(v.now)
	if before+1 > kneeShare*slots {
		work *= kneeFactor
	}
	wait := 0.0
	if before > slots-1 {
		wait = (before - slots + 1) / slots * work / usual
	}
	return wait + duration(work, now, usual, v.hold) - 1 + spreadWeight*before + h.order.cost() + evenness*rand.Float64()
}

// duration is the time that work takes at the rate now for the time of hold and
// at the usual rate after it.
func duration(work, now, usual, hold float64) float64 {
	if now <= 0 || usual <= 0 {
		return work
	}
	if done := hold * now; work > done {
		return hold + (work-done)/usual
	}
	return work / now
}

// warmFactor is how much longer work takes at a server that has just started.
const warmFactor = 2

func (h *host) warmUp(now int64) float64 {
	if h.vm.WarmUntil > now/int64(time.Millisecond) {
		return warmFactor
	}
	return 1
}

// holdOf is paceHold in usual works.
func holdOf(latency float64) float64 {
	if latency <= 0 {
		return 1
	}
	return float64(paceHold) / latency
}
