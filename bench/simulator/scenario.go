package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Names of the three ranks.
const (
	Payments = "payments"
	Lookups  = "lookups"
	Uploads  = "uploads"
)

// Policy is an algorithm that chooses the backend server of a call.
type Policy string

// Policies of a run. All but Product and ProductShared send each call immediately, without
// a queue.
const (
	Random            Policy = "random"
	RoundRobin        Policy = "round robin"
	LeastRequests     Policy = "least own in-flight"
	PowerOfTwoChoices Policy = "two choices"
	Product           Policy = "chestnutrouter"
	// ProductShared is the product with load reports shared between entries and servers
	// that report their slowdown.
	ProductShared Policy = "chestnutrouter, shared"
	// GlobalLeastRequests knows the load of every server without delay. It is a bound
	// for comparison; no real entry can do it.
	GlobalLeastRequests Policy = "least true load (bound)"
)

// Scenario describes one run.
type Scenario struct {
	Policy  Policy
	Seed    uint64
	Entries int
	Servers int
	Zones   int
	// ZoneEntries and ZoneServers are the numbers of entries and servers in each zone; if
	// they are empty the zones take turns.
	ZoneEntries, ZoneServers []int
	// ZoneDemand is the demand of each zone's callers, relative to the others; if it is empty
	// all entries have equal demand.
	ZoneDemand []float64
	// Connections describes how entries keep connections.
	Connections Connections
	// OtherZonesDelay is the time until entries of other zones learn of reports and requests.
	OtherZonesDelay time.Duration
	// Events change servers and callers during the run.
	Events []Event
	// Load is the offered service time as a share of the capacity of all slots.
	Load float64
	// Mix is the share of each rank in the calls of the base load.
	Mix map[string]float64
	// Flood adds calls of one rank for part of the run.
	Flood Flood
	// SkewedCallers distributes the calls over the entries in proportion to 1, 1/2, 1/3
	// and so on.
	SkewedCallers bool
	// FixedRateProbes makes the policy ProductShared probe servers at a fixed rate instead
	// of right after their speed may have changed.
	FixedRateProbes bool
	// ProbeInterval is the time between two probes of a server by the policy ProductShared while
	// the phase of its speed changes is unknown; zero means that of the product.
	ProbeInterval time.Duration
	// Faults of backend servers.
	Faults Faults
	// ServiceTime is the distribution of the time for which a call holds a slot.
	ServiceTime ServiceTime
	// Scale multiplies the service time of all calls; zero means one.
	Scale float64
	// NoHedges turns hedging off.
	NoHedges bool
	// Service holds the ranks and budgets; nil means DefaultService.
	Service *tree.Service
	// WarmUp is the time at the start that is left out of the figures.
	WarmUp time.Duration
	// Length is the measured time after the warm-up.
	Length time.Duration
}

// ServiceTime is the distribution of a call's service time around its mean.
type ServiceTime string

// Distributions of the service time.
const (
	// Exponential draws an exponential time once for each call: a second attempt takes
	// as long as the first.
	Exponential ServiceTime = ""
	// Uniform draws a time between 0.5 and 1.5 times the mean once for each call.
	Uniform ServiceTime = "steady"
	// ExponentialPerAttempt draws an exponential time for each attempt.
	ExponentialPerAttempt ServiceTime = "redrawn"
)

// Flood is extra load of one rank.
type Flood struct {
	Rank string
	// Load is the extra service time as a share of the capacity of all slots.
	Load float64
	// From and Until are measured from the end of the warm-up.
	From, Until time.Duration
}

// Faults are faults of backend servers and their load reports.
type Faults struct {
	// NoRandomSlowdown disables the random slow episodes that noisy neighbours cause.
	NoRandomSlowdown bool
	// SlowZoneFactor multiplies the service time of all servers in zone 0; zero means one.
	SlowZoneFactor float64
	// FailFast makes server 0 respond to every request with an immediate error.
	FailFast bool
	// ReportAge is how old a load report is when it leaves the server.
	ReportAge time.Duration
	// ReportIdle makes every load report show an idle server.
	ReportIdle bool
	// NoReports omits the load reports from the responses.
	NoReports bool
	// PeriodicSlowdown slows each server fivefold for a quarter of the time, redrawn
	// every 150 ms. A call keeps the speed at which it starts, and one that starts in
	// the last free slot takes 1.7 times as long.
	PeriodicSlowdown bool
	// EpisodicSlowdown slows each server as PeriodicSlowdown does, for 30% of the time, but 150 ms
	// at a time that begin at any moment.
	EpisodicSlowdown bool
	// SlowShare is the share of the servers whose service time is 12 times as long.
	SlowShare float64
	// Restarts is the interval at which a server drains and a cold one joins; zero means
	// never.
	Restarts time.Duration
}

// Parameters of the simulated servers and of the network between VMs.
const (
	slotsPerServer     = 3
	defaultServiceTime = 10 * time.Millisecond
	uploadServiceTime  = 5 * defaultServiceTime
	crossZoneDelay     = 500 * time.Microsecond // between availability zones
	inZoneDelay        = 100 * time.Microsecond // inside an availability zone
	failFastDelay      = 200 * time.Microsecond
	callerTimeout      = 2 * time.Second
	shedQueueLength    = 60 // requests that may wait at a server before it sheds load
	reportBytes        = 52 // one load report header line
	probeBytes         = 260
)

// DefaultService returns the reference shop service with three ranks.
func DefaultService() *tree.Service {
	const mib = 1 << 20
	return &tree.Service{
		Member: "glazenpot", Name: "shop",
		SlotsPerServer: slotsPerServer, ConnectionsPerServer: 250,
		Ranks: []tree.Rank{
			{Name: Payments, Order: 1, Target: 500 * time.Millisecond, QueueLength: 500, QueueBytes: 16 * mib, KeptShare: 0.1},
			{Name: Lookups, Order: 2, Target: 250 * time.Millisecond, QueueLength: 500, QueueBytes: 16 * mib, KeptShare: 0.2},
			{Name: Uploads, Order: 3, Target: 10 * time.Second, QueueLength: 100, QueueBytes: 64 * mib, KeptShare: 0.05, Streams: 20},
		},
		Budgets: tree.Budgets{ProbesPerSecond: 5, RetryShare: 0.1, HedgeShare: 0.05},
	}
}

// meanServiceTime returns the mean time for which a call of the rank holds a slot.
func (s *Scenario) meanServiceTime(rank string) time.Duration {
	mean := defaultServiceTime
	if rank == Uploads {
		mean = uploadServiceTime
	}
	if s.Scale == 0 {
		return mean
	}
	return time.Duration(s.Scale * float64(mean))
}

// capacity returns the service time that all servers provide per second, in seconds.
func (s *Scenario) capacity() float64 { return float64(s.Servers * s.slots()) }

// slots returns the number of requests that a server runs concurrently.
func (s *Scenario) slots() int {
	if s.Service != nil && s.Service.SlotsPerServer > 0 {
		return s.Service.SlotsPerServer
	}
	return slotsPerServer
}

// callRate returns the calls per second of a rank in the base load.
func (s *Scenario) callRate(rank string) float64 {
	meanPerCall := 0.0
	for name, share := range s.Mix {
		meanPerCall += share * s.meanServiceTime(name).Seconds()
	}
	return s.Load * s.capacity() / meanPerCall * s.Mix[rank]
}

// floodRate returns the extra calls per second during the flood.
func (s *Scenario) floodRate() float64 {
	return s.Flood.Load * s.capacity() / s.meanServiceTime(s.Flood.Rank).Seconds()
}

// callShare returns the share of all calls that the entry receives.
func (s *Scenario) callShare(entry int) float64 {
	if len(s.ZoneDemand) > 0 {
		zone := zoneOf(entry, s.Zones, s.ZoneEntries)
		sum, entries := 0.0, 0
		for _, demand := range s.ZoneDemand {
			sum += demand
		}
		for i := range s.Entries {
			if zoneOf(i, s.Zones, s.ZoneEntries) == zone {
				entries++
			}
		}
		return s.ZoneDemand[zone] / sum / float64(entries)
	}
	if !s.SkewedCallers {
		return 1 / float64(s.Entries)
	}
	sum := 0.0
	for i := range s.Entries {
		sum += 1 / float64(i+1)
	}
	return 1 / float64(entry+1) / sum
}
