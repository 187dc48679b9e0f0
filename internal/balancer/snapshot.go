package balancer

import (
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// defaultSlots is assumed where the service names no slots per server.
const defaultSlots = 3

// view is what one pick judges all servers by.
type view struct {
	now            int64   // nanoseconds since the Unix epoch
	overdue        int64   // nanoseconds after which a request shows a slow server
	usual          float64 // requests of other entries at a server without a fresh report
	limit          float64 // estimated load at which a server takes nothing more
	inverseLatency float64 // answers in a nanosecond, the usual latency turned over; zero when unknown
	slots          float64 // requests that a server runs at a time
	trust          float64 // how far reports are believed, from 0 to 1
	salt           uint64  // another one for each pick
	shed           float64 // share of refused requests of all servers
	knee           float64 // how much longer work takes that begins past a knee
	far            float64 // what another availability zone counts, in usual works
	spare          float64 // longest stretch of a request that meets its target, zero where that does not matter
	longest        float64 // longest stretch of a request, in usual works
}

// snapshot is an immutable set of servers with the service's limits.
type snapshot struct {
	hosts  []*host
	slots  int
	places int // requests that this entry may have in progress at one server
}

// placesOf is a server's slots, or this entry's part of its connections where
// that is less.
func placesOf(slots, connections, entries int) int {
	if connections > 0 {
		slots = min(slots, connections/max(entries, 1))
	}
	return min(max(slots, 1), maxPlaces)
}

// next returns the snapshot of the given servers; known hosts are carried over.
func (s *snapshot) next(servers []fleet.VM, svc *tree.Service, zone string, now int64) *snapshot {
	known := make(map[string]*host, len(s.hosts))
	for _, h := range s.hosts {
		known[h.vm.Name] = h
	}
	joined := now
	if len(s.hosts) == 0 {
		joined = 0
	}
	n := &snapshot{slots: defaultSlots}
	if svc.SlotsPerServer > 0 {
		n.slots = svc.SlotsPerServer
	}
	for _, vm := range servers {
		if vm.State == fleet.Leaving {
			continue
		}
		h := known[vm.Name]
		way := wayCost(zone, vm.Zone, svc.Regions, n.slots)
		if h == nil || !sameServer(h.vm, vm) || h.way != way {
			h = newHost(vm, joined, way)
		}
		n.hosts = append(n.hosts, h)
	}
	return n
}

// host returns the host of that name, or nil.
func (s *snapshot) host(name string) *host {
	for _, h := range s.hosts {
		if h.vm.Name == name {
			return h
		}
	}
	return nil
}

// scatter is 2^64 divided by the golden ratio: multiples of it fill the range of a
// uint64 evenly.
const scatter = 0x9e3779b97f4a7c15

// first is the index at which a pick starts to judge, scattered by the turn.
func (s *snapshot) first(turn uint64) int {
	if len(s.hosts) == 0 {
		return 0
	}
	return int(turn * scatter >> 33 % uint64(len(s.hosts)))
}

// maxScan is the most hosts that a pick judges at first, so that its cost stays
// bounded for a service of any size.
const maxScan = 32

// best returns the host with the least estimated load and a free place, with
// the busy mask that was judged, or nil. Of equal hosts it is the next one from
// first on. Where the first hosts have nothing free it goes on to all.
func (s *snapshot) best(first int, v *view, exclude []string) (*host, uint32) {
	if len(s.hosts) > maxScan {
		if h, mask := s.bestOf(first, maxScan, v, exclude); h != nil {
			return h, mask
		}
	}
	return s.bestOf(first, len(s.hosts), v, exclude)
}

// bestOf judges a number of hosts. Suspended ones are left out unless there
// are too many of them.
func (s *snapshot) bestOf(first, count int, v *view, exclude []string) (*host, uint32) {
	h, mask, suspended := s.scan(first, count, v, exclude, false)
	if tooMany(suspended, count) {
		h, mask, _ = s.scan(first, count, v, exclude, true)
	}
	return h, mask
}

func tooMany(suspended, count int) bool {
	return float64(suspended) > maxEjectedShare*float64(count)
}

func (s *snapshot) scan(first, count int, v *view, exclude []string, all bool) (best *host, bestMask uint32, suspended int) {
	least := v.limit
	for i := range count {
		n := first + i
		if n >= len(s.hosts) {
			n -= len(s.hosts)
		}
		h := s.hosts[n]
		mask := h.busy.Load()
		if h.suspended(mask, v.now) {
			suspended++
			if !all {
				continue
			}
		}
		if !h.takes(mask, s.places) || excluded(exclude, h.vm.Name) || h.full(mask, v) || h.tooLong(mask, v) || h.wanted(mask, v) {
			continue
		}
		if load := h.load(mask, v); load < least {
			best, bestMask, least = h, mask, load
		}
	}
	return best, bestMask, suspended
}

// suspended counts the hosts that are left out at that time.
func (s *snapshot) suspended(now int64) int {
	n := 0
	for _, h := range s.hosts {
		if h.suspended(h.busy.Load(), now) {
			n++
		}
	}
	return n
}

// sameServer reports whether what is known of the server still holds.
func sameServer(a, b fleet.VM) bool {
	return a.Address == b.Address && a.Incarnation == b.Incarnation
}
