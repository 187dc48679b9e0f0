// Package balancer chooses the backend server of a request.
//
// A Balancer serves one service. Pick reads an immutable snapshot of the
// servers that Update swaps whole, and the atomic counters of each server; it
// takes no lock and allocates nothing. Update and Done may run at the same time
// as picks. Update takes the Balancer's mutex, which guards only the making of
// snapshots; no other lock is taken under it.
package balancer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
)

// Options are the settings of a Balancer.
type Options struct {
	// Entry is the name of this entry VM; it sets entries apart where servers seem equal.
	Entry string
	// Zone is the entry's own availability zone.
	Zone string
	// Scope receives the counters; nil counts nowhere.
	Scope tally.Scope
	// OnDraining is told the name of each backend server whose answer says that it
	// is draining; nil is told nothing. It is called on the request path.
	OnDraining func(server string)
	// Entries is the number of live entries, which share each server's
	// connections; nil means one.
	Entries func() int
	// Observer is told of each request; nil stands for none. It is called on the
	// request path.
	Observer Observer
}

// Observer learns what this entry sends to backend servers and what comes of it.
type Observer interface {
	// Sent is told of a request that gets a place at the server, and whether other
	// entries are likely to want that place before the next report.
	Sent(server string, contended bool)
	// Ended is told what came of it, and whether it frees a place of a full server.
	Ended(server string, r Result, freed bool, now time.Time)
}

// nobody is the Observer that looks at nothing.
type nobody struct{}

func (nobody) Sent(string, bool) {}

func (nobody) Ended(string, Result, bool, time.Time) {}

// Balancer chooses among the backend servers of one service.
type Balancer struct {
	options   Options
	snapshot  atomic.Pointer[snapshot]
	latency   mean        // nanoseconds of an answer
	others    mean        // requests of other entries at a server
	busy      mean        // busy share of a server's slots
	shed      mean        // share of refused requests
	quick     mean        // nanoseconds of a request that began at a quick server
	past      mean        // the same, past the server's knee
	reporting atomic.Bool // answers carry reports
	trust     *trust
	quantile  *quantile
	turn      atomic.Uint64 // moves the server at which equal ones are judged first
	mu        sync.Mutex    // guards making a new snapshot
}

// New returns a balancer without servers.
func New(options Options) *Balancer {
	if options.Entries == nil {
		options.Entries = func() int { return 1 }
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.Observer == nil {
		options.Observer = nobody{}
	}
	b := &Balancer{options: options, trust: newTrust(), quantile: newQuantile()}
	b.snapshot.Store(&snapshot{})
	b.turn.Store(xxhash.Sum64String(options.Entry))
	return b
}

// Update replaces the set of servers. What is known about a server that stays
// is kept; a server that left takes no new request, and one that joins a set in
// use is spared for a while.
func (b *Balancer) Update(servers []fleet.VM, svc *tree.Service) {
	b.UpdateAt(time.Now(), servers, svc)
}

// UpdateAt is Update at a given time.
func (b *Balancer) UpdateAt(now time.Time, servers []fleet.VM, svc *tree.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.snapshot.Load().next(servers, svc, b.options.Zone, now.UnixNano())
	next.places = placesOf(next.slots, svc.ConnectionsPerServer, b.options.Entries())
	b.snapshot.Store(next)
}

// Len is the number of servers.
func (b *Balancer) Len() int { return len(b.snapshot.Load().hosts) }

// Slots is how many requests one server runs at a time.
func (b *Balancer) Slots() int { return b.snapshot.Load().slots }

// TailLatency is a high quantile of the latency of recent answers, zero while
// too little was measured.
func (b *Balancer) TailLatency() time.Duration { return micros(&b.quantile.high) }

// Pick reserves a place at the server with the shortest estimated wait. It is
// false when no server that is not excluded by name has a free slot.
func (b *Balancer) Pick(now time.Time, exclude []string) (*Reservation, bool) {
	return b.PickBelow(now, exclude, math.Inf(1))
}

// PickBelow is Pick among the servers whose estimated load is below the limit,
// in requests.
func (b *Balancer) PickBelow(now time.Time, exclude []string, limit float64) (*Reservation, bool) {
	s := b.snapshot.Load()
	v := b.view(s, now, limit)
	return b.pick(s, &v, exclude)
}

func (b *Balancer) pick(s *snapshot, v *view, exclude []string) (*Reservation, bool) {
	for range maxReserveTries {
		turn := b.turn.Add(1)
		v.salt = turn * scatter
		h, mask := s.best(s.first(turn), v, exclude)
		if h == nil {
			return nil, false
		}
		if place, ok := h.reserve(mask, v.now); ok {
			place.basis = h.basis(mask, v)
			b.options.Observer.Sent(h.vm.Name, b.contended(h, v))
			return place, true
		}
	}
	return nil, false
}

// contendedShare is the busy share of all slots from which any place is contended:
// quick servers are then few, and all entries choose among the same ones. Calm days
// of the users keep a quarter busy, by their calls and work (an estimate).
const contendedShare = 0.35

// contended reports whether other entries are likely to want a place at the server
// before they get its next report: it has others in progress, or slots are scarce.
func (b *Balancer) contended(h *host, v *view) bool {
	return b.busy.value() > contendedShare || h.inProgress(h.busy.Load(), v) > 1+half
}

// maxReserveTries bounds how often a pick starts over when others reserve at
// the same moment.
const maxReserveTries = 8

// view is what a pick at that time judges all servers by.
func (b *Balancer) view(s *snapshot, now time.Time, limit float64) view {
	usual := b.others.value()
	return view{
		now:            now.UnixNano(),
		overdue:        b.overdueAfter(),
		limit:          limit,
		inverseLatency: b.inverseLatency(),
		slots:          float64(s.slots),
		usual:          usual + min(uncertainty, usual),
		trust:          b.trust.value(),
		shed:           b.shed.value(),
		knee:           b.kneeFactor(),
		far:            farBase,
		longest:        math.Inf(1),
	}
}

const (
	// overdueMeans is how many mean latencies a request may be out before its
	// server is taken to be slow.
	overdueMeans = 3
	// uncertainty is the most that is added to the usual load of a server without a fresh report,
	// as a load that is known costs less on average than one that is only likely.
	uncertainty = 0.5
	// meanWeight is the weight of the newest answer in the means.
	meanWeight = 0.02
	// busyWeight is the weight of the newest report in the busy share.
	busyWeight = 0.005
)

func (b *Balancer) inverseLatency() float64 {
	usual := b.latency.value()
	if usual == 0 {
		return 0
	}
	return 1 / usual
}

func (b *Balancer) overdueAfter() int64 {
	usual := b.latency.value()
	if usual == 0 {
		return math.MaxInt64
	}
	return int64(overdueMeans * usual)
}

func excluded(exclude []string, name string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, name)
}
