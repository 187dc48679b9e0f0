package simulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Slow start of a server that joins cold.
const (
	coldFactor = 4
	coldLength = 2 * time.Second
)

// server is a simulated backend server with slots, a FIFO queue and load reports
// that may be late or wrong.
type server struct {
	clock            *clock
	vm               fleet.VM
	zone             int
	slots            int
	randomSlowdown   randomSlowdown
	periodicSlowdown periodicSlowdown
	faults           *Faults
	failFast         bool
	reportsSlowdown  bool    // load reports carry the slowdown
	slowdown         float64 // constant factor of the service time
	warmAt           time.Duration
	draining         bool
	inTransit        int // attempts on the network

	running     []*attempt
	queue       []*attempt
	loadHistory []loadSample // for delayed reports
}

// loadSample is the load of a server since a time.
type loadSample struct {
	at             time.Duration
	running, queue int
}

func newServer(s *Scenario, c *clock, vm fleet.VM, zone, index int, seed uint64) *server {
	sv := &server{clock: c, vm: vm, zone: zone, slots: s.slots(), faults: &s.Faults, slowdown: 1, reportsSlowdown: s.Policy == ProductShared}
	sv.randomSlowdown = randomSlowdown{rng: rand.New(rand.NewPCG(seed, uint64(index))), disabled: s.Faults.NoRandomSlowdown}
	if s.Faults.SlowZoneFactor > 0 && zone == 0 {
		sv.slowdown = s.Faults.SlowZoneFactor
	}
	sv.periodicSlowdown = newPeriodicSlowdown(rand.New(rand.NewPCG(seed, uint64(2_000_000+index))), s.Faults.PeriodicSlowdown || s.Faults.EpisodicSlowdown)
	sv.periodicSlowdown.episodic = s.Faults.EpisodicSlowdown
	if float64(index) < s.Faults.SlowShare*float64(s.Servers) {
		sv.slowdown *= slowServerFactor
	}
	sv.failFast = s.Faults.FailFast && index == 0
	return sv
}

// arrive starts, queues, sheds or fails an attempt that reaches the server.
func (s *server) arrive(a *attempt) {
	s.inTransit--
	switch {
	case s.failFast:
		s.clock.after(failFastDelay, func() { a.respond(balancer.Error) })
	case len(s.queue) >= shedQueueLength:
		a.respond(balancer.Shed)
	case len(s.running) < s.slots:
		s.begin(a)
	default:
		s.queue = append(s.queue, a)
	}
	s.recordLoad()
}

func (s *server) begin(a *attempt) {
	s.running = append(s.running, a)
	serviceTime := time.Duration(float64(a.serviceTime) * s.slowdown)
	if s.clock.now < s.warmAt {
		serviceTime *= coldFactor
	}
	serviceTime = time.Duration(float64(serviceTime) * s.periodicSlowdown.factorAt(s.clock.now))
	if s.periodicSlowdown.enabled && float64(len(s.running)) > kneeShare*float64(s.slots) {
		serviceTime = time.Duration(kneeFactor * float64(serviceTime))
	}
	end := s.randomSlowdown.completionTime(s.clock.now, serviceTime)
	s.clock.after(end-s.clock.now, func() {
		if s.freeSlot(a) {
			a.respond(balancer.OK)
		}
	})
}

// freeSlot frees the slot of an attempt. It returns false if the attempt holds none.
func (s *server) freeSlot(a *attempt) bool {
	index := slices.Index(s.running, a)
	if index < 0 {
		return false
	}
	s.running = slices.Delete(s.running, index, index+1)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.begin(next)
	}
	s.recordLoad()
	return true
}

// cancel drops an attempt that the entry has cancelled.
func (s *server) cancel(a *attempt) {
	if s.freeSlot(a) {
		return
	}
	if index := slices.Index(s.queue, a); index >= 0 {
		s.queue = slices.Delete(s.queue, index, index+1)
		s.recordLoad()
	}
}

func (s *server) recordLoad() {
	if s.faults.ReportAge == 0 {
		return
	}
	s.loadHistory = append(s.loadHistory, loadSample{at: s.clock.now, running: len(s.running), queue: len(s.queue)})
	oldest := s.clock.now - s.faults.ReportAge
	for len(s.loadHistory) > 1 && s.loadHistory[1].at <= oldest {
		s.loadHistory = s.loadHistory[1:]
	}
}

// report returns the load as the server reports it.
func (s *server) report() balancer.Report {
	r := balancer.Report{Slots: s.slots, Draining: s.draining}
	if s.reportsSlowdown {
		r.Slowdown = int(100 * s.slowdown * s.periodicSlowdown.factorAt(s.clock.now))
	}
	switch {
	case s.faults.ReportIdle:
	case s.faults.ReportAge == 0:
		r.InFlight, r.Queue = len(s.running), len(s.queue)
	case len(s.loadHistory) > 0 && s.loadHistory[0].at <= s.clock.now-s.faults.ReportAge:
		r.InFlight, r.Queue = s.loadHistory[0].running, s.loadHistory[0].queue
	}
	return r
}
