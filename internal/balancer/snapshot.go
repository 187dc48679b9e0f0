package balancer

import (
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
	limit float64 // estimated load at which a server takes nothing more
	slots float64 // requests that a server runs at a time
	trust float64 // how far reports are believed, from 0 to 1
}

// snapshot is an immutable set of servers with the service's limits.
type snapshot struct {
	hosts []*host
	slots int
}

// next returns the snapshot of the given servers; known hosts are carried over.
func (s *snapshot) next(servers []fleet.VM, svc *tree.Service, now int64) *snapshot {
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
		if h == nil || h.vm.Address != vm.Address {
			h = newHost(vm, joined)
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
// first on. Ejected hosts are left out unless too many are.
func (s *snapshot) best(first int, v *view, exclude []string) (*host, uint32) {
	h, mask, ejected := s.scan(first, v, exclude, false)
	if s.tooManyEjected(ejected) {
		h, mask, _ = s.scan(first, v, exclude, true)
	}
	return h, mask
}

func (s *snapshot) tooManyEjected(n int) bool {
	return float64(n) > maxEjectedShare*float64(len(s.hosts))
}

func (s *snapshot) scan(first int, v *view, exclude []string, all bool) (best *host, bestMask uint32, ejected int) {
	least := v.limit
	for i := range s.hosts {
		h := s.hosts[(first+i)%len(s.hosts)]
		mask := h.busy.Load()
		if h.suspended(mask, v.now) {
			ejected++
			if !all {
				continue
			}
		}
		if !h.takes(mask, s.slots) || excluded(exclude, h.vm.Name) {
			continue
		}
		if load := h.load(mask, v); load < least {
			best, bestMask, least = h, mask, load
		}
	}
	return best, bestMask, ejected
}

// ejected counts the hosts that are ejected at that time.
func (s *snapshot) ejected(now int64) int {
	n := 0
	for _, h := range s.hosts {
		if h.suspended(h.busy.Load(), now) {
			n++
		}
	}
	return n
}
