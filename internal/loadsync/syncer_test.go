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

// sender answers probes with one report and counts them by server.
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

var observed = &tree.Tree{Services: []*tree.Service{{Member: "m", Name: "s"}}}

func servers(n int) []fleet.VM {
	var vms []fleet.VM
	for i := range n {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: "z", Service: "m/s", State: fleet.Live, Slots: 3})
	}
	return vms
}

type list []fleet.VM

func (l list) Servers(string) []fleet.VM { return l }

func newObserver(self string, view *cluster.View, vms []fleet.VM, s *sender) (*Syncer, *service.Set) {
	set := service.NewSet(service.Options{VM: self, Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
	set.SetTree(observed)
	set.SetServers(list(vms))
	o := New(Options{Self: self, View: func() *cluster.View { return view }, Sender: s})
	o.Update(observed, set, vms)
	return o, set
}

func viewOf(n, known int) *cluster.View {
	v := &cluster.View{Known: known}
	for i := range n {
		v.Live = append(v.Live, cluster.LiveMember{Member: cluster.Member{VM: fmt.Sprintf("vm-%d", i), Zone: "z"}})
	}
	return v
}

// Each server has one observer, so one round of all members probes it once.
func TestEachServerIsProbedOnce(t *testing.T) {
	s, view, vms := &sender{counts: map[string]int{}}, viewOf(5, 5), servers(12)
	for _, m := range view.Live {
		o, _ := newObserver(m.VM, view, vms, s)
		// The budget lets one member with many servers take some rounds.
		for range 4 {
			o.Round(t.Context(), time.Now())
		}
	}
	for _, vm := range vms {
		if s.counts[vm.Name] != 1 {
			t.Errorf("%s was probed %d times", vm.Name, s.counts[vm.Name])
		}
	}
}

// A member that is cut off from the others does not probe all servers at full rate.
func TestCutOffMemberProbesLittle(t *testing.T) {
	s, vms := &sender{counts: map[string]int{}}, servers(40)
	o, _ := newObserver("vm-0", viewOf(1, 20), vms, s)
	const rounds = 50
	for i := range rounds {
		o.due(time.Now().Add(time.Duration(i) * time.Second))
		for _, target := range o.targets {
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
	// Each of 20 members has an equal part of 2 servers a round.
	const equalPart = 2 * rounds
	if total > 3*equalPart || total == 0 {
		t.Errorf("%d probes in %d rounds, an equal part is %d", total, rounds, equalPart)
	}
}

// What one member learns reaches the choice of another by one beat.
func TestReportsTravelByBeat(t *testing.T) {
	s, vms := &sender{counts: map[string]int{}}, servers(1)
	a, _ := newObserver("vm-0", viewOf(1, 1), vms, s)
	b, set := newObserver("vm-1", viewOf(1, 1), vms, s)
	a.Round(t.Context(), time.Now())
	a.Sent("s0", false)
	a.Ended("s0", balancer.Result{Kind: balancer.Error}, false, time.Now())
	beat := &cluster.Heartbeat{}
	a.Collect(beat, time.Now())
	if len(beat.Reports) != 1 || len(beat.RequestCounts) != 1 || beat.RequestCounts[0].Sent != 1 || beat.RequestCounts[0].Failed != 1 {
		t.Fatalf("the beat carries %+v", beat)
	}
	b.Receive(beat, time.Now())
	r, _ := set.Get("m/s")
	if !r.Balancer.ReportsSlowdown() {
		t.Error("the other member knows nothing of the server's pace")
	}
	again := &cluster.Heartbeat{}
	a.Collect(again, time.Now())
	if len(again.Reports)+len(again.RequestCounts) != 0 {
		t.Errorf("told twice: %+v", again)
	}
}

// A beat about servers that this member does not know is passed over.
func TestUnknownServers(t *testing.T) {
	o, _ := newObserver("vm-0", viewOf(1, 1), servers(1), &sender{counts: map[string]int{}})
	o.Receive(&cluster.Heartbeat{Reports: []cluster.LoadReport{{Server: 1}}, RequestCounts: []cluster.RequestCounts{{Server: 2, Sent: 1}}}, time.Now())
	o.Sent("gone", true)
	o.Ended("gone", balancer.Result{}, false, time.Now())
	beat := &cluster.Heartbeat{}
	o.Collect(beat, time.Now())
	if len(beat.Reports)+len(beat.RequestCounts) != 0 {
		t.Errorf("%+v", beat)
	}
}

// host is a server whose pace is drawn anew every 150 ms, from a place of its own on.
type host struct {
	mu    sync.Mutex
	place time.Duration
	rng   *rand.Rand
	pace  map[int64]int
	asked []time.Duration // since the last possible change
}

func (h *host) Send(_ context.Context, _ fleet.VM, _ *tree.Service) (balancer.Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := time.Duration(time.Now().UnixNano()) - h.place
	period := int64(since / phase.Period)
	if h.pace[period] == 0 {
		h.pace[period] = 100
		if h.rng.Float64() < 0.3 {
			h.pace[period] = 500
		}
	}
	h.asked = append(h.asked, since%phase.Period)
	return balancer.Report{Slots: 3, Slowdown: h.pace[period]}, nil
}

// taken returns when the host was asked since the last call.
func (h *host) taken() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	asked := h.asked
	h.asked = nil
	return asked
}

// Pattern: neighbours that slow a server in fixed periods. Once the rhythm is known the
// observer asks right after each possible change and tells a change at once.
func TestProbesFollowTheRhythm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &host{place: 40 * time.Millisecond, rng: rand.New(rand.NewPCG(1, 1)), pace: map[int64]int{}}
		view, vms := viewOf(1, 1), servers(1)
		var flushes atomic.Int32
		set := service.NewSet(service.Options{VM: "vm-0", Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
		set.SetTree(observed)
		set.SetServers(list(vms))
		o := New(Options{
			Self: "vm-0", View: func() *cluster.View { return view }, Sender: h,
			Flush: func() { flushes.Add(1) },
		})
		o.Update(observed, set, vms)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		rounds := func(n int) {
			for range n {
				o.Round(ctx, time.Now())
				time.Sleep(33 * time.Millisecond)
			}
		}
		rounds(200)
		h.taken()
		flushes.Store(0)
		rounds(100)
		asked, soon := h.taken(), 0
		for _, since := range asked {
			if since < 20*time.Millisecond {
				soon++
			}
		}
		const periods = 22 // of 100 rounds
		if soon < periods-1 {
			t.Errorf("asked soon after %d of %d possible changes", soon, periods)
		}
		if most := 2*periods + 2; len(asked) > most {
			t.Errorf("asked %d times in %d periods", len(asked), periods)
		}
		if flushes.Load() == 0 {
			t.Error("no change was told at once")
		}
		cancel()
		time.Sleep(phase.Period)
	})
}

// A send is told at once only where the place is contended.
func TestContendedPlaceIsTold(t *testing.T) {
	o, _ := newObserver("vm-0", viewOf(1, 1), servers(1), &sender{counts: map[string]int{}})
	flushes := 0
	o.options.Flush = func() { flushes++ }
	o.Sent("s0", false)
	if flushes != 0 {
		t.Error("told at once though nobody wants the place")
	}
	o.Sent("s0", true)
	if flushes != 1 {
		t.Errorf("told %d times that a contended place is taken", flushes)
	}
	beat := &cluster.Heartbeat{}
	o.Collect(beat, time.Now())
	if len(beat.RequestCounts) != 1 || beat.RequestCounts[0].Sent != 2 {
		t.Errorf("the beat carries %+v", beat.RequestCounts)
	}
}

// Servers are dealt out anew a few times a second, however often the members change.
func TestDealsAreBounded(t *testing.T) {
	view := viewOf(1, 1)
	s := &sender{counts: map[string]int{}}
	o, _ := newObserver("vm-0", view, servers(12), s)
	now, deals := time.Now(), 0
	var last time.Time
	for i := range 40 {
		o.options.View = func() *cluster.View { return viewOf(i%20+1, 20) }
		o.due(now)
		if o.dealt != last {
			last = o.dealt
			deals++
		}
		now = now.Add(33 * time.Millisecond)
	}
	if most := int(40*33*time.Millisecond/dealInterval) + 1; deals > most {
		t.Errorf("dealt %d times, at most %d", deals, most)
	}
}
