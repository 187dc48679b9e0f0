package balancer

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"
)

// In a large service an entry tries few servers first, so that its connections to them are
// used again before they are closed. The servers of its availability zone form a ring, which
// all entries of the zone know. Each entry prefers the next servers from a start that its rank
// among these entries determines, so the numbers of entries that prefer a server differ by one
// at most if all prefer as many.

const (
	// preferredServers is the largest number of servers that an entry prefers in a large service.
	preferredServers = 12
	// minPreferredServers is the least number: with fewer, other servers are needed each time
	// that a preferred one is slowed and another one busy.
	minPreferredServers = 3
	// reuseInterval is the mean time in which an entry uses each preferred server again. At a
	// third of the time for which servers keep idle connections, few uses come later than that.
	reuseInterval = 2 * time.Second
	// maxNearScan bounds the near servers that a pick scans before others.
	maxNearScan = 20
	// maxPreferredScore is the score up to which a preferred server is taken without a
	// look at others: below that of a server that is slowed or past its knee.
	maxPreferredScore = 0.6
	// rateWindow is the time over which an entry counts its requests to a service, and rateWeight
	// the weight of the newest window in their mean rate.
	rateWindow = time.Second
	rateWeight = 0.25
)

// ZoneRank is the place of an entry among the ready entries of its availability zone.
type ZoneRank struct {
	// Rank is 0 for the first, Entries the number of entries; zero if unknown.
	Rank, Entries int
}

// SetZoneRank sets this entry's place, which decides which servers it prefers.
func (b *Balancer) SetZoneRank(rank ZoneRank) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *b.snapshot.Load()
	next.zoneRank = rank
	next.orderNear()
	b.snapshot.Store(&next)
}

// orderNear sets the order of the near servers.
func (s *snapshot) orderNear() {
	s.otherZones = otherZones(s.backends, s.zoneRank)
	s.near = nearBackends(s.backends, s.zoneRank)
	s.preferred = s.near[:min(preferredServers, len(s.near))]
}

// nearBackends returns the backends at the least distance in the order in which this entry
// prefers them, at least preferredServers if there are as many. It returns none in a small
// service.
func nearBackends(backends []*backend, rank ZoneRank) []*backend {
	if len(backends) <= maxFirstScan {
		return nil
	}
	nearest := math.Inf(1)
	for _, be := range backends {
		nearest = min(nearest, be.localityCost)
	}
	var ring, rest []*backend
	for _, be := range backends {
		if be.localityCost == nearest {
			ring = append(ring, be)
		} else {
			rest = append(rest, be)
		}
	}
	ring = ringFrom(ring, rank)
	if rank.Entries > 0 {
		return ring
	}
	if missing := preferredServers - len(ring); missing > 0 {
		slices.SortFunc(rest, byEntryOrder)
		ring = append(ring, rest[:min(missing, len(rest))]...)
	}
	return ring
}

// ringFrom returns the backends of a zone in the order of the ring from the entry's start, or by
// the entry's position in their orders if its rank is unknown.
func ringFrom(backends []*backend, rank ZoneRank) []*backend {
	if rank.Entries == 0 {
		slices.SortFunc(backends, byEntryOrder)
		return backends
	}
	slices.SortFunc(backends, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.nameHash, b.nameHash), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	start := rank.Rank % rank.Entries * len(backends) / rank.Entries
	return slices.Concat(backends[start:], backends[:start])
}

// byEntryOrder compares by distance, then by this entry's position.
func byEntryOrder(a, b *backend) int {
	return cmp.Or(
		cmp.Compare(a.localityCost, b.localityCost),
		cmp.Compare(a.entryOrder.position.Load(), b.entryOrder.position.Load()),
		cmp.Compare(a.nameHash, b.nameHash),
	)
}

// requestRate measures how many requests a second the entry sends to the service.
type requestRate struct {
	windowStart atomic.Int64 // nanoseconds since the Unix epoch
	count       atomic.Int64 // requests in the window
	mean        ewma         // requests per second
}

// add counts a request.
func (r *requestRate) add(now int64) {
	start := r.windowStart.Load()
	elapsed := now - start
	if elapsed >= int64(rateWindow) && r.windowStart.CompareAndSwap(start, now) {
		count := float64(r.count.Swap(0))
		windows := float64(elapsed) / float64(rateWindow)
		if start != 0 {
			r.mean.update(count/windows, 1-math.Pow(1-rateWeight, windows))
		}
	}
	r.count.Add(1)
}

// preferredCount returns how many servers the entry prefers at its rate of requests.
func (r *requestRate) preferredCount() int {
	wanted := int(math.Ceil(r.mean.value() * reuseInterval.Seconds()))
	return min(max(wanted, minPreferredServers), preferredServers)
}

// bestNear returns the best of the preferred servers, and if none of them has a low score, of as
// many again and so on, up to maxNearScan: the next ones in the order are those whose
// connections were used when the same happened before.
func (s *snapshot) bestNear(from int, p *pickParams, exclude []string) (*backend, uint32) {
	return bestOfRing(s.near, s.maxPerServer, from, p, exclude)
}

func bestOfRing(ring []*backend, maxPerServer, from int, p *pickParams, exclude []string) (*backend, uint32) {
	limited := *p
	limited.maxLoad = min(p.maxLoad, maxPreferredScore)
	ring = ring[:min(maxNearScan, len(ring))]
	for count := min(max(p.preferred, 1), len(ring)); len(ring) > 0; count = min(2*count, len(ring)) {
		if be, reservationMask, _ := scan(ring[:count], from%count, count, maxPerServer, &limited, exclude, false); be != nil {
			return be, reservationMask
		}
		ring = ring[count:]
	}
	return nil, 0
}

const (
	// openConnectionCost is the cost of a request for which a connection must be opened, in
	// nominal service times: that of a further request in progress at the server.
	openConnectionCost = 0.1
	// idleConnectionAge is the age up to which an idle connection is taken to be open.
	idleConnectionAge = 8 * time.Second
)

// newConnectionCost returns the cost of a new connection in a pick. A small service has none,
// as its connections are used again whatever the choice.
func newConnectionCost(s *snapshot) float64 {
	if len(s.near) == 0 {
		return 0
	}
	return openConnectionCost
}

// hasIdleConnection reports whether a further request probably finds an idle connection. A
// request takes the first free slot, so the slots that ended lately are as many as the
// connections that were used lately.
func (be *backend) hasIdleConnection(reservationMask uint32, now int64) bool {
	index := bits.TrailingZeros32(^reservationMask)
	return index < maxReservations && now-be.reservations[index].endedAt.Load() < int64(idleConnectionAge)
}

// bestOfPreferred returns the best of the first servers on the rings of all zones of the region,
// whatever its score, so that a request that finds no room in its own zone uses the connections
// of those before.
func (s *snapshot) bestOfPreferred(from int, p *pickParams, exclude []string) (best *backend, bestMask uint32) {
	limited := *p
	ring := s.near[:min(maxNearScan, len(s.near))]
	for i := -1; i < len(s.otherZones); i++ {
		if i >= 0 {
			ring = s.otherZones[i].ring
			ring = ring[:min(p.preferred, len(ring))]
		}
		if be, reservationMask, _ := scan(ring, from%len(ring), len(ring), s.maxPerServer, &limited, exclude, false); be != nil {
			best, bestMask = be, reservationMask
			limited.maxLoad = be.load(reservationMask, p)
		}
	}
	return best, bestMask
}
