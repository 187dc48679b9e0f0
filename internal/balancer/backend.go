package balancer

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// maxReservations bounds the requests that one entry has in progress at one backend
// server. It is at most the width of the bit mask backend.reserved.
const maxReservations = 16

// Reservation is a slot reserved for one request at a backend server. It is valid
// from Pick to Done.
type Reservation struct {
	// VM is the backend server's VM.
	VM fleet.VM

	backend   *backend
	index     int
	estimate  Estimate
	startedAt atomic.Int64 // nanoseconds since the Unix epoch
	endedAt   atomic.Int64 // when the previous request in this slot ended, in the same unit
}

// backend is this entry's state for one backend server. Picks read it without a
// lock; the fields that they read of every backend come first, so that they share a
// cache line.
type backend struct {
	reserved     atomic.Uint32 // one bit for each reserved slot
	report       reportState
	localityCost float64 // cost of the network distance, in requests
	meanLatency  ewma    // latency of responses, in nanoseconds
	health       *health // of incarnation
	speed        speed
	shedShare    ewma // share of requests that the server shed
	entryOrder   entryOrder
	requestLimit *requestLimit // of incarnation
	notices      *notices      // of incarnation
	incarnation  *incarnation
	zone         *zoneState
	nameHash     uint64        // hash of vm.Name
	probedAt     atomic.Int64  // nanoseconds since the Unix epoch
	sent         atomic.Uint64 // requests sent by this entry
	vm           fleet.VM
	reservations [maxReservations]Reservation
}

func newBackend(vm fleet.VM, cost float64, i *incarnation) *backend {
	be := &backend{
		vm: vm, localityCost: cost, nameHash: xxhash.Sum64String(vm.Name),
		incarnation: i, health: &i.health, requestLimit: &i.requestLimit, notices: &i.notices,
	}
	for i := range be.reservations {
		be.reservations[i].VM = vm
		be.reservations[i].backend = be
		be.reservations[i].index = i
	}
	return be
}

// inFlight returns the number of this entry's reservations.
func (be *backend) inFlight() int { return bits.OnesCount32(be.reserved.Load()) }

// reserve reserves a free slot, unless the reservations have changed since they were
// read as seenMask.
func (be *backend) reserve(seenMask uint32, now int64) (*Reservation, bool) {
	index := bits.TrailingZeros32(^seenMask)
	if index >= maxReservations {
		return nil, false
	}
	if !be.reserved.CompareAndSwap(seenMask, seenMask|1<<index) {
		return nil, false
	}
	r := &be.reservations[index]
	r.startedAt.Store(now)
	return r, true
}

// release frees the slot and returns how many reservations remain.
func (be *backend) release(r *Reservation) int {
	bit := uint32(1) << r.index
	return bits.OnesCount32(be.reserved.And(^bit) &^ bit)
}

// accepts reports whether the server may get another request of this entry: it is
// below the limit of reservations, not draining, and wants requests.
func (be *backend) accepts(reservationMask uint32, limit int, now int64) bool {
	return bits.OnesCount32(reservationMask) < limit && !be.report.draining.Load() && !be.notices.blocks(now)
}

// suspended reports whether the server is ejected, or half-open after an ejection
// with its first request still in progress.
func (be *backend) suspended(reservationMask uint32, now int64) bool {
	return be.health.ejectedUntil.Load() > now || be.health.halfOpen.Load() && reservationMask != 0
}

// load estimates the requests at the server: this entry's, those of other entries,
// and penalties. Requests at a slow server count more. For a server that reports its
// slowdown it returns the score, in nominal service times.
func (be *backend) load(reservationMask uint32, p *pickParams) float64 {
	estimate := be.inProgress(reservationMask, p)
	estimate += be.overdueRequests(reservationMask, p)
	if be.speed.known() {
		return be.score(reservationMask, estimate+be.penalty(p), p)
	}
	estimate += be.extraLoad(p)
	slowness := be.meanLatency.value() * p.inverseLatency
	if slowness < slowThreshold {
		return estimate
	}
	return (estimate+newRequestLoad)*min(slowness, maxSlowness) - newRequestLoad
}

// inProgress estimates the requests at the server, including those of other entries.
func (be *backend) inProgress(reservationMask uint32, p *pickParams) float64 {
	return float64(bits.OnesCount32(reservationMask)) + be.report.peerRequestsAt(p)
}

const (
	// slowThreshold is the ratio of a server's mean latency to the service's from which
	// the server counts as slow.
	slowThreshold = 1.3
	// maxSlowness bounds that ratio.
	maxSlowness = 3
	// newRequestLoad is what the new request itself counts at a slow server, in requests.
	newRequestLoad = 0.5
)

// updateLatency records the latency of a response. The average starts from the mean of
// the service: if it started from a single slow response, the server would get no
// requests that could correct it for a long time.
func (be *backend) updateLatency(latency time.Duration, serviceMean float64) {
	if be.meanLatency.value() == 0 {
		be.meanLatency.update(serviceMean, 1)
	}
	be.meanLatency.update(float64(latency), meanWeight)
}

// overdueRequests counts this entry's requests that have been in progress for longer
// than p.overdueAfter.
func (be *backend) overdueRequests(reservationMask uint32, p *pickParams) float64 {
	count := 0.0
	for rest := reservationMask; rest != 0; rest &= rest - 1 {
		if p.now-be.reservations[bits.TrailingZeros32(rest)].startedAt.Load() > p.overdueAfter {
			count++
		}
	}
	return count
}

// slowStart is how long a server that joins gets fewer requests.
const slowStart = 5 * time.Second

// crossZoneLoadCost is the cost of a server in another availability zone, in requests:
// requests go there as soon as this entry's zone is busier by that much.
const crossZoneLoadCost = 0.2

// localityCost returns the cost of the network distance to a server, in requests.
// Another region costs as much as a full server: requests go there only if this
// entry's region has no free slot.
func localityCost(ownZone, zone string, regions tree.Regions, slots int) float64 {
	switch {
	case ownZone == zone:
		return 0
	case regions.SameRegion(ownZone, zone):
		return crossZoneLoadCost
	default:
		return float64(slots)
	}
}

// extraLoad returns the locality cost and the penalty, in requests.
func (be *backend) extraLoad(p *pickParams) float64 {
	return be.localityCost + be.penalty(p)
}

// penalty returns up to a full server's requests for a recent failure or start.
func (be *backend) penalty(p *pickParams) float64 {
	if p.now >= be.health.penalizedUntil.Load() {
		return 0
	}
	if p.now < be.health.failedUntil.Load() {
		return p.slots
	}
	age := min(p.now-be.incarnation.joinedAt, int64(slowStart))
	return p.slots * (1 - float64(age)/float64(slowStart))
}
