package balancer

import (
	"math"
	"math/bits"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// defaultSlots is assumed where the service names no slots per server.
const defaultSlots = 3

// view is what one pick judges all servers by.
type view struct {
	now   int64   // nanoseconds since the Unix epoch
	late  int64   // nanoseconds after which a request shows a slow server
	usual float64 // requests of other entries at a server without news
	trust float64 // how far reports are believed, from 0 to 1
}

// snapshot is an immutable set of servers with the service's limits.
type snapshot struct {
	hosts []*host
	slots int
}

// next returns the snapshot of the given servers; known hosts are carried over.
func (s *snapshot) next(servers []fleet.VM, svc *tree.Service) *snapshot {
	known := make(map[string]*host, len(s.hosts))
	for _, h := range s.hosts {
		known[h.vm.Name] = h
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
		if h == nil || h.vm.Address != vm.Address {
			h = newHost(vm)
		}
		n.hosts = append(n.hosts, h)
	}
	return n
}

// first is the index at which a pick starts to judge, scattered by the turn.
func (s *snapshot) first(turn uint64) int {
	if len(s.hosts) == 0 {
		return 0
	}
	const scatter = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return int(turn * scatter >> 33 % uint64(len(s.hosts)))
}

// best returns the host with the least estimated load and a free place, with
// the busy mask that was judged, or nil. Of equal hosts it is the next one from
// first on.
func (s *snapshot) best(first int, v *view, exclude []string) (*host, uint32) {
	var best *host
	var bestMask uint32
	least := math.Inf(1)
	for i := range s.hosts {
		h := s.hosts[(first+i)%len(s.hosts)]
		mask := h.busy.Load()
		if bits.OnesCount32(mask) >= s.slots || h.news.Load().draining || excluded(exclude, h.vm.Name) {
			continue
		}
		if load := h.load(mask, v); load < least {
			best, bestMask, least = h, mask, load
		}
	}
	return best, bestMask
}
