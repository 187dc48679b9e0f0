package loadsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/phase"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// sender responds to all probes with the same report and counts them by server.
type sender struct {
	mu     sync.Mutex
	counts map[string]int
	err    error
}

func (s *sender) Send(_ context.Context, vm fleet.VM, _ *tree.Service) (balancer.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[vm.Name]++
	return balancer.Report{InFlight: 2, Slots: 3, Slowdown: 100}, s.err
}

var testTree = &tree.Tree{Services: []*tree.Service{{Member: "m", Name: "s"}}}

func servers(n int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: "z", Service: "m/s", State: fleet.Live, Slots: 3})
	}
	return vms
}

type serverList []fleet.VM

func (l serverList) Servers(string) []fleet.VM { return l }

func newSyncer(self string, view *cluster.View, vms []fleet.VM, s *sender) (*Syncer, *service.Set) {
	set := service.NewSet(service.Options{VM: self, Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
	set.SetTree(testTree)
	set.SetServers(serverList(vms))
	syncer := New(Options{VM: self, View: func() *cluster.View { return view }, Sender: s})
	syncer.Update(testTree, set, vms)
	return syncer, set
}

func viewOf(n, known int) *cluster.View {
	v := &cluster.View{Known: known}
	for i := range n {
		v.Live = append(v.Live, cluster.LiveMember{Member: cluster.Member{VM: fmt.Sprintf("vm-%d", i), Zone: "z"}})
	}
	return v
}

// Each server is assigned to one entry, so the rounds of all entries probe it once.
func TestEachServerIsProbedOnce(t *testing.T) {
	// In virtual time all rounds are within the minimum age of a report.
	synctest.Test(t, func(t *testing.T) {
		s, view, vms := &sender{counts: map[string]int{}}, viewOf(5, 5), servers(12)
		for _, m := range view.Live {
			syncer, _ := newSyncer(m.VM, view, vms, s)
			// The budget may spread the probes of an entry with many servers over several rounds.
			for range 4 {
				syncer.Round(t.Context(), time.Now())
			}
		}
		for _, vm := range vms {
			if s.counts[vm.Name] != 1 {
				t.Errorf("%s was probed %d times, want once", vm.Name, s.counts[vm.Name])
			}
		}
	})
}

// After a loss of power of all VMs, 200 entries start that know no other one yet. If each took the
// 225 servers for its own and probed them, that would be 45,000 new connections within half a second.
func TestEntryThatKnowsNoOtherProbesNothingAtItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settle = time.Second
		s, view := &sender{counts: map[string]int{}}, viewOf(1, 1)
		syncer, _ := newSyncer("vm-0", view, servers(12), s)
		syncer.options.View = func() *cluster.View { return view }
		syncer.options.SettledAt = time.Now().Add(settle)
		syncer.Round(t.Context(), time.Now())
		if len(s.counts) != 0 {
			t.Errorf("%d servers probed without contact to another entry, want none", len(s.counts))
		}
		view = viewOf(4, 4)
		for range 8 {
			syncer.Round(t.Context(), time.Now())
		}
		if len(s.counts) == 0 || len(s.counts) == 12 {
			t.Errorf("%d of 12 servers probed with 4 entries in contact, want this entry's", len(s.counts))
		}
		alone := &sender{counts: map[string]int{}}
		syncer, _ = newSyncer("vm-0", viewOf(1, 1), servers(12), alone)
		syncer.options.SettledAt = time.Now().Add(settle)
		time.Sleep(settle)
		for range 8 {
			syncer.Round(t.Context(), time.Now())
		}
		if len(alone.counts) != 12 {
			t.Errorf("%d of 12 servers probed by an entry that stays alone, want all", len(alone.counts))
		}
	})
}

// countHook is a scope that calls a function at each count.
type countHook struct {
	tally.Scope
	onCount func()
}

func (h countHook) Tagged(map[string]string) tally.Scope { return h }

func (h countHook) Counter(string) tally.Counter { return h }

func (h countHook) Inc(int64) { h.onCount() }

// A round that begins while a probe is being recorded must not find its server due again:
// the probe ends and its report counts in one step.
func TestServerIsNotDueWhileItsProbeIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		syncer, _ := newSyncer("vm-0", viewOf(1, 1), servers(1), &sender{counts: map[string]int{}})
		due := 0
		syncer.options.Scope = countHook{tally.NoopScope, func() { due += len(syncer.dueTargets(time.Now())) }}
		syncer.Round(t.Context(), time.Now())
		if due != 0 {
			t.Errorf("the server was due %d times during the record of its probe, want 0", due)
		}
	})
}

// An entry that is partitioned from the others must not probe all servers at full rate.
func TestCutOffMemberProbesLittle(t *testing.T) {
	s, vms := &sender{counts: map[string]int{}}, servers(40)
	syncer, _ := newSyncer("vm-0", viewOf(1, 20), vms, s)
	const rounds = 50
	for i := range rounds {
		syncer.dueTargets(time.Now().Add(time.Duration(i) * time.Second))
		for _, target := range syncer.targets {
			if target.probing {
				s.counts[target.vm.Name]++
				target.probing = false
			}
		}
	}
	total := 0
	for _, n := range s.counts {
		total += n
	}
	// The equal share of each of 20 entries is 2 servers a round.
	const equalShare = 2 * rounds
	if total > 3*equalShare || total == 0 {
		t.Errorf("%d probes in %d rounds, want at least 1 and at most 3 times the equal share of %d", total, rounds, equalShare)
	}
}

// One heartbeat carries the reports and counts of an entry to the balancer of another.
func TestReportsTravelByBeat(t *testing.T) {
	s, vms := &sender{counts: map[string]int{}}, servers(1)
	a, _ := newSyncer("vm-0", viewOf(1, 1), vms, s)
	b, set := newSyncer("vm-1", viewOf(1, 1), vms, s)
	a.Round(t.Context(), time.Now())
	a.Sent("s0", false)
	a.Ended("s0", balancer.Result{Kind: balancer.Error}, false, time.Now())
	heartbeat := &cluster.Heartbeat{}
	a.Collect(heartbeat, time.Now())
	if len(heartbeat.Reports) != 1 || len(heartbeat.RequestCounts) != 1 || heartbeat.RequestCounts[0].Sent != 1 || heartbeat.RequestCounts[0].Failed != 1 {
		t.Fatalf("heartbeat %+v, want 1 report and the counts of 1 sent and 1 failed request", heartbeat)
	}
	b.Receive(heartbeat, time.Now())
	r, _ := set.Get("m/s")
	if !r.Balancer.ReportsSlowdown() {
		t.Error("the other entry's balancer has no slowdown report, want that of the heartbeat")
	}
	again := &cluster.Heartbeat{}
	a.Collect(again, time.Now())
	if len(again.Reports)+len(again.RequestCounts) != 0 {
		t.Errorf("second heartbeat %+v, want nothing that was sent before", again)
	}
}

// Reports and counts of unknown servers are ignored.
func TestUnknownServers(t *testing.T) {
	syncer, _ := newSyncer("vm-0", viewOf(1, 1), servers(1), &sender{counts: map[string]int{}})
	syncer.Receive(&cluster.Heartbeat{Reports: []cluster.LoadReport{{Server: 1}}, RequestCounts: []cluster.RequestCounts{{Server: 2, Sent: 1}}}, time.Now())
	syncer.Sent("gone", true)
	syncer.Ended("gone", balancer.Result{}, false, time.Now())
	heartbeat := &cluster.Heartbeat{}
	syncer.Collect(heartbeat, time.Now())
	if len(heartbeat.Reports)+len(heartbeat.RequestCounts) != 0 {
		t.Errorf("heartbeat %+v, want no reports or counts of unknown servers", heartbeat)
	}
}

// simulatedServer draws a new random slowdown every 150 ms, at its phase.
type simulatedServer struct {
	mu        sync.Mutex
	phase     time.Duration
	rng       *rand.Rand
	slowdowns map[int64]int
	probes    []time.Duration // time of each probe since the last possible change
}

func (server *simulatedServer) Send(_ context.Context, _ fleet.VM, _ *tree.Service) (balancer.Report, error) {
	server.mu.Lock()
	defer server.mu.Unlock()
	since := time.Duration(time.Now().UnixNano()) - server.phase
	period := int64(since / phase.Period)
	if server.slowdowns[period] == 0 {
		server.slowdowns[period] = 100
		if server.rng.Float64() < 0.3 {
			server.slowdowns[period] = 500
		}
	}
	server.probes = append(server.probes, since%phase.Period)
	return balancer.Report{Slots: 3, Slowdown: server.slowdowns[period]}, nil
}

// takeProbes returns the probes since the last call.
func (server *simulatedServer) takeProbes() []time.Duration {
	server.mu.Lock()
	defer server.mu.Unlock()
	probes := server.probes
	server.probes = nil
	return probes
}

// Neighbours slow a server in fixed periods. Once its phase is known, the entry must probe
// it right after each possible change and send a change immediately.
func TestProbesFollowTheRhythm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &simulatedServer{phase: 40 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 1)), slowdowns: map[int64]int{}}
		view, vms := viewOf(1, 1), servers(1)
		var flushes atomic.Int32
		set := service.NewSet(service.Options{VM: "vm-0", Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
		set.SetTree(testTree)
		set.SetServers(serverList(vms))
		syncer := New(Options{
			VM: "vm-0", View: func() *cluster.View { return view }, Sender: server,
			Flush: func() { flushes.Add(1) },
		})
		syncer.Update(testTree, set, vms)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rounds := func(n int) {
			for range n {
				syncer.Round(ctx, time.Now())
				time.Sleep(33 * time.Millisecond)
			}
		}
		rounds(200)
		server.takeProbes()
		flushes.Store(0)
		rounds(100)
		probes, soon := server.takeProbes(), 0
		for _, since := range probes {
			if since < 20*time.Millisecond {
				soon++
			}
		}
		const periods = 22 // of 100 rounds
		if soon < periods-1 {
			t.Errorf("probes within 20 ms after %d of %d possible changes, want at most one missed", soon, periods)
		}
		if limit := 2*periods + 2; len(probes) > limit {
			t.Errorf("%d probes in %d periods, want at most 2 a period and 2 more", len(probes), periods)
		}
		if flushes.Load() == 0 {
			t.Error("no flush, want at least one after a change of the speed")
		}
		cancel()
		time.Sleep(phase.Period)
	})
}

// A sent request is flushed immediately only if other entries are likely to
// want the same slot.
func TestContendedSlotIsFlushed(t *testing.T) {
	syncer, _ := newSyncer("vm-0", viewOf(1, 1), servers(1), &sender{counts: map[string]int{}})
	flushes := 0
	syncer.options.Flush = func() { flushes++ }
	syncer.Sent("s0", false)
	if flushes != 0 {
		t.Error("flushed a request at a slot that no other entry wants")
	}
	syncer.Sent("s0", true)
	if flushes != 1 {
		t.Errorf("%d flushes after a request at a slot that other entries want, want 1", flushes)
	}
	heartbeat := &cluster.Heartbeat{}
	syncer.Collect(heartbeat, time.Now())
	if len(heartbeat.RequestCounts) != 1 || heartbeat.RequestCounts[0].Sent != 2 {
		t.Errorf("request counts %+v in the heartbeat, want 2 sent to one server", heartbeat.RequestCounts)
	}
}

// Servers are reassigned only a few times a second, however often the entries change.
func TestDealsAreBounded(t *testing.T) {
	view := viewOf(1, 1)
	s := &sender{counts: map[string]int{}}
	syncer, _ := newSyncer("vm-0", view, servers(12), s)
	now, assignments := time.Now(), 0
	var last time.Time
	for i := range 40 {
		syncer.options.View = func() *cluster.View { return viewOf(i%20+1, 20) }
		syncer.dueTargets(now)
		if syncer.assignedAt != last {
			last = syncer.assignedAt
			assignments++
		}
		now = now.Add(33 * time.Millisecond)
	}
	if limit := int(40*33*time.Millisecond/assignInterval) + 1; assignments > limit {
		t.Errorf("%d assignments, want at most %d", assignments, limit)
	}
}
