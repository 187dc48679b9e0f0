// Package service holds the runtime of each service of the active tree: its
// balancer and its rank queue.
//
// Set.Get reads an immutable map and takes no lock. Changes of the tree and of
// the membership are applied one at a time under Set.mu, which is taken before
// any lock of the queue or of the balancer.
package service

import (
	"sync"
	"sync/atomic"
	"time"

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

// Runtime holds the parts of one service that live as long as the service.
type Runtime struct {
	// Balancer selects the backend server.
	Balancer *balancer.Balancer
	// Queue orders the requests that wait for a server.
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
	// Workers dispatches for all queues.
	Workers *admission.Workers
	// OnDraining is called with the name of each backend server that reports in
	// a response that it is draining. It may be nil.
	OnDraining func(server string)
	// OnRequestLimit is called when a backend server's request limit is named, changed
	// or ended. It may be nil.
	OnRequestLimit func(balancer.RequestLimitChange)
	// OnNotices is called when a backend server first says that it is leaving, and when a
	// pause begins. It may be nil.
	OnNotices func(server string, news balancer.Notices)
	// OnWarmUp is called when a warm-up of a backend server is news. It may be nil.
	OnWarmUp func(balancer.WarmUpChange)
	// SettledAt is when this entry knows the others; see balancer.Options.
	SettledAt time.Time
	// OnZoneShare is called when the share of a service's requests that leaves for another
	// availability zone changes by much. It may be nil.
	OnZoneShare func(balancer.ZoneShareChange)
	// Entries returns the number of live entries, which share each server's
	// connections; nil means one.
	Entries func() int
	// Observer is notified of each request at a backend server. It may be nil.
	Observer balancer.Observer
}

// Set is the table of running services. It is safe for concurrent use.
type Set struct {
	options  Options
	runtimes atomic.Pointer[map[string]*Runtime]

	mu           sync.Mutex
	tree         *tree.Tree
	servers      Servers
	order        EntryOrder
	incarnations *balancer.Incarnations // of all services, as servers move between them
}

// EntryOrder is this entry's position in the order of entries of each backend
// server.
type EntryOrder struct {
	// Position returns the position at the server, 0 for the first; nil leaves
	// this entry first at every server.
	Position func(server string) int
	// Entries is the number of entries.
	Entries int
	// ZoneRank is this entry's place among the entries of its availability zone.
	ZoneRank balancer.ZoneRank
	// Senders is the order in which entries divide the request limits of servers. If its
	// Position is nil, all entries have equal shares.
	Senders balancer.SenderOrder
}

// SetEntryOrder applies a new order of entries.
func (s *Set) SetEntryOrder(order EntryOrder) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = order
	for _, r := range *s.runtimes.Load() {
		s.applyOrder(r)
	}
}

func (s *Set) applyOrder(r *Runtime) {
	if s.order.Position != nil {
		r.Balancer.SetEntryOrder(s.order.Position, s.order.Entries)
		r.Balancer.SetZoneRank(s.order.ZoneRank)
	}
	if s.order.Senders.Position != nil {
		r.Balancer.SetSenderOrder(s.order.Senders)
	}
}

// NewSet returns a Set without services.
func NewSet(options Options) *Set {
	s := &Set{options: options, incarnations: balancer.NewIncarnations()}
	s.runtimes.Store(&map[string]*Runtime{})
	return s
}

// Get returns the runtime of a service, and false if the last tree set has no
// such service.
func (s *Set) Get(key string) (*Runtime, bool) {
	r, ok := (*s.runtimes.Load())[key]
	return r, ok
}

// IsDraining reports whether the server reported to any entry that it leaves.
func (s *Set) IsDraining(server fleet.VM) bool {
	if r, ok := s.Get(server.Service); ok && r.Balancer.IsDraining(server.Name) {
		return true
	}
	return s.incarnations.IsLeaving(server)
}

// LastReport returns when the server last reported its load to any entry, the zero time if it
// never did.
func (s *Set) LastReport(server fleet.VM) time.Time {
	r, ok := s.Get(server.Service)
	if !ok {
		return time.Time{}
	}
	return r.Balancer.LastReport(server.Name)
}

// SetTree creates the services that are new in the tree and drops those that
// are no longer in it. A service that remains keeps its measurements. Requests that
// wait for a server of a dropped one are refused, and what is known of its servers is
// remembered, as they may serve another service or this one again.
func (s *Set) SetTree(t *tree.Tree) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = t
	old := *s.runtimes.Load()
	next := make(map[string]*Runtime, len(t.Services))
	for _, svc := range t.Services {
		next[svc.Key()] = s.runtimeFor(old[svc.Key()], svc)
	}
	s.runtimes.Store(&next)
	for key, r := range old {
		if next[key] == nil {
			r.Queue.Close()
			r.Balancer.Update(nil, &tree.Service{})
		}
	}
}

// SetServers updates the backend servers of each service.
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

// runtimeFor returns the runtime r of svc, or a new one if r is nil, updated to
// the settings of svc and its servers.
func (s *Set) runtimeFor(r *Runtime, svc *tree.Service) *Runtime {
	if r == nil {
		b := balancer.New(balancer.Options{
			Entry:        s.options.VM,
			Zone:         s.options.Zone,
			Service:      svc.Key(),
			Scope:        s.options.Scope,
			OnDraining:   s.options.OnDraining,
			Entries:      s.options.Entries,
			Observer:     s.options.Observer,
			Incarnations: s.incarnations,

			OnRequestLimit: s.options.OnRequestLimit,
			OnNotices:      s.options.OnNotices,
			OnWarmUp:       s.options.OnWarmUp,
			SettledAt:      s.options.SettledAt,
			OnZoneShare:    s.options.OnZoneShare,
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
