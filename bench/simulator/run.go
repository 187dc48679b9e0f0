package simulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// run is the state of one run.
type run struct {
	scenario Scenario
	service  *tree.Service
	clock    *clock
	servers  []*server // in the VM list
	byName   map[string]*server
	entries  []*entry
	result   *Result
	made     int // servers ever made
}

// Run returns the figures of a scenario.
func Run(s Scenario) *Result {
	r := newRun(s)
	end := s.WarmUp + s.Length
	for _, e := range r.entries {
		for _, rank := range []string{Payments, Lookups, Uploads} {
			e.arrivals(rank, s.rate(rank)*s.weight(e.index), end)
		}
		r.flood(e)
	}
	r.restarts()
	r.clock.run(end + callerPatience)
	return r.result
}

func newRun(s Scenario) *run {
	r := &run{scenario: s, service: s.Service, clock: &clock{}, byName: make(map[string]*server)}
	if r.service == nil {
		r.service = DefaultService()
	}
	r.result = newResult(&r.scenario)
	for range s.Servers {
		r.addServer()
	}
	for i := range s.Entries {
		e := &entry{run: r, index: i, zone: i % s.Zones}
		e.rng = rand.New(rand.NewPCG(s.Seed, uint64(1_000_000+i)))
		e.chooser = newChooser(e)
		r.entries = append(r.entries, e)
	}
	r.announce()
	if s.Policy == ProductShared {
		r.observe()
	}
	return r
}

func newChooser(e *entry) chooser {
	switch e.run.scenario.Policy {
	case Product:
		return newQueued(e)
	case ProductShared:
		q := newQueued(e)
		q.shared = true
		return q
	}
	return &direct{entry: e, policy: e.run.scenario.Policy, own: make(map[*server]int)}
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (r *run) addServer() *server {
	index := r.made
	r.made++
	zone := index % r.scenario.Zones
	name := fmt.Sprintf("server-%03d", index)
	vm := fleet.VM{Name: name, Address: name, Zone: zoneName(zone), Service: r.service.Key(), State: fleet.Live}
	s := newServer(&r.scenario, r.clock, vm, zone, index, r.scenario.Seed)
	r.servers = append(r.servers, s)
	r.byName[name] = s
	return s
}

// announce hands the VM list to the entries.
func (r *run) announce() {
	for _, e := range r.entries {
		e.chooser.update(r.servers)
	}
}

func (r *run) flood(e *entry) {
	f := r.scenario.Flood
	if f.Rank == "" {
		return
	}
	rate := r.scenario.floodRate() * r.scenario.weight(e.index)
	r.clock.after(r.scenario.WarmUp+f.From, func() {
		e.arrivals(f.Rank, rate, r.scenario.WarmUp+f.Until)
	})
}

// listLag is how long the VM list takes to drop a draining server.
const listLag = 3 * time.Second

// restarts lets servers drain and cold ones join, one after another.
func (r *run) restarts() {
	every := r.scenario.Faults.Restarts
	if every == 0 {
		return
	}
	r.clock.after(every, func() {
		leaving := r.servers[0]
		leaving.draining = true
		joining := r.addServer()
		joining.warmAt = r.clock.now + coldLength
		r.announce()
		r.clock.after(listLag, func() {
			r.servers = r.servers[1:]
			r.announce()
		})
		r.restarts()
	})
}

// reportBytes is the measuring cost of one answer.
func (r *run) reportBytes() int64 {
	if r.scenario.Policy != Product && r.scenario.Policy != ProductShared || r.scenario.Faults.NoReports || !r.measuring() {
		return 0
	}
	return reportBytes
}

// measuring reports whether the measured time runs.
func (r *run) measuring() bool {
	since := r.clock.now - r.scenario.WarmUp
	return since >= 0 && since < r.scenario.Length
}
