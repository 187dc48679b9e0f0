package simulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Cold start of a server that joins.
const (
	coldFactor = 4
	coldLength = 2 * time.Second
)

// server is a fake backend server: slots, a queue in order of arrival, and
// load reports that may be late or wrong.
type server struct {
	clock    *clock
	vm       fleet.VM
	zone     int
	noise    noise
	pace     pace
	faults   *Faults
	failFast bool
	tells    bool    // reports carry the pace
	slow     float64 // multiplies the work
	warmAt   time.Duration
	draining bool
	coming   int // attempts on their way

	running []*attempt
	queue   []*attempt
	history []loadAt // for late reports
}

// loadAt is the load of a server from a time on.
type loadAt struct {
	at             time.Duration
	running, queue int
}

func newServer(s *Scenario, c *clock, vm fleet.VM, zone, index int, seed uint64) *server {
	sv := &server{clock: c, vm: vm, zone: zone, faults: &s.Faults, slow: 1, tells: s.Policy == ProductShared}
	sv.noise = noise{rng: rand.New(rand.NewPCG(seed, uint64(index))), off: s.Faults.NoNoise}
	if s.Faults.SlowZoneFactor > 0 && zone == 0 {
		sv.slow = s.Faults.SlowZoneFactor
	}
	sv.pace = newPace(rand.New(rand.NewPCG(seed, uint64(2_000_000+index))), s.Faults.PeriodicSlowdown)
	if float64(index) < s.Faults.SlowShare*float64(s.Servers) {
		sv.slow *= lastingSlowdown
	}
	sv.failFast = s.Faults.FailFast && index == 0
	return sv
}

// arrive takes an attempt in.
func (s *server) arrive(a *attempt) {
	s.coming--
	switch {
	case s.failFast:
		s.clock.after(failFastDelay, func() { a.answer(balancer.Error) })
	case len(s.queue) >= shedQueue:
		a.answer(balancer.Shed)
	case len(s.running) < slotsPerServer:
		s.begin(a)
	default:
		s.queue = append(s.queue, a)
	}
	s.note()
}

func (s *server) begin(a *attempt) {
	s.running = append(s.running, a)
	work := time.Duration(float64(a.work) * s.slow)
	if s.clock.now < s.warmAt {
		work *= coldFactor
	}
	work = time.Duration(float64(work) * s.pace.at(s.clock.now))
	if s.pace.on && float64(len(s.running)) > kneeShare*slotsPerServer {
		work = time.Duration(kneeFactor * float64(work))
	}
	end := s.noise.finish(s.clock.now, work)
	s.clock.after(end-s.clock.now, func() {
		if s.end(a) {
			a.answer(balancer.OK)
		}
	})
}

// end frees the slot of an attempt; it is false when it was cancelled before.
func (s *server) end(a *attempt) bool {
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
	s.note()
	return true
}

// cancel drops an attempt whose caller closed it.
func (s *server) cancel(a *attempt) {
	if s.end(a) {
		return
	}
	if index := slices.Index(s.queue, a); index >= 0 {
		s.queue = slices.Delete(s.queue, index, index+1)
		s.note()
	}
}

func (s *server) note() {
	if s.faults.ReportAge == 0 {
		return
	}
	s.history = append(s.history, loadAt{at: s.clock.now, running: len(s.running), queue: len(s.queue)})
	oldest := s.clock.now - s.faults.ReportAge
	for len(s.history) > 1 && s.history[1].at <= oldest {
		s.history = s.history[1:]
	}
}

// report is the load as the server states it.
func (s *server) report() balancer.Report {
	r := balancer.Report{Slots: slotsPerServer, Draining: s.draining}
	if s.tells {
		r.Slowdown = int(100 * s.slow * s.pace.at(s.clock.now))
	}
	switch {
	case s.faults.ReportIdle:
	case s.faults.ReportAge == 0:
		r.InFlight, r.Queue = len(s.running), len(s.queue)
	case len(s.history) > 0 && s.history[0].at <= s.clock.now-s.faults.ReportAge:
		r.InFlight, r.Queue = s.history[0].running, s.history[0].queue
	}
	return r
}
