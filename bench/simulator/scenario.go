package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Names of the three ranks of work.
const (
	Payments = "payments"
	Lookups  = "lookups"
	Uploads  = "uploads"
)

// Policy names a way to choose the backend server.
type Policy string

// Policies of a run. All but Product send each call at once, without a queue.
const (
	Random            Policy = "random"
	RoundRobin        Policy = "round robin"
	LeastRequests     Policy = "least own in-flight"
	PowerOfTwoChoices Policy = "two choices"
	Product           Policy = "chestnutrouter"
	// ProductShared is the product with shared measuring and servers that tell their pace.
	ProductShared Policy = "chestnutrouter, shared"
	// GlobalLeastRequests knows the load of every server without delay: a bound, not a way.
	GlobalLeastRequests Policy = "least true load (bound)"
)

// Scenario describes one run.
type Scenario struct {
	Policy  Policy
	Seed    uint64
	Entries int
	Servers int
	Zones   int
	// Load is the offered work as a share of the capacity of all slots.
	Load float64
	// Mix is the share of each rank in the calls of the base load.
	Mix map[string]float64
	// Flood adds calls of one rank for a while.
	Flood Flood
	// SkewedCallers gives the entries calls in proportion to 1, 1/2, 1/3 and so on.
	SkewedCallers bool
	// FixedRateProbes asks servers in even rounds with the policy ProductShared, whatever their rhythm.
	FixedRateProbes bool
	// Faults of backend servers.
	Faults Faults
	// ServiceTime is how long the calls hold a slot.
	ServiceTime ServiceTime
	// Scale multiplies the slot time of all calls; zero stands for one.
	Scale float64
	// NoHedges turns second attempts off.
	NoHedges bool
	// Service holds the ranks and budgets; the zero value takes DefaultService.
	Service *tree.Service
	// WarmUp is left out of the figures.
	WarmUp time.Duration
	// Length is the measured time after the warm-up.
	Length time.Duration
}

// ServiceTime is the distribution of the slot time of a call around its mean.
type ServiceTime string

// Distributions of work.
const (
	// Exponential work belongs to the call: a second attempt takes as long.
	Exponential ServiceTime = ""
	// Uniform work is spread evenly from half to one and a half of the mean.
	Uniform ServiceTime = "steady"
	// ExponentialPerAttempt work is exponential and belongs to the attempt.
	ExponentialPerAttempt ServiceTime = "redrawn"
)

// Flood is extra work of one rank.
type Flood struct {
	Rank string
	// Load is the extra work as a share of capacity.
	Load float64
	// From and Until are measured from the end of the warm-up.
	From, Until time.Duration
}

// Faults of backend servers and their reports.
type Faults struct {
	// NoNoise turns noisy neighbours off.
	NoNoise bool
	// SlowZoneFactor multiplies the work of all servers of zone 0; zero means none.
	SlowZoneFactor float64
	// FailFast makes server 0 answer every request with an error at once.
	FailFast bool
	// ReportAge is how old a load report is when it leaves the server.
	ReportAge time.Duration
	// ReportIdle makes every report say that the server is idle.
	ReportIdle bool
	// NoReports leaves the reports off the answers.
	NoReports bool
	// PeriodicSlowdown slows each server fivefold for a quarter of the time, drawn anew
	// every 150 ms. A call keeps the pace at which it begins, and one that begins
	// at the last slot takes 1.7 times as long.
	PeriodicSlowdown bool
	// SlowShare is the share of the servers whose work takes 12 times as long.
	SlowShare float64
	// Restarts makes a server drain and a cold one join every so often; zero means never.
	Restarts time.Duration
}

// Sizes of the fake servers and of the network between VMs.
const (
	slotsPerServer = 3
	meanWork       = 10 * time.Millisecond
	uploadWork     = 5 * meanWork
	oneWayZones    = 500 * time.Microsecond // between availability zones
	oneWayLocal    = 100 * time.Microsecond // inside an availability zone
	failFastDelay  = 200 * time.Microsecond
	callerPatience = 2 * time.Second
	shedQueue      = 60 // requests that wait at a server before it sheds
	reportBytes    = 52 // header line of one load report
	probeBytes     = 260
)

// DefaultService is the shop service of the brief with three ranks.
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

// workOf is the mean time that a call of the rank holds a slot.
func (s *Scenario) workOf(rank string) time.Duration {
	work := meanWork
	if rank == Uploads {
		work = uploadWork
	}
	if s.Scale == 0 {
		return work
	}
	return time.Duration(s.Scale * float64(work))
}

// capacity is the slot time that all servers give in a second, in seconds.
func (s *Scenario) capacity() float64 { return float64(s.Servers * slotsPerServer) }

// rate is the calls a second of a rank in the base load.
func (s *Scenario) rate(rank string) float64 {
	perCall := 0.0
	for name, share := range s.Mix {
		perCall += share * s.workOf(name).Seconds()
	}
	return s.Load * s.capacity() / perCall * s.Mix[rank]
}

// floodRate is the extra calls a second in the flood.
func (s *Scenario) floodRate() float64 {
	return s.Flood.Load * s.capacity() / s.workOf(s.Flood.Rank).Seconds()
}

// weight is the share of all calls that the entry receives.
func (s *Scenario) weight(entry int) float64 {
	if !s.SkewedCallers {
		return 1 / float64(s.Entries)
	}
	sum := 0.0
	for i := range s.Entries {
		sum += 1 / float64(i+1)
	}
	return 1 / float64(entry+1) / sum
}
