// Package balancer chooses the backend server of a request.
//
// A Balancer serves one service. Pick reads an immutable snapshot of the
// servers, which Update replaces atomically, and the atomic counters of each
// server; it allocates nothing and takes no lock, except that of a server that names a
// request limit. Update and Done may run
// concurrently with picks. Update takes the Balancer's mutex, which guards only the
// construction of snapshots; only that of the Incarnations is taken under it.
package balancer

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Options are the settings of a Balancer.
type Options struct {
	// Entry is the name of this entry's VM. It makes entries choose differently among
	// servers that score equal.
	Entry string
	// Zone is the entry's own availability zone.
	Zone string
	// Service is the key of the service, for counters and log lines.
	Service string
	// Scope receives the counters; nil discards them.
	Scope tally.Scope
	// OnDraining, if not nil, is called with the name of each backend server whose
	// load report says that it is draining. It is called on the request path.
	OnDraining func(server string)
	// OnRequestLimit, if not nil, is called when a server's request limit is named,
	// changed or ended. It may be called on the request path.
	OnRequestLimit func(RequestLimitChange)
	// OnNotices, if not nil, is called when a server first says that it is leaving, and when a
	// pause begins. It may be called on the request path.
	OnNotices func(server string, news Notices)
	// OnWarmUp, if not nil, is called when a warm-up of a server is news. It may be called on
	// the request path.
	OnWarmUp func(WarmUpChange)
	// SettledAt is when this entry has had the time to get to know the others after its start.
	// Until then it sends nothing to servers that warm up, as its share of their limits would be
	// too large. The zero time is that of an entry that knows them.
	SettledAt time.Time
	// OnZoneShare, if not nil, is called when the share of requests that leaves for another
	// zone changes by much, at most once a second and zone. It is called on the request path.
	OnZoneShare func(ZoneShareChange)
	// Entries returns the number of live entries, which share each server's
	// connections; nil means one.
	Entries func() int
	// Observer, if not nil, is notified of each request. It is called on the
	// request path.
	Observer Observer
	// Incarnations holds the states of servers that outlive a listing; nil means those of this
	// Balancer alone.
	Incarnations *Incarnations
}

// Observer is notified of the requests that this entry sends to backend servers and
// of their results.
type Observer interface {
	// Sent is called when a request has reserved a slot at the server.
	// peersWantSlot reports whether other entries are likely to want that slot before
	// they receive the server's next load report.
	Sent(server string, peersWantSlot bool)
	// Ended is called with the result of the request. freed reports whether it frees
	// a slot of a full server.
	Ended(server string, r Result, freed bool, now time.Time)
	// LimitNamed is called with the request limit in a response to this entry that arrived
	// at that time, also when a limit has ended. changed is set if it is news to this entry.
	LimitNamed(server string, limit NamedLimit, at time.Time, changed bool)
	// WarmingUp is called with the time for which a server still is cold by a response to this
	// entry that arrived at that time. news is set if this entry did not know it.
	WarmingUp(server string, left time.Duration, at time.Time, news bool)
}

// noopObserver is an Observer that does nothing.
type noopObserver struct{}

func (noopObserver) Sent(string, bool) {}

func (noopObserver) Ended(string, Result, bool, time.Time) {}

func (noopObserver) LimitNamed(string, NamedLimit, time.Time, bool) {}

func (noopObserver) WarmingUp(string, time.Duration, time.Time, bool) {}

// Balancer chooses among the backend servers of one service.
type Balancer struct {
	options          Options
	snapshot         atomic.Pointer[snapshot]
	meanLatency      ewma        // latency of responses, in nanoseconds
	meanPeerRequests ewma        // requests of other entries at one server
	utilization      ewma        // busy share of a server's slots, 0 to 1
	shedShare        ewma        // share of requests that servers shed
	fullSpeedLatency ewma        // nanoseconds of a request at a server at full speed, below its knee
	pastKneeLatency  ewma        // nanoseconds of a request at a server at full speed, past its knee
	reporting        atomic.Bool // responses carry load reports
	confidence       *reportConfidence
	latencies        *latencyQuantiles
	pickCount        atomic.Uint64 // increases with each pick from a hash of the entry's name; moves the start of scans
	limits           atomic.Pointer[limitOrder]
	rate             requestRate
	zoneShares       zoneShares
	mu               sync.Mutex // guards the construction of a new snapshot
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
		options.Observer = noopObserver{}
	}
	if options.Incarnations == nil {
		options.Incarnations = NewIncarnations()
	}
	b := &Balancer{options: options, confidence: newReportConfidence(), latencies: newLatencyQuantiles()}
	b.snapshot.Store(&snapshot{})
	b.limits.Store(&limitOrder{entries: options.Entries, present: 1})
	b.pickCount.Store(xxhash.Sum64String(options.Entry))
	return b
}

// Update replaces the set of servers. The state of a server that stays is kept. A
// server that left gets no new request, and one that joins a set in use gets fewer
// requests at first (slow start).
func (b *Balancer) Update(servers []fleet.VM, svc *tree.Service) {
	b.UpdateAt(time.Now(), servers, svc)
}

// UpdateAt is like Update, at the given time.
func (b *Balancer) UpdateAt(now time.Time, servers []fleet.VM, svc *tree.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next, gone := b.snapshot.Load().next(servers, svc, b.options.Zone, b.options.Incarnations, steady.Nanos(now))
	next.warmUp = warmUpSettingsOf(svc)
	for _, vm := range servers {
		if be := next.backend(vm.Name); be != nil {
			b.observeRecord(be, vm, next.warmUp, now)
		}
	}
	next.maxPerServer = reservationLimit(next.slots, svc.ConnectionsPerServer, b.options.Entries())
	b.snapshot.Store(next)
	b.options.Incarnations.unlist(gone, steady.Nanos(now))
}

// Len returns the number of servers.
func (b *Balancer) Len() int { return len(b.snapshot.Load().backends) }

// Slots returns how many requests one server runs concurrently.
func (b *Balancer) Slots() int { return b.snapshot.Load().slots }

// TailLatency returns the 99th percentile of the latency of recent responses, or
// zero while there are too few samples.
func (b *Balancer) TailLatency() time.Duration { return micros(&b.latencies.tail) }

// Pick reserves a slot at the server with the lowest estimated load. It returns
// false when no server has a free slot, apart from those excluded by name.
func (b *Balancer) Pick(now time.Time, exclude []string) (*Reservation, bool) {
	return b.PickBelow(now, exclude, math.Inf(1))
}

// PickBelow is like Pick among the servers whose estimated load is below maxLoad,
// in requests.
func (b *Balancer) PickBelow(now time.Time, exclude []string, maxLoad float64) (*Reservation, bool) {
	s := b.snapshot.Load()
	p := b.pickParams(s, now, maxLoad)
	return b.pick(s, &p, exclude)
}

func (b *Balancer) pick(s *snapshot, p *pickParams, exclude []string) (*Reservation, bool) {
	b.decideLeaving(s, p)
	p.again = len(exclude) > 0
	for range maxReserveTries {
		pickNumber := b.pickCount.Add(1)
		p.salt = pickNumber * goldenRatio64
		be, reservationMask, byShare := b.best(s, s.scanStart(pickNumber), p, exclude)
		if be == nil {
			return nil, false
		}
		if reservation, ok := be.reserve(reservationMask, p.now); ok {
			if !be.requestLimit.take(p) {
				be.release(reservation)
				continue
			}
			be.sent.Add(1)
			b.rate.add(p.now)
			b.countLeft(be, p, byShare)
			reservation.estimate = be.estimate(reservationMask, p)
			b.options.Observer.Sent(be.vm.Name, b.peersWantSlot(be, p))
			return reservation, true
		}
	}
	return nil, false
}

// best returns the best server of the zone that the request goes to. byShare reports whether it
// leaves its own zone because that one is busier.
func (b *Balancer) best(s *snapshot, from int, p *pickParams, exclude []string) (be *backend, reservationMask uint32, byShare bool) {
	if z := b.drawZone(s, p); z != nil {
		if be, reservationMask = s.bestIn(z, from, p, exclude); be != nil {
			return be, reservationMask, true
		}
	}
	be, reservationMask = s.best(from, p, exclude)
	return be, reservationMask, false
}

// scarceSlotsUtilization is the busy share of all slots above which other entries are
// expected to want every slot: few servers at full speed are then free, and all entries
// choose among the same ones. Normal load is estimated to keep a quarter of the slots
// busy, by its call rate and service times.
const scarceSlotsUtilization = 0.35

// peersWantSlot reports whether other entries are likely to want a slot at the server
// before they receive its next report: because further requests are in progress
// there, or because slots are scarce.
func (b *Balancer) peersWantSlot(be *backend, p *pickParams) bool {
	return b.utilization.value() > scarceSlotsUtilization || be.inProgress(be.reserved.Load(), p) > 1+half
}

// maxReserveTries bounds how often a pick starts over when concurrent picks change the
// reservations of the server that it chose.
const maxReserveTries = 8

// pickParams returns the parameters of a pick at the given time.
func (b *Balancer) pickParams(s *snapshot, now time.Time, maxLoad float64) pickParams {
	mean := b.meanPeerRequests.value()
	return pickParams{
		now:               steady.Nanos(now),
		overdueAfter:      b.overdueAfter(),
		maxLoad:           maxLoad,
		inverseLatency:    b.inverseLatency(),
		slots:             float64(s.slots),
		meanPeerRequests:  mean + min(uncertaintyMargin, mean),
		confidence:        b.confidence.value(),
		shedShare:         b.shedShare.value(),
		kneeFactor:        b.kneeFactor(),
		maxStretch:        math.Inf(1),
		limits:            b.limits.Load(),
		preferred:         b.rate.preferredCount(),
		newConnectionCost: newConnectionCost(s),
		warmUpPerSecond:   s.warmUp.perSecond,
		settled:           !now.Before(b.options.SettledAt),
	}
}

const (
	// overdueFactor is how many mean latencies a request may be in progress before
	// it counts as overdue, which adds to the estimated load of its server.
	overdueFactor = 3
	// uncertaintyMargin is the maximum that is added to the mean load, in requests, for a
	// server without a fresh report, as a known load costs less on average than one
	// that is only likely.
	uncertaintyMargin = 0.5
	// meanWeight is the weight of the newest response in the means.
	meanWeight = 0.02
	// utilizationWeight is the weight of the newest report in the busy share.
	utilizationWeight = 0.005
)

func (b *Balancer) inverseLatency() float64 {
	mean := b.meanLatency.value()
	if mean == 0 {
		return 0
	}
	return 1 / mean
}

func (b *Balancer) overdueAfter() int64 {
	mean := b.meanLatency.value()
	if mean == 0 {
		return math.MaxInt64
	}
	return int64(overdueFactor * mean)
}

func excluded(exclude []string, name string) bool {
	return len(exclude) > 0 && slices.Contains(exclude, name)
}
