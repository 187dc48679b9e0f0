package balancer

import (
	"math"
	"time"
)

const (
	// speedWindow is the time over which the average speed of a server is measured.
	// It spans several changes by a noisy neighbour, and is short compared to a lasting
	// slowdown.
	speedWindow = 1500 * time.Millisecond
	// maxSpeedAge is the age up to which the last reported speed is used: noisy
	// neighbours stay for about that long.
	maxSpeedAge = 150 * time.Millisecond
	// maxSlowdown bounds the slowdown factor of one report.
	maxSlowdown = 20
	// kneeUtilization is the busy share of a server's slots above which some servers
	// slow down: the knee.
	kneeUtilization = 0.8
	// initialKneeFactor is the factor on the service time of requests that begin past
	// the knee, until it has been measured. maxKneeFactor bounds the measured factor.
	initialKneeFactor = 1.3
	maxKneeFactor     = 2.5
	// kneeWeight is the weight of the newest response in that measurement.
	kneeWeight = 0.03
	// maxUsefulKneeFactor is the factor up to which the slots past the knee are used: a
	// server of three slots has a higher throughput with all of them until requests
	// take half as long again.
	maxUsefulKneeFactor = 1.45
	// spreadCost is the cost of each request in progress at a server with free slots,
	// in nominal service times: of equally fast servers the emptier one is safer.
	spreadCost = 0.1
	// tieBreakRange is the difference up to which scores may be treated as equal, in
	// nominal service times, so that entries do not all choose the server that is better
	// by an insignificant margin.
	tieBreakRange = 0.1
	// crossZoneTimeCost is the cost of a server in another availability zone, in nominal
	// service times, and crossZoneBodyBytes the body size that adds one more. Traffic
	// between availability zones is charged for: up to 0.03 of the value of a request
	// for a response of 5 KB. The cost is higher than that of the last slot of a server
	// at full speed and lower than that of a slowed server. Entries of different zones
	// then rarely choose the same server, which matters as they are notified late of each
	// other's requests.
	crossZoneTimeCost  = 1.6
	crossZoneBodyBytes = 80 << 10
)

// speed holds the speed of a server by its load reports. Speed is the service rate
// relative to the normal one: 1 is full speed, and 0.2 is a server slowed fivefold.
type speed struct {
	current ewma // by the newest report
	average ewma // mean over speedWindow
}

// known reports whether the server has reported its slowdown, and so its speed.
func (s *speed) known() bool { return s.current.value() > 0 }

// update applies a reported slowdown, in percent of the nominal service time. sinceLast
// is the time since the previous report.
func (s *speed) update(slowdown int, sinceLast time.Duration) {
	if slowdown <= 0 {
		return
	}
	reported := 1 / min(float64(slowdown)/100, maxSlowdown)
	previous := s.current.value()
	if previous == 0 {
		previous = 1
	}
	weight := min(float64(sinceLast)/float64(speedWindow), 1)
	if s.average.value() == 0 {
		s.average.update((1+reported)/2, 1)
	} else {
		s.average.update((previous+reported)/2, weight)
	}
	s.current.update(reported, 1)
}

// expected returns the expected speed for a request that begins now. age is the age of
// the last report in nanoseconds.
func (s *speed) expected(age int64) float64 {
	if age > int64(maxSpeedAge) {
		return s.average.value()
	}
	return s.current.value()
}

// ReportsSlowdown reports whether any server has reported its slowdown, so that response
// times can be predicted.
func (b *Balancer) ReportsSlowdown() bool {
	for _, be := range b.snapshot.Load().backends {
		if be.speed.known() {
			return true
		}
	}
	return false
}

// PickWithin is like Pick among the servers at which a request of that nominal service
// time is expected to complete within the given time. body is the size of the request
// body in bytes.
func (b *Balancer) PickWithin(now time.Time, exclude []string, serviceTime, within time.Duration, body int64) (*Reservation, bool) {
	s := b.snapshot.Load()
	p := b.pickParams(s, now, math.Inf(1))
	p.bodyCost = float64(body) / crossZoneBodyBytes
	p.maxStretch = float64(within) / float64(max(serviceTime, 1))
	return b.pick(s, &p, exclude)
}

// PickSpare is like PickWithin among the slots that a request which can still meet the
// target does not need: those of servers that are too slow for it, and those of idle
// servers. A late request in any other slot would make another request late.
func (b *Balancer) PickSpare(now time.Time, exclude []string, serviceTime, within, target time.Duration, body int64) (*Reservation, bool) {
	s := b.snapshot.Load()
	p := b.pickParams(s, now, math.Inf(1))
	p.bodyCost = float64(body) / crossZoneBodyBytes
	p.maxStretch = float64(within) / float64(max(serviceTime, 1))
	p.targetStretch = float64(target) / float64(max(serviceTime, 1))
	return b.pick(s, &p, exclude)
}

// neededForTargets reports whether a pick of spare slots must leave the server to
// requests that can still meet their target.
func (be *backend) neededForTargets(reservationMask uint32, p *pickParams) bool {
	if p.targetStretch == 0 || !be.speed.known() {
		return false
	}
	requests := be.inProgress(reservationMask, p)
	return requests >= half && be.stretch(0, p) <= p.targetStretch
}

// full reports whether this entry must not send to the server now: all slots are
// taken, or they were until recently and an earlier entry in the server's order has
// the first claim on the free one. It needs the reports of a server that reports its
// slowdown.
func (be *backend) full(reservationMask uint32, p *pickParams) bool {
	if !be.speed.known() {
		return false
	}
	if be.slotsTaken(reservationMask, p) {
		be.entryOrder.lastFullAt.Store(p.now)
		return true
	}
	return be.entryOrder.mustWait(p.now)
}

// half is the margin by which an estimated number of requests is rounded.
const half = 0.5

// slotsTaken reports whether a further request would have to wait at the server.
func (be *backend) slotsTaken(reservationMask uint32, p *pickParams) bool {
	slots := be.slots(p)
	if p.kneeFactor > maxUsefulKneeFactor {
		slots = max(1, math.Floor(kneeUtilization*slots))
	}
	return be.speed.known() && be.inProgress(reservationMask, p)+half > slots
}

// pastKnee reports whether a request that joins that many others begins past the knee.
func pastKnee(requests, slots float64) bool { return requests+1-half > kneeUtilization*slots }

// kneeFactor returns the factor on the service time of requests that begin past the knee.
func (b *Balancer) kneeFactor() float64 {
	fullSpeedLatency, pastKneeLatency := b.fullSpeedLatency.value(), b.pastKneeLatency.value()
	if fullSpeedLatency == 0 || pastKneeLatency == 0 {
		return initialKneeFactor
	}
	return min(max(pastKneeLatency/fullSpeedLatency, 1), maxKneeFactor)
}

// updateKnee records the latency of a request that began at a server at full speed.
func (b *Balancer) updateKnee(estimate Estimate, latency time.Duration) {
	const minFullSpeed = 0.95
	switch {
	case estimate.Speed < minFullSpeed:
	case estimate.PastKnee:
		b.pastKneeLatency.update(float64(latency), kneeWeight)
	default:
		b.fullSpeedLatency.update(float64(latency), kneeWeight)
	}
}

// slots returns how many requests the server runs concurrently.
func (be *backend) slots(p *pickParams) float64 {
	if be.vm.Slots > 0 {
		return float64(be.vm.Slots)
	}
	return p.slots
}

// stretch returns the predicted response time of a request that joins the others at
// the server, divided by its nominal service time. The speed and the load at its begin
// are assumed to last until its end.
func (be *backend) stretch(requests float64, p *pickParams) float64 {
	expectedSpeed := be.speed.expected(p.now - be.report.receivedAt.Load())
	if expectedSpeed <= 0 {
		expectedSpeed = 1
	}
	slots := be.slots(p)
	serviceTime := be.warmUp(p.now) / expectedSpeed
	if pastKnee(requests, slots) {
		serviceTime *= p.kneeFactor
	}
	if requests <= slots-1 {
		return serviceTime
	}
	return serviceTime + (requests-slots+1)/slots*serviceTime
}

// score returns the cost of sending a request to a server that reports its slowdown; the
// lowest is the best. The unit is the nominal service time. The score is the predicted
// response time in excess of one nominal service time, plus the costs of requests in
// progress, staggering order, load shedding and network distance, and the tie break.
func (be *backend) score(reservationMask uint32, requests float64, p *pickParams) float64 {
	score := be.stretch(requests, p) - 1 + spreadCost*requests + be.entryOrder.cost() + tieBreakRange*be.tieBreak(p)
	score += be.shedScore(p)
	if p.newConnectionCost > 0 && !be.hasIdleConnection(reservationMask, p.now) {
		score += p.newConnectionCost
	}
	if be.localityCost > 0 && be.zone != p.zone {
		score += be.zone.crossZoneCost(p)
	}
	if be.localityCost > crossZoneLoadCost {
		score += be.localityCost // another region
	}
	return score
}

// tieBreak returns a number from 0 to 1 that differs for each pick and server.
func (be *backend) tieBreak(p *pickParams) float64 {
	const mix = 0xbf58476d1ce4e5b9 // an odd multiplier that mixes the bits
	bits := (be.nameHash ^ p.salt) * mix
	bits ^= bits >> 31
	bits *= mix
	return float64(bits>>11) / (1 << 53)
}

// warmUpFactor is the factor on the service time at a server that has just started.
const warmUpFactor = 2

func (be *backend) warmUp(now int64) float64 {
	if be.vm.WarmUntil > now/int64(time.Millisecond) || be.requestLimit.warmUp.left(now) > 0 {
		return warmUpFactor
	}
	return 1
}

// exceedsMaxStretch reports whether a request would take longer than the pick allows.
func (be *backend) exceedsMaxStretch(reservationMask uint32, p *pickParams) bool {
	if math.IsInf(p.maxStretch, 1) || !be.speed.known() || be.stretch(be.inProgress(reservationMask, p)+be.penalty(p), p) <= p.maxStretch {
		return false
	}
	be.entryOrder.lastFullAt.Store(p.now)
	return true
}
