package balancer

import (
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// minRemembered is how long every server is remembered after the last listing. A response to a
// request that was sent before may still say that the server is leaving.
const minRemembered = time.Minute

// incarnation is what this entry knows of one start of a server that holds for as long as it
// runs: what the server has said, and how it has failed. A new start begins without it.
type incarnation struct {
	requestLimit requestLimit
	notices      notices
	health       health
	joinedAt     int64 // nanoseconds since the Unix epoch; zero if it was in the first set of servers
}

func newIncarnation(joinedAt int64) *incarnation {
	i := &incarnation{joinedAt: joinedAt}
	i.health.penalizedUntil.Store(joinedAt + int64(slowStart))
	return i
}

// inForce reports whether the state of a server that no balancer lists must be remembered. The
// server may be listed again while it holds.
func (i *incarnation) inForce(now int64) bool {
	named := i.requestLimit.named.Load()
	return named != nil && now-named.observedAt < int64(forgetLimitAfter) ||
		i.requestLimit.warmUp.left(now) > 0 || i.notices.inForce(now) || now < i.health.ejectedUntil.Load()
}

// Incarnations holds the state of each start of a server for all balancers that share it. A state
// is kept when the server's record disappears, its service is taken out of the configuration or it
// moves to another service, for minRemembered and as long as it is in force. Its methods are safe
// for concurrent use; its lock is a leaf.
type Incarnations struct {
	mu      sync.Mutex                   // guards the field below
	servers map[string]*rememberedServer // by name
}

// rememberedServer is the newest start of a server.
type rememberedServer struct {
	vm          fleet.VM
	incarnation *incarnation
	listings    int   // number of balancers that list it
	unlistedAt  int64 // end of the last listing, in nanoseconds since the Unix epoch
}

// NewIncarnations returns one without servers.
func NewIncarnations() *Incarnations { return &Incarnations{servers: map[string]*rememberedServer{}} }

// IsLeaving reports whether that start of the server has said that it is leaving.
func (c *Incarnations) IsLeaving(vm fleet.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.servers[vm.Name]
	return r != nil && sameServer(r.vm, vm) && r.incarnation.notices.leavingSince.Load() != 0
}

// list returns the state of a server that a balancer newly lists. A server that is not known
// joins at joinedAt. unlist must be called once when the balancer no longer lists it.
func (c *Incarnations) list(vm fleet.VM, joinedAt int64) *incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.servers[vm.Name]
	if r == nil || !sameServer(r.vm, vm) {
		r = &rememberedServer{vm: vm, incarnation: newIncarnation(joinedAt)}
		c.servers[vm.Name] = r
	}
	r.listings++
	return r.incarnation
}

// unlist ends the listing of these servers, and forgets all that no balancer has listed for
// minRemembered and whose state is not in force any more.
func (c *Incarnations) unlist(gone []*backend, now int64) {
	if len(gone) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, be := range gone {
		if r := c.servers[be.vm.Name]; r != nil && r.incarnation == be.incarnation {
			r.listings--
			r.unlistedAt = now
		}
	}
	for name, r := range c.servers {
		if r.listings == 0 && now-r.unlistedAt > int64(minRemembered) && !r.incarnation.inForce(now) {
			delete(c.servers, name)
		}
	}
}
