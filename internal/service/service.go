// Package service keeps the running parts of each service of the tree in force:
// its balancer and its rank queue.
//
// Set.Get reads an immutable map and takes no lock. Changes of the tree and of
// the membership are applied one at a time under Set.mu, which is taken before
// any lock of the queue or of the balancer.
package service

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Servers lists the backend servers that take new work.
type Servers interface {
	Servers(serviceKey string) []fleet.VM
}

// Runtime holds the parts of one service that live as long as the service does.
type Runtime struct {
	// Balancer chooses the backend server.
	Balancer *balancer.Balancer
	// Queue orders the requests that wait for one.
	Queue *admission.Queue
}

// Options are the settings of a Set.
type Options struct {
	// VM is the name of this entry VM.
	VM string
	// Zone is this entry's availability zone.
	Zone string
	// Scope receives the counters of queues and balancers.
	Scope tally.Scope
	// Workers dispatch for all queues.
	Workers *admission.Workers
	// OnDraining is told the name of each backend server whose answer says that it
	// is draining; nil is told nothing.
	OnDraining func(server string)
	// Entries is the number of live entries, which share each server's
	// connections; nil means one.
	Entries func() int
	// Observer is told of each request at a backend server; nil stands for none.
	Observer balancer.Observer
}

// Set is the table of running services. It is safe for concurrent use.
type Set struct {
	options Options
	running atomic.Pointer[map[string]*Runtime]

	mu      sync.Mutex
	tree    *tree.Tree
	servers Servers
	order   EntryOrder
}

// EntryOrder is this entry's place among the entries for each backend server.
type EntryOrder struct {
	// Position is the place, 0 the first; nil leaves all at the first.
	Position func(server string) int
	// Entries is the number of entries.
	Entries int
}

// SetEntryOrder puts a new order in force.
func (s *Set) SetEntryOrder(order EntryOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = order
	for _, r := range *s.running.Load() {
		s.applyOrder(r)
	}
}

func (s *Set) applyOrder(r *Runtime) {
	if s.order.Position != nil {
		r.Balancer.SetEntryOrder(s.order.Position, s.order.Entries)
	}
}

// NewSet returns a Set without services.
func NewSet(options Options) *Set {
	s := &Set{options: options}
	s.running.Store(&map[string]*Runtime{})
	return s
}

// Get returns the running parts of a service, and false where the tree that was
// last set has no such service.
func (s *Set) Get(key string) (*Runtime, bool) {
	r, ok := (*s.running.Load())[key]
	return r, ok
}

// SetTree starts the services that are new in the tree and forgets those that
// are gone from it. A service that stays keeps what it has measured.
func (s *Set) SetTree(t *tree.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = t
	old := *s.running.Load()
	next := make(map[string]*Runtime, len(t.Services))
	for _, svc := range t.Services {
		next[svc.Key()] = s.start(old[svc.Key()], svc)
	}
	s.running.Store(&next)
}

// SetServers passes the backend servers on to each service.
func (s *Set) SetServers(servers Servers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	if s.tree == nil {
		return
	}
	for _, svc := range s.tree.Services {
		r, ok := s.Get(svc.Key())
		if ok {
			r.Balancer.Update(servers.Servers(svc.Key()), svc)
			s.applyOrder(r)
			r.Queue.Update(svc)
		}
	}
}

// start returns the running parts of svc, made anew where there are none yet.
func (s *Set) start(r *Runtime, svc *tree.Service) *Runtime {
	if r == nil {
		b := balancer.New(balancer.Options{
			Entry:      s.options.VM,
			Zone:       s.options.Zone,
			Scope:      s.options.Scope,
			OnDraining: s.options.OnDraining,
			Entries:    s.options.Entries,
			Observer:   s.options.Observer,
		})
		scope := s.options.Scope.Tagged(map[string]string{"service": svc.Key()})
		r = &Runtime{Balancer: b, Queue: admission.NewQueue(s.options.Workers, b, scope)}
	}
	if s.servers != nil {
		r.Balancer.Update(s.servers.Servers(svc.Key()), svc)
		s.applyOrder(r)
	}
	r.Queue.Update(svc)
	return r
}
