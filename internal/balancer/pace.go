package balancer

import (
	"math"
	"time"
)

const (
	// paceWindow is the time over which the usual pace of a server is measured. It
	// spans several changes of a noisy neighbour and is short beside a lasting one.
	paceWindow = 1500 * time.Millisecond
	// paceFresh is the age up to which a reported pace counts: noisy neighbours
	// stay for about that long.
	paceFresh = 150 * time.Millisecond
	// mostSlowdown bounds what one report counts, as a factor.
	mostSlowdown = 20
	// kneeShare is the busy share of its slots above which some servers work slower.
	kneeShare = 0.8
	// firstKnee is how much longer work takes that begins there, before it has been
	// measured, and mostKnee bounds what is measured.
	firstKnee = 1.3
	mostKnee  = 2.5
	// kneeWeight is the weight of the newest answer in what is measured.
	kneeWeight = 0.03
	// worthKnee is the factor up to which the slots beyond the knee are used: a
	// server of three gets more done with all of them up to half as much time.
	worthKnee = 1.45
	// spreadWeight is what a request in progress counts where slots are free, in
	// usual works: of servers that are equally quick the emptier one is safer.
	spreadWeight = 0.1
	// evenness is how much estimates may differ that are taken for equal, in usual
	// works, so that entries do not all choose the one that is best by a trifle.
	evenness = 0.1
	// farBase is what another availability zone counts, in usual works, and
	// farBodyBytes how many bytes of a body count one more: traffic between
	// availability zones has a price, up to 0.03 of a request's worth for an answer
	// of 5 KB. It is more than the last slot of a quick server costs and less than a
	// slowed server does. Entries of different zones then seldom choose the same
	// server, of whose sends they would learn late.
	farBase      = 1.6
	farBodyBytes = 80 << 10
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

// rate is the pace that a request meets which begins now.
func (p *pace) rate(age int64) float64 {
	if age > int64(paceFresh) {
		return p.usual.value()
	}
	return p.now.value()
}

// ReportsSlowdown reports whether the servers tell their pace, so that the time of a
// request can be foretold from where it begins.
func (b *Balancer) ReportsSlowdown() bool {
	for _, h := range b.snapshot.Load().hosts {
		if h.pace.known() {
			return true
		}
	}
	return false
}

// PickWithin is Pick among the servers at which a request of that usual work is
// expected to be answered within the time. body is its size in bytes.
func (b *Balancer) PickWithin(now time.Time, exclude []string, work, within time.Duration, body int64) (*Reservation, bool) {
	s := b.snapshot.Load()
	v := b.view(s, now, math.Inf(1))
	v.far = farBase + float64(body)/farBodyBytes
	v.longest = float64(within) / float64(max(work, 1))
	return b.pick(s, &v, exclude)
}

// PickSpare is PickWithin among the places that a request which can still meet the
// target does not want: those of servers that are too slow for it, and idle
// servers. A late request at another place would make one more late.
func (b *Balancer) PickSpare(now time.Time, exclude []string, work, within, target time.Duration, body int64) (*Reservation, bool) {
	s := b.snapshot.Load()
	v := b.view(s, now, math.Inf(1))
	v.far = farBase + float64(body)/farBodyBytes
	v.longest = float64(within) / float64(max(work, 1))
	v.spare = float64(target) / float64(max(work, 1))
	return b.pick(s, &v, exclude)
}

// wanted reports whether the view leaves the place to requests that can still
// meet their target.
func (h *host) wanted(mask uint32, v *view) bool {
	if v.spare == 0 || !h.pace.known() {
		return false
	}
	before := h.inProgress(mask, v)
	return before >= half && h.stretch(0, v) <= v.spare
}

// full reports whether the server takes no request of this entry now: all slots
// are taken, or were so a moment ago and the free one is another entry's. Only a
// server that tells its pace says enough of itself for that.
func (h *host) full(mask uint32, v *view) bool {
	if !h.pace.known() {
		return false
	}
	if h.slotsTaken(mask, v) {
		h.order.lastFull.Store(v.now)
		return true
	}
	return h.order.waits(v.now)
}

// half rounds an estimated number of requests.
const half = 0.5

// slotsTaken reports whether a further request would have to wait at the server.
func (h *host) slotsTaken(mask uint32, v *view) bool {
	slots := h.slots(v)
	if v.knee > worthKnee {
		slots = max(1, math.Floor(kneeShare*slots))
	}
	return h.pace.known() && h.inProgress(mask, v)+half > slots
}

// pastKnee reports whether a request that joins as many begins past the knee.
func pastKnee(before, slots float64) bool { return before+1-half > kneeShare*slots }

// kneeFactor is how much longer work takes that begins past the knee.
func (b *Balancer) kneeFactor() float64 {
	quick, past := b.quick.value(), b.past.value()
	if quick == 0 || past == 0 {
		return firstKnee
	}
	return min(max(past/quick, 1), mostKnee)
}

// learnKnee takes in the time of a request that began at a quick server.
func (b *Balancer) learnKnee(basis Estimate, latency time.Duration) {
	const quickRate = 0.95
	switch {
	case basis.Rate < quickRate:
	case basis.PastKnee:
		b.past.learn(float64(latency), kneeWeight)
	default:
		b.quick.learn(float64(latency), kneeWeight)
	}
}

func (h *host) slots(v *view) float64 {
	if h.vm.Slots > 0 {
		return float64(h.vm.Slots)
	}
	return v.slots
}

// stretch is how long a request takes that joins the others at the server, in
// usual works. The pace and the load where it begins count for all of it.
func (h *host) stretch(before float64, v *view) float64 {
	rate := h.pace.rate(v.now - h.report.received.Load())
	if rate <= 0 {
		rate = 1
	}
	slots := h.slots(v)
	work := h.warmUp(v.now) / rate
	if pastKnee(before, slots) {
		work *= v.knee
	}
	if before <= slots-1 {
		return work
	}
	return work + (before-slots+1)/slots*work
}

// rating is what the choice of a server that tells its pace goes by, in usual
// works beyond one.
func (h *host) rating(before float64, v *view) float64 {
	rating := h.stretch(before, v) - 1 + spreadWeight*before + h.order.cost() + evenness*h.chance(v)
	rating += h.shedRating(v)
	if h.way > 0 {
		rating += v.far
	}
	if h.way > farCost {
		rating += h.way // another region
	}
	return rating
}

// chance is from 0 to 1, another one for each pick and server.
func (h *host) chance(v *view) float64 {
	const mix = 0xbf58476d1ce4e5b9 // an odd number whose bits are spread
	bits := (h.mark ^ v.salt) * mix
	bits ^= bits >> 31
	bits *= mix
	return float64(bits>>11) / (1 << 53)
}

// warmFactor is how much longer work takes at a server that has just started.
const warmFactor = 2

func (h *host) warmUp(now int64) float64 {
	if h.vm.WarmUntil > now/int64(time.Millisecond) {
		return warmFactor
	}
	return 1
}

// tooLong reports whether a request would take longer than the view allows.
func (h *host) tooLong(mask uint32, v *view) bool {
	if math.IsInf(v.longest, 1) || !h.pace.known() || h.stretch(h.inProgress(mask, v)+h.penalty(v), v) <= v.longest {
		return false
	}
	h.order.lastFull.Store(v.now)
	return true
}
