package balancer

import (
	"math/bits"
	"sync/atomic"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// maxPlaces is the most requests that one entry has in progress at one backend server.
const maxPlaces = 16

// Server is a backend server with one place reserved for a request. It is
// valid from Pick to Done.
type Server struct {
	// VM is the backend server.
	VM fleet.VM

	host    *host
	index   int
	started atomic.Int64 // nanoseconds since the Unix epoch
}

// host is what this entry knows about one backend server. Picks read it
// without a lock.
type host struct {
	vm     fleet.VM
	places [maxPlaces]Server
	busy   atomic.Uint32 // one bit for each reserved place
	news   atomic.Pointer[news]
}

func newHost(vm fleet.VM) *host {
	h := &host{vm: vm}
	h.news.Store(&news{})
	for i := range h.places {
		h.places[i].VM = vm
		h.places[i].host = h
		h.places[i].index = i
	}
	return h
}

// reserve takes a free place if the busy mask still is the one that was judged.
func (h *host) reserve(seen uint32, now int64) (*Server, bool) {
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
func (h *host) release(s *Server) int {
	bit := uint32(1) << s.index
	return bits.OnesCount32(h.busy.And(^bit) &^ bit)
}

// load estimates the requests at the server: own ones, those of other entries
// and one more for each own one that has been out for long.
func (h *host) load(mask uint32, v *view) float64 {
	estimate := float64(bits.OnesCount32(mask)) + h.news.Load().othersAt(v)
	for rest := mask; rest != 0; rest &= rest - 1 {
		if v.now-h.places[bits.TrailingZeros32(rest)].started.Load() > v.late {
			estimate++
		}
	}
	return estimate
}
