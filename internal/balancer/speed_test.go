package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var slowdownService = &tree.Service{Member: "m", Name: "s", ConnectionsPerServer: 1000}

// newSlowdownBalancer returns a balancer of servers s0, s1 and so on in zone a, all
// reported idle and at full speed.
func newSlowdownBalancer(now time.Time, servers int) *Balancer {
	b := New(Options{Entry: "entry", Zone: "a"})
	var vms []fleet.VM
	for i := range servers {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: "a", Slots: 3})
	}
	b.UpdateAt(now, vms, slowdownService)
	for _, vm := range vms {
		b.AddReport(vm.Name, now, Report{Slots: 3, Slowdown: 100})
	}
	return b
}

const (
	nominalServiceTime = 100 * time.Millisecond
	target             = 250 * time.Millisecond
)

// Noisy neighbours slow a fifth of the servers fivefold. A request with a target must go
// to a server that can meet it, or wait.
func TestSlowedServersGetNoWorkWithATarget(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 5)
	b.AddReport("s0", now.Add(time.Millisecond), Report{Slots: 3, Slowdown: 500})
	now = now.Add(2 * time.Millisecond)
	for range 12 {
		r, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0)
		if !ok {
			t.Fatal("no server picked, want 12 picks at the 4 servers at full speed")
		}
		if r.VM.Name == "s0" {
			t.Fatal("picked s0, which is slowed and cannot meet the target")
		}
	}
	if r, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0); ok {
		t.Errorf("%s got a 13th request, want none with all slots at full speed taken", r.VM.Name)
	}
	if r, ok := b.PickWithin(now, nil, nominalServiceTime, time.Second, 0); !ok || r.VM.Name != "s0" {
		t.Error("request with a target of 1 s did not get the free slowed server s0")
	}
}

func TestStretch(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name   string
		report Report
		age    time.Duration
		want   float64
	}{
		{"at full speed and idle", Report{Slots: 3, Slowdown: 100}, 0, 1},
		{"two run", Report{InFlight: 2, Slots: 3, Slowdown: 100}, 0, initialKneeFactor},
		{"slowed fivefold", Report{Slots: 3, Slowdown: 500}, 0, 5},
		{"slowed, an old report", Report{Slots: 3, Slowdown: 500}, 2 * maxSpeedAge, 1 / 0.6},
	} {
		b := New(Options{Entry: "entry", Zone: "a"})
		b.UpdateAt(now, []fleet.VM{{Name: "s", Address: "a", Zone: "a", Slots: 3}}, slowdownService)
		b.AddReport("s", now, c.report)
		at := now.Add(c.age)
		p := b.pickParams(b.snapshot.Load(), at, math.Inf(1))
		be := b.snapshot.Load().backend("s")
		requests := float64(c.report.InFlight)
		if got := be.stretch(requests, &p); math.Abs(got-c.want) > 0.01 {
			t.Errorf("%s: stretch %.2f, want %.2f", c.name, got, c.want)
		}
	}
}

// A report that is older than the last one is ignored.
func TestOlderReportsAreIgnored(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 1)
	b.AddReport("s0", now.Add(20*time.Millisecond), Report{InFlight: 3, Slots: 3, Slowdown: 100})
	b.AddReport("s0", now.Add(10*time.Millisecond), Report{Slots: 3, Slowdown: 100})
	if r, ok := b.PickWithin(now.Add(21*time.Millisecond), nil, nominalServiceTime, target, 0); ok {
		t.Errorf("picked %s, which is full by the newer report, want none", r.VM.Name)
	}
}

// Requests sent by other entries count until the next report.
func TestSendsOfOthersFillAServer(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 1)
	b.AddPeerCounts("s0", now.Add(time.Millisecond), RequestCounts{Sent: 3})
	if _, ok := b.PickWithin(now.Add(2*time.Millisecond), nil, nominalServiceTime, target, 0); ok {
		t.Error("picked s0, whose slots are taken by requests of other entries")
	}
	b.AddReport("s0", now.Add(3*time.Millisecond), Report{InFlight: 1, Slots: 3, Slowdown: 100})
	if _, ok := b.PickWithin(now.Add(4*time.Millisecond), nil, nominalServiceTime, target, 0); !ok {
		t.Error("s0 not picked after a report with free slots")
	}
}

// Failures at other entries eject a server before this entry has had a failure there.
func TestFailuresOfOthersEject(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 6)
	for range 3 {
		b.AddPeerCounts("s0", now, RequestCounts{Failed: 4})
	}
	for range 40 {
		r, ok := b.PickWithin(now.Add(time.Millisecond), nil, nominalServiceTime, time.Second, 0)
		if !ok {
			break
		}
		if r.VM.Name == "s0" {
			t.Fatal("picked s0, which failed all requests of other entries")
		}
	}
}

// Requests with large bodies stay in the entry's availability zone while it has free slots.
func TestLargeBodiesStayInTheirZone(t *testing.T) {
	now := time.Now()
	b := New(Options{Entry: "entry", Zone: "a"})
	vms := []fleet.VM{{Name: "near", Address: "n", Zone: "a", Slots: 3}, {Name: "far", Address: "f", Zone: "b", Slots: 3}}
	b.UpdateAt(now, vms, slowdownService)
	for _, vm := range vms {
		b.AddReport(vm.Name, now, Report{Slots: 3, Slowdown: 100})
	}
	for range 2 {
		r, _ := b.PickWithin(now.Add(time.Millisecond), nil, nominalServiceTime, time.Second, 100<<10)
		if r.VM.Name != "near" {
			t.Fatalf("request with a body of 100 KB went to %s, want near", r.VM.Name)
		}
	}
}

// peerBalancers holds the balancers of several entries. The tests give all of them each
// report and each request count, as the entries' datagrams do.
type peerBalancers []*Balancer

func newPeerBalancers(now time.Time, entries, servers int) peerBalancers {
	var peers peerBalancers
	for e := range entries {
		b := newSlowdownBalancer(now, servers)
		b.SetEntryOrder(func(server string) int {
			// The order of each server starts at a different entry.
			var n int
			_, _ = fmt.Sscanf(server, "s%d", &n)
			return (e + n) % entries
		}, entries)
		peers = append(peers, b)
	}
	return peers
}

func (peers peerBalancers) addReport(now time.Time, server string, r Report) {
	for _, b := range peers {
		b.AddReport(server, now, r)
	}
}

// Thundering herd: all entries have requests waiting and are notified at the same moment that a
// full server has a free slot. Only one of them should take it.
func TestFreedPlaceIsTakenOnce(t *testing.T) {
	now := time.Now()
	const entries = 19
	peers := newPeerBalancers(now, entries, 1)
	peers.addReport(now.Add(time.Millisecond), "s0", Report{InFlight: 3, Slots: 3, Slowdown: 100})
	now = now.Add(2 * time.Millisecond)
	for _, b := range peers {
		if _, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0); ok {
			t.Fatal("picked s0, which is full, want none")
		}
	}
	peers.addReport(now.Add(time.Millisecond), "s0", Report{InFlight: 2, Slots: 3, Slowdown: 100})
	taken := 0
	// Every entry tries to pick every 2 ms; the others are notified of its request 1 ms later.
	for at := now.Add(time.Millisecond); at.Before(now.Add(60 * time.Millisecond)); at = at.Add(2 * time.Millisecond) {
		var senders []int
		for e, b := range peers {
			if _, ok := b.PickWithin(at, nil, nominalServiceTime, target, 0); ok {
				senders = append(senders, e)
			}
		}
		taken += len(senders)
		for _, sender := range senders {
			for e, b := range peers {
				if e != sender {
					b.AddPeerCounts("s0", at.Add(time.Millisecond), RequestCounts{Sent: 1})
				}
			}
		}
	}
	// The intervals of two entries may end within the same 2 ms.
	if taken < 1 || taken > 2 {
		t.Errorf("%d requests were sent to one free slot, want 1 or 2", taken)
	}
}

// Entries with the same reports spread their requests over equal servers.
func TestEntriesPreferDifferentServers(t *testing.T) {
	now := time.Now()
	const entries, servers = 19, 33
	peers := newPeerBalancers(now, entries, servers)
	counts := map[string]int{}
	for _, b := range peers {
		r, ok := b.PickWithin(now.Add(time.Millisecond), nil, nominalServiceTime, target, 0)
		if !ok {
			t.Fatal("no server picked")
		}
		counts[r.VM.Name]++
	}
	for server, n := range counts {
		if n > 4 {
			t.Errorf("%d of %d entries chose %s of %d equal servers, want at most 4", n, entries, server, servers)
		}
	}
}

// Servers shed requests although they have free slots. A server that is alone in doing so
// is avoided; if all do, requests must not wait for a better server.
func TestSheddingServerWithFreeSlots(t *testing.T) {
	now := time.Now()
	idle := Report{Slots: 3, Slowdown: 100}
	shedRequest := func(b *Balancer, server string, at time.Time) {
		var others []string
		for _, be := range b.snapshot.Load().backends {
			if be.vm.Name != server {
				others = append(others, be.vm.Name)
			}
		}
		r, ok := b.PickWithin(at, others, nominalServiceTime, target, 0)
		if !ok {
			t.Fatalf("%s was not picked, want a pick for the request to shed", server)
		}
		b.Done(r, at.Add(time.Millisecond), Result{Kind: Shed, Report: idle, HasReport: true})
	}
	one := newSlowdownBalancer(now, 4)
	all := newSlowdownBalancer(now, 4)
	at := now
	for range 20 {
		at = at.Add(5 * time.Millisecond)
		shedRequest(one, "s0", at)
		for i := range 4 {
			shedRequest(all, fmt.Sprintf("s%d", i), at)
		}
	}
	for range 6 {
		if r, ok := one.PickWithin(at, nil, nominalServiceTime, target, 0); !ok || r.VM.Name == "s0" {
			t.Error("picked s0 or none, want one of the three servers that do not shed")
		}
	}
	for n := range 12 {
		if _, ok := all.PickWithin(at.Add(2*time.Millisecond), nil, nominalServiceTime, target, 0); !ok {
			t.Fatalf("%d picks at 12 free slots where all servers shed at times, want 12", n)
		}
	}
}

// Some servers slow down when they are nearly full. If that costs more than the last slot
// gains, the slot must stay free; otherwise it must be used.
func TestLastSlotStaysFreeWhereItCostsMoreThanItGains(t *testing.T) {
	for _, c := range []struct {
		factor float64
		slots  int
	}{{1.1, 3}, {1.8, 2}} {
		now := time.Now()
		b := newSlowdownBalancer(now, 1)
		for range 200 {
			first, _ := b.PickWithin(now, nil, nominalServiceTime, time.Hour, 0)
			second, _ := b.PickWithin(now, nil, nominalServiceTime, time.Hour, 0)
			third, ok := b.PickWithin(now, nil, nominalServiceTime, time.Hour, 0)
			if ok {
				b.Done(third, now, Result{Latency: time.Duration(c.factor * float64(nominalServiceTime))})
			}
			b.Done(first, now, Result{Latency: nominalServiceTime})
			b.Done(second, now, Result{Latency: nominalServiceTime})
		}
		got := 0
		for range 4 {
			if _, ok := b.PickWithin(now, nil, nominalServiceTime, time.Hour, 0); ok {
				got++
			}
		}
		if got != c.slots {
			t.Errorf("service time factor %.1f past the knee: %d slots used, want %d", c.factor, got, c.slots)
		}
	}
}

// A request that another entry sent before the newest report is counted in that report, so
// a request count that arrives later must not be added.
func TestReportCountsEarlierSends(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 1)
	b.AddReport("s0", now.Add(20*time.Millisecond), Report{InFlight: 1, Slots: 3, Slowdown: 100})
	b.AddPeerCounts("s0", now.Add(10*time.Millisecond), RequestCounts{Sent: 1})
	b.AddPeerCounts("s0", now.Add(30*time.Millisecond), RequestCounts{Sent: 1})
	p := b.pickParams(b.snapshot.Load(), now.Add(31*time.Millisecond), math.Inf(1))
	if got := b.snapshot.Load().backend("s0").report.peerRequestsAt(&p); math.Abs(got-2) > 0.1 {
		t.Errorf("%.2f requests of other entries, want 2", got)
	}
}

// Traffic to another availability zone is charged for, so of equal servers the one in the
// entry's zone is used while it has a free slot. A slowed one in the entry's zone is not.
func TestOwnZoneFirst(t *testing.T) {
	for _, c := range []struct {
		name         string
		nearSlowdown int
		want         string
	}{
		{"equal speed", 100, "near near near far "},
		{"own zone slowed fivefold", 500, "far far far near "},
	} {
		now := time.Now()
		b := New(Options{Entry: "entry", Zone: "a"})
		b.UpdateAt(now, []fleet.VM{
			{Name: "near", Address: "a", Zone: "a", Slots: 3},
			{Name: "far", Address: "b", Zone: "b", Slots: 3},
		}, slowdownService)
		b.AddReport("near", now, Report{Slots: 3, Slowdown: c.nearSlowdown})
		b.AddReport("far", now, Report{Slots: 3, Slowdown: 100})
		got := ""
		for range 4 {
			r, ok := b.PickWithin(now, nil, nominalServiceTime, time.Second, 0)
			if !ok {
				t.Fatalf("%s: no free slot, want 4 picks", c.name)
			}
			got += r.VM.Name + " "
		}
		if got != c.want {
			t.Errorf("%s: chose %s, want %s", c.name, got, c.want)
		}
	}
}

// Other entries are expected to want the slot of a request if the server has another
// request in progress, and to want every slot while slots are scarce.
func TestContendedSlots(t *testing.T) {
	for _, c := range []struct {
		name        string
		utilization float64
		want        []bool
	}{
		{"light load", 0.2, []bool{false, true, true}},
		{"scarce slots", 0.6, []bool{true, true, true}},
	} {
		now := time.Now()
		var notified []bool
		b := newSlowdownBalancer(now, 1)
		b.utilization.update(c.utilization, 1)
		b.options.Observer = observerFunc(func(peersWantSlot bool) { notified = append(notified, peersWantSlot) })
		for range c.want {
			if _, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0); !ok {
				t.Fatal("no free slot, want 3 picks")
			}
		}
		if !slices.Equal(notified, c.want) {
			t.Errorf("%s: peersWantSlot %v, want %v", c.name, notified, c.want)
		}
	}
}

// observerFunc is an Observer of the requests that are sent.
type observerFunc func(peersWantSlot bool)

func (f observerFunc) Sent(_ string, peersWantSlot bool) { f(peersWantSlot) }

func (observerFunc) LimitNamed(string, NamedLimit, time.Time, bool) {}

func (observerFunc) WarmingUp(string, time.Duration, time.Time, bool) {}

func (observerFunc) Ended(string, Result, bool, time.Time) {}
