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
	scenario       Scenario
	service        *tree.Service
	clock          *clock
	servers        []*server // the VM list
	byName         map[string]*server
	entries        []*entry
	result         *Result
	serversCreated int
	moved          []Event // that have happened
}

// Run simulates a scenario and returns its figures.
func Run(s Scenario) *Result {
	r := newRun(s)
	end := s.WarmUp + s.Length
	for _, e := range r.entries {
		for _, rank := range []string{Payments, Lookups, Uploads} {
			e.scheduleArrivals(rank, s.callRate(rank)*s.callShare(e.index), end)
		}
		r.scheduleFlood(e)
	}
	r.scheduleRestart()
	r.scheduleEvents()
	r.clock.run(end + callerTimeout)
	for _, e := range r.entries {
		r.result.Connections.Kept += e.pool.kept(r.clock.now, s.Connections.Idle)
	}
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
		e := &entry{run: r, index: i, zone: zoneOf(i, s.Zones, s.ZoneEntries), pool: make(connectionPool)}
		e.rng = rand.New(rand.NewPCG(s.Seed, uint64(1_000_000+i)))
		e.dispatcher = newDispatcher(e)
		r.entries = append(r.entries, e)
	}
	r.updateServers()
	if s.Policy == ProductShared {
		r.startSharedProbes()
	}
	return r
}

func newDispatcher(e *entry) dispatcher {
	switch e.run.scenario.Policy {
	case Product:
		return newProductDispatcher(e)
	case ProductShared:
		q := newProductDispatcher(e)
		q.sharesReports = true
		return q
	}
	return &baselineDispatcher{entry: e, policy: e.run.scenario.Policy, inFlight: make(map[*server]int)}
}

// zoneOf returns the zone of the server or entry with that index: counts holds the number
// in each zone, and without it the zones take turns.
func zoneOf(index, zones int, counts []int) int {
	for zone, n := range counts {
		if index < n {
			return zone
		}
		index -= n
	}
	return index % zones
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (r *run) addServer() *server {
	index := r.serversCreated
	r.serversCreated++
	zone := zoneOf(index, r.scenario.Zones, r.scenario.ZoneServers)
	name := fmt.Sprintf("server-%03d", index)
	vm := fleet.VM{Name: name, Address: name, Zone: zoneName(zone), Service: r.service.Key(), State: fleet.Live}
	s := newServer(&r.scenario, r.clock, vm, zone, index, r.scenario.Seed)
	r.servers = append(r.servers, s)
	r.byName[name] = s
	return s
}

// updateServers passes the VM list to all entries.
func (r *run) updateServers() {
	for _, e := range r.entries {
		e.dispatcher.update(r.servers)
	}
}

func (r *run) scheduleFlood(e *entry) {
	f := r.scenario.Flood
	if f.Rank == "" {
		return
	}
	rate := r.scenario.floodRate() * r.scenario.callShare(e.index)
	r.clock.after(r.scenario.WarmUp+f.From, func() {
		e.scheduleArrivals(f.Rank, rate, r.scenario.WarmUp+f.Until)
	})
}

// vmListLag is the time until the VM list drops a draining server.
const vmListLag = 3 * time.Second

// scheduleRestart drains one server and adds a cold one after each Restarts interval.
func (r *run) scheduleRestart() {
	every := r.scenario.Faults.Restarts
	if every == 0 {
		return
	}
	r.clock.after(every, func() {
		leaving := r.servers[0]
		leaving.draining = true
		joining := r.addServer()
		joining.warmAt = r.clock.now + coldLength
		r.updateServers()
		r.clock.after(vmListLag, func() {
			r.servers = r.servers[1:]
			r.updateServers()
		})
		r.scheduleRestart()
	})
}

// reportBytes returns the bytes that a load report adds to one response.
func (r *run) reportBytes() int64 {
	if r.scenario.Policy != Product && r.scenario.Policy != ProductShared || r.scenario.Faults.NoReports || !r.inMeasuredTime() {
		return 0
	}
	return reportBytes
}

// inMeasuredTime reports whether the current time is between the warm-up and the end
// of the measurement.
func (r *run) inMeasuredTime() bool {
	since := r.clock.now - r.scenario.WarmUp
	return since >= 0 && since < r.scenario.Length
}
