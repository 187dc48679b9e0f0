package loadsync

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// limitFleet simulates entries and backend servers without a network, in virtual time: the
// balancers and the heartbeats are the real ones. Requests arrive at random entries. A
// heartbeat reaches the other entries after fleetDelay, unless it is lost.
type limitFleet struct {
	t       *testing.T
	rng     *rand.Rand
	view    *cluster.View
	vms     []fleet.VM
	entries []*fleetEntry
	servers map[string]*fleetServer
	// perSecond is the rate of requests, lost the share of heartbeats that are lost.
	perSecond, lost float64
	tree            *tree.Tree
	// settledAt is when entries that start have a share of the limits of cold servers, and
	// crossZone how much later heartbeats reach the entries of other zones.
	settledAt time.Time
	crossZone time.Duration

	running   []*running
	inTransit []*delivery
	served    int
	refused   int
}

type fleetEntry struct {
	name     string
	syncer   *Syncer
	services *service.Set
	balancer *balancer.Balancer
	flush    bool
	isolated bool // its heartbeats reach nobody, and it gets none
	silent   bool // it gets no requests
	zone     string
}

type fleetServer struct {
	limit     string // the limit that it names, empty for none
	coldUntil time.Time
	arrivals  []arrival
	told      map[string]time.Time // when each entry first passed on the current limit
}

type arrival struct {
	at    time.Time
	entry string
}

type running struct {
	entry       *fleetEntry
	reservation *balancer.Reservation
	endsAt      time.Time
}

type delivery struct {
	from      *fleetEntry
	heartbeat *cluster.Heartbeat
	at        time.Time
	zone      string // empty for all but that of from
}

const (
	fleetTick        = time.Millisecond
	fleetDelay       = 2 * time.Millisecond
	fleetHeartbeat   = 67 * time.Millisecond
	fleetServiceTime = 100 * time.Millisecond
	// toldDelay is how long after an entry was told a limit its requests count.
	toldDelay = 500 * time.Millisecond
	// limitWindow is the span over which requests are counted, and limitFactor and
	// limitSlack how far the limit may be exceeded in it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

var fleetZones = []string{"a", "b", "c", "d"}

func newLimitFleet(t *testing.T, seed uint64, entries, servers int, perSecond float64) *limitFleet {
	return newFleetOf(t, testTree, seed, entries, servers, perSecond)
}

func newFleetOf(t *testing.T, settings *tree.Tree, seed uint64, entries, servers int, perSecond float64) *limitFleet {
	f := &limitFleet{
		tree: settings,
		t:    t, rng: rand.New(rand.NewPCG(seed, 1)), view: &cluster.View{Known: entries},
		servers: map[string]*fleetServer{}, perSecond: perSecond,
	}
	for i := range servers {
		vm := fleet.VM{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("a%d", i), Zone: fleetZones[i%len(fleetZones)], Service: "m/s", State: fleet.Live, Slots: 3}
		f.vms = append(f.vms, vm)
		f.servers[vm.Name] = &fleetServer{told: map[string]time.Time{}}
	}
	for i := range entries {
		f.view.Live = append(f.view.Live, cluster.LiveMember{
			Member: cluster.Member{VM: fmt.Sprintf("vm-%02d", i), Zone: fleetZones[i%len(fleetZones)]},
			Status: cluster.Status{Ready: true},
		})
	}
	for _, m := range f.view.Live {
		f.entries = append(f.entries, f.newEntry(m))
	}
	return f
}

func (f *limitFleet) newEntry(m cluster.LiveMember) *fleetEntry {
	e := &fleetEntry{name: m.VM, zone: m.Zone}
	e.syncer = New(Options{VM: m.VM, View: func() *cluster.View { return f.view }, Sender: &sender{}, Flush: func() { e.flush = true }})
	e.services = service.NewSet(service.Options{
		VM: m.VM, Zone: m.Zone, Scope: tally.NoopScope, Workers: admission.NewWorkers(),
		Entries: func() int { return len(f.view.Live) }, Observer: e.syncer, SettledAt: f.settledAt,
	})
	e.services.SetTree(f.tree)
	e.services.SetServers(serverList(f.vms))
	e.setView(f.view)
	e.syncer.Update(f.tree, e.services, f.vms)
	r, _ := e.services.Get("m/s")
	e.balancer = r.Balancer
	return e
}

// setView gives the entry its position among the members of the view.
func (e *fleetEntry) setView(v *cluster.View) {
	e.services.SetEntryOrder(service.EntryOrder{
		Position: func(server string) int { return v.Position(e.name, server) },
		Entries:  len(v.Live),
		Senders: balancer.SenderOrder{
			Position: func(server, zone string) int { return v.LocalPosition(e.name, server, zone) },
			Entries:  v.ReadyMembers(), Live: len(v.Live), Missing: v.Missing,
		},
	})
}

// run plays the fleet for that long.
func (f *limitFleet) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(fleetTick) {
		now := time.Now()
		f.deliver(now)
		f.endRequests(now)
		for f.rng.Float64() < f.perSecond*fleetTick.Seconds() {
			f.request(now)
		}
		for i, e := range f.entries {
			due := (now.UnixMilli()+int64(i))%fleetHeartbeat.Milliseconds() == 0
			if due || e.flush {
				e.flush = false
				f.sendHeartbeat(e, now)
			}
		}
	}
}

func (f *limitFleet) request(now time.Time) {
	e := f.entries[f.rng.IntN(len(f.entries))]
	if e.silent {
		return
	}
	reservation, ok := e.balancer.PickWithin(now, nil, fleetServiceTime, 5*fleetServiceTime, 0)
	if !ok {
		f.refused++
		return
	}
	server := f.servers[reservation.VM.Name]
	server.arrivals = append(server.arrivals, arrival{now, e.name})
	f.running = append(f.running, &running{e, reservation, now.Add(fleetServiceTime)})
}

func (f *limitFleet) endRequests(now time.Time) {
	f.running = slices.DeleteFunc(f.running, func(r *running) bool {
		if r.endsAt.After(now) {
			return false
		}
		name := r.reservation.VM.Name
		server, inFlight := f.servers[name], 0
		for _, other := range f.running {
			if other != r && other.reservation.VM.Name == name {
				inFlight++
			}
		}
		if _, told := server.told[r.entry.name]; server.limit != "" && !told {
			server.told[r.entry.name] = now
		}
		f.served++
		r.entry.balancer.Done(r.reservation, now, balancer.Result{
			Kind: balancer.OK, Latency: fleetServiceTime, RequestLimit: server.limit,
			HasReport: true, Report: balancer.Report{InFlight: inFlight, Slots: 3, Slowdown: 100},
			Notices: balancer.Notices{WarmUp: max(server.coldUntil.Sub(now), 0)},
		})
		return true
	})
}

func (f *limitFleet) sendHeartbeat(e *fleetEntry, now time.Time) {
	heartbeat := &cluster.Heartbeat{}
	e.syncer.Collect(heartbeat, now)
	if !e.isolated && f.rng.Float64() >= f.lost {
		f.inTransit = append(f.inTransit, &delivery{from: e, heartbeat: heartbeat, at: now.Add(fleetDelay), zone: e.zone},
			&delivery{from: e, heartbeat: heartbeat, at: now.Add(fleetDelay + f.crossZone)})
	}
}

func (f *limitFleet) deliver(now time.Time) {
	f.inTransit = slices.DeleteFunc(f.inTransit, func(d *delivery) bool {
		if d.at.After(now) {
			return false
		}
		for _, e := range f.entries {
			if e != d.from && !e.isolated && (e.zone == d.from.zone) == (d.zone != "") {
				e.syncer.Receive(d.heartbeat, now)
			}
		}
		return true
	})
}

// setLimit sets the limit that a server names; an empty one ends it.
func (f *limitFleet) setLimit(server, limit string) {
	f.servers[server].limit = limit
	f.servers[server].told = map[string]time.Time{}
}

// since returns the requests that a server got from that time on.
func (f *limitFleet) since(server string, from time.Time) int {
	n := 0
	for _, a := range f.servers[server].arrivals {
		if !a.at.Before(from) {
			n++
		}
	}
	return n
}

// checkLimit fails the test if a server got more requests than the limit allows in any
// limitWindow that begins at or after from, from entries that had passed on the limit.
func (f *limitFleet) checkLimit(server string, perSecond float64, from time.Time) {
	f.t.Helper()
	s := f.servers[server]
	var counted []time.Time
	for _, a := range s.arrivals {
		told, ok := s.told[a.entry]
		if ok && a.at.Sub(told) >= toldDelay && !a.at.Before(from) {
			counted = append(counted, a.at)
		}
	}
	allowed := int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
	for i, first := range counted {
		last := i
		for last < len(counted) && counted[last].Sub(first) < limitWindow {
			last++
		}
		if last-i > allowed {
			f.t.Errorf("%s got %d requests in %v from entries that it had told its limit of %v a second, allowed are %d",
				server, last-i, limitWindow, perSecond, allowed)
			return
		}
	}
}

// A server names a limit for the sum of all entries. Each entry chooses its servers by load
// alone, and the load of a server in need may look normal: together they sent it three times
// its limit (incident of 2026-12-04).
func TestServerLimitHoldsOverAllEntries(t *testing.T) {
	limits := map[string]float64{"s0": 2.7, "s5": 1.7, "s9": 0.4, "s14": 5, "s21": 12}
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 1, 19, 33, 221)
		f.run(3 * time.Second)
		for server, perSecond := range limits {
			f.setLimit(server, strconv.FormatFloat(perSecond, 'f', -1, 64))
		}
		f.run(time.Second)
		from := time.Now()
		const length = 12 * time.Second
		f.run(length)
		for server, perSecond := range limits {
			f.checkLimit(server, perSecond, from)
			// The server has said that it takes so many; most of them must reach it.
			if got, want := f.since(server, from), int(0.5*min(perSecond, 4)*length.Seconds()); got < want {
				t.Errorf("%s with a limit of %v a second got %d requests in %v, want at least %d", server, perSecond, got, length, want)
			}
		}
		if f.refused > 0 {
			t.Errorf("%d requests found no server, want none: the others have free slots", f.refused)
		}
	})
}

// setViews gives all entries the full view, except the one out of contact: it sees only
// itself, and the others do not see it.
func (f *limitFleet) setViews(outOfContact *fleetEntry) {
	for _, e := range f.entries {
		v := &cluster.View{Known: f.view.Known}
		for _, m := range f.view.Live {
			if (m.VM == outOfContactName(outOfContact)) == (e == outOfContact) {
				v.Live = append(v.Live, m)
			}
		}
		v.Missing = len(f.view.Live) - len(v.Live)
		e.setView(v)
	}
}

func outOfContactName(e *fleetEntry) string {
	if e == nil {
		return ""
	}
	return e.name
}

// The limit holds while it falls and rises, while heartbeats are lost, and while an entry
// restarts, is out of contact with the others or has no callers. No entry is excused here.
// When it ends, the server is used like the others within a few seconds, without a rush.
func TestServerLimitHoldsThroughDisturbances(t *testing.T) {
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playDisturbances(t, seed) })
		})
	}
}

func playDisturbances(t *testing.T, seed uint64) {
	const server = "s9"
	f := newLimitFleet(t, seed, 19, 33, 221)
	f.lost = 0.1
	steps := []struct {
		name  string
		limit float64
		begin func()
	}{
		{"named", 2.7, func() {}},
		{"fallen", 1.2, func() {}},
		{"entry out of contact", 1.2, func() {
			e := f.entries[f.rng.IntN(len(f.entries))]
			e.isolated = true
			f.setViews(e)
		}},
		{"entry back", 1.2, func() {
			for _, e := range f.entries {
				e.isolated = false
			}
			f.setViews(nil)
		}},
		{"risen", 6.5, func() {}},
		{"entry restarted", 6.5, func() {
			i := f.rng.IntN(len(f.entries))
			f.entries[i] = f.newEntry(f.view.Live[i])
		}},
		{"entries without callers", 3.3, func() {
			for _, e := range f.entries {
				e.silent = f.rng.IntN(3) == 0
			}
		}},
	}
	f.run(2 * time.Second)
	start := time.Now()
	f.run(8 * time.Second)
	usual := f.since(server, start)
	for _, step := range steps {
		step.begin()
		f.setLimit(server, strconv.FormatFloat(step.limit, 'f', -1, 64))
		f.run(3 * time.Second) // the pages' time from which a limit counts
		from := time.Now()
		f.run(8 * time.Second)
		f.checkLimit(server, step.limit, from)
		if t.Failed() {
			t.Fatalf("step %q", step.name)
		}
	}
	for _, e := range f.entries {
		e.silent = false
	}
	f.setLimit(server, "")
	ended := time.Now()
	f.run(time.Second)
	if got, most := f.since(server, ended), 20; got > most {
		t.Errorf("%d requests in the first second after the limit, want at most %d", got, most)
	}
	f.run(4 * time.Second)
	back := time.Now()
	f.run(8 * time.Second)
	if got := f.since(server, back); got < usual/2 {
		t.Errorf("%d requests in 8 s after the limit, want at least half of the %d before it", got, usual)
	}
	if f.refused > 0 {
		t.Errorf("%d requests found no server, want none: the others have free slots", f.refused)
	}
}

// A large service in which every server names a limit: the sum over all servers holds, and
// the entries use it. What goes beyond is refused.
func TestAllServersNameLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitFleet(t, 1, 19, 33, 221)
		f.run(time.Second)
		for server := range f.servers {
			f.setLimit(server, "3")
		}
		f.run(3 * time.Second)
		from, before := time.Now(), f.served
		const length = 12 * time.Second
		f.run(length)
		for server := range f.servers {
			f.checkLimit(server, 3, from)
		}
		possible := int(3 * length.Seconds() * float64(len(f.servers)))
		if got := f.served - before; got < possible*7/10 {
			t.Errorf("%d requests served, want at least 0.7 of the %d that the limits allow", got, possible)
		}
	})
}

// A limit reaches entries that have sent the server nothing, also if the first heartbeat
// with it is lost, and a joining entry learns of it from the next response to any entry.
func TestLimitTravelsByHeartbeat(t *testing.T) {
	s, vms := &sender{counts: map[string]int{}}, servers(1)
	a, _ := newSyncer("vm-0", viewOf(2, 2), vms, s)
	b, set := newSyncer("vm-1", viewOf(2, 2), vms, s)
	r, _ := set.Get("m/s")
	flushes, now := 0, time.Now()
	a.options.Flush = func() { flushes++ }
	a.LimitNamed("s0", balancer.NamedLimit{PerSecond: 2.7}, now, true)
	a.LimitNamed("gone", balancer.NamedLimit{PerSecond: 1}, now, false)
	if flushes != 1 {
		t.Errorf("%d flushes after a new limit, want 1", flushes)
	}
	a.Collect(&cluster.Heartbeat{}, now.Add(time.Millisecond)) // lost
	heartbeat := &cluster.Heartbeat{}
	a.Collect(heartbeat, now.Add(70*time.Millisecond))
	b.Receive(heartbeat, now.Add(72*time.Millisecond))
	if status := r.Balancer.Status(now.Add(72 * time.Millisecond))[0]; status.RequestLimit == nil || *status.RequestLimit != 2.7 {
		t.Errorf("status %+v at the other entry, want the limit 2.7", status)
	}
	a.LimitNamed("s0", balancer.NamedLimit{Ended: true}, now.Add(time.Second), true)
	heartbeat = &cluster.Heartbeat{}
	a.Collect(heartbeat, now.Add(time.Second))
	b.Receive(heartbeat, now.Add(time.Second+2*time.Millisecond))
	if status := r.Balancer.Status(now.Add(2 * time.Second))[0]; status.RequestLimit != nil {
		t.Errorf("status %+v at the other entry after the end, want no limit", status)
	}
	a.Collect(&cluster.Heartbeat{}, now.Add(3*time.Second))
	heartbeat = &cluster.Heartbeat{}
	a.Collect(heartbeat, now.Add(4*time.Second))
	if len(heartbeat.RequestLimits) != 0 {
		t.Errorf("limits %+v in a heartbeat long after the last response, want none", heartbeat.RequestLimits)
	}
}
