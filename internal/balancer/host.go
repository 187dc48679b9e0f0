package balancer

import (
	"math/bits"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// maxPlaces is the most requests that one entry has in progress at one backend server.
const maxPlaces = 16

// Reservation is a backend server with one place reserved for a request. It is
// valid from Pick to Done.
type Reservation struct {
	// VM is the backend server.
	VM fleet.VM

	host    *host
	index   int
	basis   Estimate
	started atomic.Int64 // nanoseconds since the Unix epoch
}

// host is what this entry knows about one backend server. Picks read it
// without a lock; the fields that they read of every host come first, so that
// they share a cache line.
type host struct {
	busy    atomic.Uint32 // one bit for each reserved place
	report  reportState
	way     float64 // what the way to it counts, in requests
	latency mean    // nanoseconds of an answer
	health  health
	pace    pace
	shed    mean // share of refused requests
	order   turn
	mark    uint64       // stands for the name
	joined  int64        // nanoseconds since the Unix epoch; zero where it was there before this entry
	probed  atomic.Int64 // nanoseconds since the Unix epoch
	vm      fleet.VM
	places  [maxPlaces]Reservation
}

func newHost(vm fleet.VM, joined int64, way float64) *host {
	h := &host{vm: vm, joined: joined, way: way, mark: xxhash.Sum64String(vm.Name)}
	h.health.penalizedUntil.Store(joined + int64(slowStart))
	for i := range h.places {
		h.places[i].VM = vm
		h.places[i].host = h
		h.places[i].index = i
	}
	return h
}

// inFlight is the number of reserved places.
func (h *host) inFlight() int { return bits.OnesCount32(h.busy.Load()) }

// reserve takes a free place if the busy mask still is the one that was judged.
func (h *host) reserve(seen uint32, now int64) (*Reservation, bool) {
	index := bits.TrailingZeros32(^seen)
	if index >= maxPlaces {
		return nil, false
	}
	if !h.busy.CompareAndSwap(seen, seen|1<<index) {
		return nil, false
	}
	s := &h.places[index]
	s.started.Store(now)
	return s, true
}

// release frees the place and returns how many stay reserved.
func (h *host) release(s *Reservation) int {
	bit := uint32(1) << s.index
	return bits.OnesCount32(h.busy.And(^bit) &^ bit)
}

// takes reports whether the server may get another request.
func (h *host) takes(mask uint32, limit int) bool {
	return bits.OnesCount32(mask) < limit && !h.report.draining.Load()
}

// suspended reports whether the server is ejected, or back from it with its
// first request still in progress.
func (h *host) suspended(mask uint32, now int64) bool {
	return h.health.ejectedUntil.Load() > now || h.health.trial.Load() && mask != 0
}

// load estimates the requests at the server: own ones, those of other entries,
// and handicaps for what speaks against it. Those of a slow server count more.
func (h *host) load(mask uint32, v *view) float64 {
	estimate := h.inProgress(mask, v)
	estimate += h.overdue(mask, v)
	if h.pace.known() {
		return h.rating(estimate+h.penalty(v), v)
	}
	estimate += h.handicap(v)
	slowness := h.latency.value() * v.inverseLatency
	if slowness < slowFrom {
		return estimate
	}
	return (estimate+ownWeight)*min(slowness, slowMost) - ownWeight
}

// inProgress estimates the requests at the server, those of other entries included.
func (h *host) inProgress(mask uint32, v *view) float64 {
	return float64(bits.OnesCount32(mask)) + h.report.othersAt(v)
}

const (
	// slowFrom is how much longer than usual the answers of a server take from
	// which it counts as slow, as a factor.
	slowFrom = 1.3
	// slowMost bounds the factor.
	slowMost = 3
	// ownWeight is what the request to place counts at a slow server, in requests.
	ownWeight = 0.5
)

// learnLatency takes in an answer time. It starts from the usual one, as a single
// long answer would keep work away and so be the last one for long.
func (h *host) learnLatency(sample time.Duration, usual float64) {
	if h.latency.value() == 0 {
		h.latency.learn(usual, 1)
	}
	h.latency.learn(float64(sample), meanWeight)
}

// overdue counts the own requests that have been out for long.
func (h *host) overdue(mask uint32, v *view) float64 {
	count := 0.0
	for rest := mask; rest != 0; rest &= rest - 1 {
		if v.now-h.places[bits.TrailingZeros32(rest)].started.Load() > v.overdue {
			count++
		}
	}
	return count
}

// slowStart is how long a server that joins is spared.
const slowStart = 5 * time.Second

// farCost is what another availability zone counts, in requests: work spills
// there as soon as the own zone is busier by as much.
const farCost = 0.2

// wayCost is what the way to a server counts, in requests. Another region counts
// as a full server: work goes there only where the own one has no room.
func wayCost(own, other string, regions tree.Regions, slots int) float64 {
	switch {
	case own == other:
		return 0
	case regions.SameRegion(own, other):
		return farCost
	default:
		return float64(slots)
	}
}

// handicap is up to a full server for a failure or a start a short while ago,
// and what the way counts.
func (h *host) handicap(v *view) float64 {
	return h.way + h.penalty(v)
}

func (h *host) penalty(v *view) float64 {
	if v.now >= h.health.penalizedUntil.Load() {
		return 0
	}
	if v.now < h.health.failedUntil.Load() {
		return v.slots
	}
	age := min(v.now-h.joined, int64(slowStart))
	return v.slots * (1 - float64(age)/float64(slowStart))
}
