package balancer

import (
	"maps"
	"math"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// defaultSlots is the number of slots per server if the service does not set it.
const defaultSlots = 3

// pickParams holds the parameters by which one pick scores all servers.
type pickParams struct {
	now               int64      // nanoseconds since the Unix epoch
	overdueAfter      int64      // nanoseconds after which a request in progress counts as overdue
	meanPeerRequests  float64    // requests of other entries at a server without a fresh report
	maxLoad           float64    // estimated load from which a server gets no further request
	inverseLatency    float64    // 1 / mean latency in nanoseconds; zero if unknown
	slots             float64    // requests that a server runs concurrently
	confidence        float64    // confidence in load reports, 0 to 1
	salt              uint64     // differs for each pick
	shedShare         float64    // share of requests that the servers of the service shed
	kneeFactor        float64    // factor on the service time of requests that begin past the knee
	bodyCost          float64    // cost of the body of a request that goes to another zone, in nominal service times
	zone              *zoneState // the zone that the request goes to by its share; nil for the own one
	targetStretch     float64    // PickSpare: greatest stretch that meets the target; otherwise zero
	maxStretch        float64    // greatest stretch allowed for the request
	again             bool       // the request was sent before
	limits            *limitOrder
	newConnectionCost float64 // cost of opening a connection, in nominal service times
	preferred         int     // servers that this entry prefers in a large service
	warmUpPerSecond   float64 // limit of a server that warms up, zero if there is none
	settled           bool    // see Options.SettledAt
}

// snapshot is an immutable set of servers with the service's limits.
type snapshot struct {
	backends []*backend
	// evacuated are the servers that get no requests as their availability zone is evacuated.
	// They are kept, as they come back.
	evacuated []*backend
	byName    map[string]*backend // of both
	// near are the nearest servers of a large service, in the order in which this entry prefers
	// them, and preferred the most that it prefers; empty in a small one.
	near         []*backend
	preferred    []*backend
	otherZones   []*zoneRing // of the region
	zones        map[string]*zoneState
	zoneRank     ZoneRank
	slots        int
	warmUp       warmUpSettings
	maxPerServer int // maximum requests of this entry in progress at one server
}

// reservationLimit returns how many requests this entry may have in progress at one
// server: the server's slots, or this entry's share of its connections if that is less.
func reservationLimit(slots, connections, entries int) int {
	if connections > 0 {
		slots = min(slots, connections/max(entries, 1))
	}
	return min(max(slots, 1), maxReservations)
}

// next returns a snapshot of the given servers and the backends that it no longer has. The
// backends of known servers are kept, and other servers have their state from incarnations.
func (s *snapshot) next(servers []fleet.VM, svc *tree.Service, zone string, incarnations *Incarnations, now int64) (n *snapshot, gone []*backend) {
	left := maps.Clone(s.byName)
	joinedAt := now
	if len(s.byName) == 0 {
		joinedAt = 0
	}
	n = &snapshot{slots: defaultSlots, zoneRank: s.zoneRank, zones: maps.Clone(s.zones), byName: make(map[string]*backend, len(servers))}
	if n.zones == nil {
		n.zones = make(map[string]*zoneState)
	}
	if svc.SlotsPerServer > 0 {
		n.slots = svc.SlotsPerServer
	}
	for _, vm := range servers {
		if vm.State == fleet.Leaving {
			continue
		}
		be := s.byName[vm.Name]
		cost := localityCost(zone, vm.Zone, svc.Regions, n.slots)
		if be == nil || !sameServer(be.vm, vm) || be.localityCost != cost {
			be = newBackend(vm, cost, incarnations.list(vm, joinedAt))
			be.zone = n.zone(vm.Zone)
		} else {
			delete(left, vm.Name)
		}
		n.byName[vm.Name] = be
		if vm.State == fleet.Evacuated {
			n.evacuated = append(n.evacuated, be)
		} else {
			n.backends = append(n.backends, be)
		}
	}
	n.orderNear()
	return n, slices.Collect(maps.Values(left))
}

// zone returns the state of the availability zone.
func (s *snapshot) zone(name string) *zoneState {
	z := s.zones[name]
	if z == nil {
		z = &zoneState{name: name}
		z.timeCost.Store(math.Float64bits(crossZoneTimeCost))
		s.zones[name] = z
	}
	return z
}

// backend returns the backend with that name, or nil.
func (s *snapshot) backend(name string) *backend { return s.byName[name] }

// goldenRatio64 is 2^64 divided by the golden ratio (Fibonacci hashing): its multiples
// spread evenly over the range of a uint64.
const goldenRatio64 = 0x9e3779b97f4a7c15

// scanStart returns the index at which a pick starts to scan. It is spread evenly over
// successive picks.
func (s *snapshot) scanStart(pickNumber uint64) int {
	if len(s.backends) == 0 {
		return 0
	}
	return int(pickNumber * goldenRatio64 >> 33 % uint64(len(s.backends)))
}

// maxFirstScan is how many backends a pick scans at first, so that its cost stays bounded
// in services of any size.
const maxFirstScan = 32

// best returns the backend with the lowest estimated load that has a free slot, and the
// reservation mask that it was scored with, or nil. A preferred backend with a low load
// comes before all others. Of backends with equal load it is the
// first one from the given index on. If the backends of the first scan have no free slot, it
// scans all.
func (s *snapshot) best(from int, p *pickParams, exclude []string) (*backend, uint32) {
	if be, reservationMask := s.bestNear(from, p, exclude); be != nil {
		return be, reservationMask
	}
	if len(s.otherZones) > 0 && len(s.near) > 0 && s.zoneRank.Entries > 0 {
		if be, reservationMask := s.bestOfPreferred(from, p, exclude); be != nil {
			return be, reservationMask
		}
	} else if len(s.backends) > maxFirstScan {
		// The near ones were scanned already.
		if be, reservationMask := s.bestOf(from, maxFirstScan-min(preferredServers, len(s.near)), p, exclude); be != nil {
			return be, reservationMask
		}
	}
	return s.bestOf(from, len(s.backends), p, exclude)
}

// bestOf scans count backends. It leaves out suspended ones unless there are too many of
// them.
func (s *snapshot) bestOf(from, count int, p *pickParams, exclude []string) (*backend, uint32) {
	be, reservationMask, suspended := scan(s.backends, from, count, s.maxPerServer, p, exclude, false)
	if tooManySuspended(suspended, count) {
		be, reservationMask, _ = scan(s.backends, from, count, s.maxPerServer, p, exclude, true)
	}
	return be, reservationMask
}

func tooManySuspended(suspended, count int) bool {
	return float64(suspended) > maxEjectedShare*float64(count)
}

// scan returns the best of count backends and how many of them are suspended.
func scan(backends []*backend, from, count, maxPerServer int, p *pickParams, exclude []string, includeSuspended bool) (best *backend, bestReservationMask uint32, suspended int) {
	lowestLoad := p.maxLoad
	for i := range count {
		n := from + i
		if n >= len(backends) {
			n -= len(backends)
		}
		be := backends[n]
		reservationMask := be.reserved.Load()
		if be.suspended(reservationMask, p.now) {
			suspended++
			if !includeSuspended {
				continue
			}
		}
		if !be.accepts(reservationMask, maxPerServer, p.now) || excluded(exclude, be.vm.Name) || be.requestLimit.blocks(p) || be.full(reservationMask, p) || be.exceedsMaxStretch(reservationMask, p) || be.neededForTargets(reservationMask, p) {
			continue
		}
		if load := be.load(reservationMask, p); load < lowestLoad {
			best, bestReservationMask, lowestLoad = be, reservationMask, load
		}
	}
	return best, bestReservationMask, suspended
}

// suspended counts the backends that are suspended at that time.
func (s *snapshot) suspended(now int64) int {
	n := 0
	for _, be := range s.backends {
		if be.suspended(be.reserved.Load(), now) {
			n++
		}
	}
	return n
}

// sameServer reports whether both are the same server process, so that its state is
// still valid.
func sameServer(a, b fleet.VM) bool {
	return a.Address == b.Address && a.Incarnation == b.Incarnation
}
