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

var pacedService = &tree.Service{Member: "m", Name: "s", ConnectionsPerServer: 1000}

// pacedBalancer has servers s0, s1 and so on in zone a, all reported quick and idle.
func pacedBalancer(now time.Time, servers int) *Balancer {
	b := New(Options{Entry: "entry", Zone: "a"})
	var vms []fleet.VM
	for i := range servers {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: "a", Slots: 3})
	}
	b.UpdateAt(now, vms, pacedService)
	for _, vm := range vms {
		b.AddReport(vm.Name, now, Report{Slots: 3, Slowdown: 100})
	}
	return b
}

const (
	usualWork = 100 * time.Millisecond
	target    = 250 * time.Millisecond
)

// Pattern: neighbours slow a fifth of the servers fivefold. A request that has a
// target goes where it can meet it, or nowhere yet.
func TestSlowedServersGetNoWorkWithATarget(t *testing.T) {
	now := time.Now()
	b := pacedBalancer(now, 5)
	b.AddReport("s0", now.Add(time.Millisecond), Report{Slots: 3, Slowdown: 500})
	now = now.Add(2 * time.Millisecond)
	for range 12 {
		s, ok := b.PickWithin(now, nil, usualWork, target, 0)
		if !ok {
			t.Fatal("quick servers have 12 slots")
		}
		if s.VM.Name == "s0" {
			t.Fatal("a slowed server got a request that it can't answer in time")
		}
	}
	if s, ok := b.PickWithin(now, nil, usualWork, target, 0); ok {
		t.Errorf("%s got a 13th request", s.VM.Name)
	}
	if s, ok := b.PickWithin(now, nil, usualWork, time.Second, 0); !ok || s.VM.Name != "s0" {
		t.Error("a request with time did not go to the slowed server, which is free")
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
		{"quick and idle", Report{Slots: 3, Slowdown: 100}, 0, 1},
		{"two run", Report{InFlight: 2, Slots: 3, Slowdown: 100}, 0, firstKnee},
		{"slowed fivefold", Report{Slots: 3, Slowdown: 500}, 0, 5},
		{"slowed, an old report", Report{Slots: 3, Slowdown: 500}, 2 * paceFresh, 1 / 0.6},
	} {
		b := New(Options{Entry: "entry", Zone: "a"})
		b.UpdateAt(now, []fleet.VM{{Name: "s", Address: "a", Zone: "a", Slots: 3}}, pacedService)
		b.AddReport("s", now, c.report)
		at := now.Add(c.age)
		v := b.view(b.snapshot.Load(), at, math.Inf(1))
		h := b.snapshot.Load().host("s")
		before := float64(c.report.InFlight)
		if got := h.stretch(before, &v); math.Abs(got-c.want) > 0.01 {
			t.Errorf("%s: stretch %.2f, want %.2f", c.name, got, c.want)
		}
	}
}

// A report that is older than what is known changes nothing.
func TestOlderReportsArePassedOver(t *testing.T) {
	now := time.Now()
	b := pacedBalancer(now, 1)
	b.AddReport("s0", now.Add(20*time.Millisecond), Report{InFlight: 3, Slots: 3, Slowdown: 100})
	b.AddReport("s0", now.Add(10*time.Millisecond), Report{Slots: 3, Slowdown: 100})
	if s, ok := b.PickWithin(now.Add(21*time.Millisecond), nil, usualWork, target, 0); ok {
		t.Errorf("%s is full by the newer report and got a request", s.VM.Name)
	}
}

// What others send counts until the next report.
func TestSendsOfOthersFillAServer(t *testing.T) {
	now := time.Now()
	b := pacedBalancer(now, 1)
	b.AddPeerCounts("s0", now.Add(time.Millisecond), RequestCounts{Sent: 3})
	if _, ok := b.PickWithin(now.Add(2*time.Millisecond), nil, usualWork, target, 0); ok {
		t.Error("a server that others have filled got a request")
	}
	b.AddReport("s0", now.Add(3*time.Millisecond), Report{InFlight: 1, Slots: 3, Slowdown: 100})
	if _, ok := b.PickWithin(now.Add(4*time.Millisecond), nil, usualWork, target, 0); !ok {
		t.Error("the next report did not free the places")
	}
}

// Failures that others see take a server out before each entry has failed there.
func TestFailuresOfOthersEject(t *testing.T) {
	now := time.Now()
	b := pacedBalancer(now, 6)
	for range 3 {
		b.AddPeerCounts("s0", now, RequestCounts{Failed: 4})
	}
	for range 40 {
		s, ok := b.PickWithin(now.Add(time.Millisecond), nil, usualWork, time.Second, 0)
		if !ok {
			break
		}
		if s.VM.Name == "s0" {
			t.Fatal("a server that fails all requests of others got one")
		}
	}
}

// Bodies stay in their availability zone while it has room.
func TestLargeBodiesStayNear(t *testing.T) {
	now := time.Now()
	b := New(Options{Entry: "entry", Zone: "a"})
	vms := []fleet.VM{{Name: "near", Address: "n", Zone: "a", Slots: 3}, {Name: "far", Address: "f", Zone: "b", Slots: 3}}
	b.UpdateAt(now, vms, pacedService)
	for _, vm := range vms {
		b.AddReport(vm.Name, now, Report{Slots: 3, Slowdown: 100})
	}
	for range 2 {
		s, _ := b.PickWithin(now.Add(time.Millisecond), nil, usualWork, time.Second, 100<<10)
		if s.VM.Name != "near" {
			t.Fatalf("a body of 100 KB went to %s", s.VM.Name)
		}
	}
}

// pacedFleet is entries that share reports and sends at once, as the mesh does within
// a datagram's time.
type pacedFleet []*Balancer

func newPacedFleet(now time.Time, entries, servers int) pacedFleet {
	var f pacedFleet
	for e := range entries {
		b := pacedBalancer(now, servers)
		b.SetEntryOrder(func(server string) int {
			// Each server begins its order at another entry.
			var n int
			_, _ = fmt.Sscanf(server, "s%d", &n)
			return (e + n) % entries
		}, entries)
		f = append(f, b)
	}
	return f
}

func (f pacedFleet) hear(now time.Time, server string, r Report) {
	for _, b := range f {
		b.AddReport(server, now, r)
	}
}

// Pattern: herd on news. All entries have work waiting and learn at the same
// moment that one full server has a free place: one of them takes it.
func TestFreedPlaceIsTakenOnce(t *testing.T) {
	now := time.Now()
	const entries = 19
	f := newPacedFleet(now, entries, 1)
	f.hear(now.Add(time.Millisecond), "s0", Report{InFlight: 3, Slots: 3, Slowdown: 100})
	now = now.Add(2 * time.Millisecond)
	for _, b := range f {
		if _, ok := b.PickWithin(now, nil, usualWork, target, 0); ok {
			t.Fatal("a full server took a request")
		}
	}
	f.hear(now.Add(time.Millisecond), "s0", Report{InFlight: 2, Slots: 3, Slowdown: 100})
	taken := 0
	// Every entry looks each 2 ms; a send is known to the others 1 ms later.
	for at := now.Add(time.Millisecond); at.Before(now.Add(60 * time.Millisecond)); at = at.Add(2 * time.Millisecond) {
		var senders []int
		for e, b := range f {
			if _, ok := b.PickWithin(at, nil, usualWork, target, 0); ok {
				senders = append(senders, e)
			}
		}
		taken += len(senders)
		for _, sender := range senders {
			for e, b := range f {
				if e != sender {
					b.AddPeerCounts("s0", at.Add(time.Millisecond), RequestCounts{Sent: 1})
				}
			}
		}
	}
	// Two entries may have their turn within one look.
	if taken < 1 || taken > 2 {
		t.Errorf("%d requests took one free place", taken)
	}
}

// Pattern: equal servers. Entries that all know the same spread their requests.
func TestEntriesPreferDifferentServers(t *testing.T) {
	now := time.Now()
	const entries, servers = 19, 33
	f := newPacedFleet(now, entries, servers)
	counts := map[string]int{}
	for _, b := range f {
		s, ok := b.PickWithin(now.Add(time.Millisecond), nil, usualWork, target, 0)
		if !ok {
			t.Fatal("no server")
		}
		counts[s.VM.Name]++
	}
	for server, n := range counts {
		if n > 4 {
			t.Errorf("%d of %d entries chose %s of %d equal servers", n, entries, server, servers)
		}
	}
}

// Pattern: servers refuse work although they have room. One that does so alone is
// avoided; where all do it, none is kept waiting.
func TestRefusalsWithRoom(t *testing.T) {
	now := time.Now()
	idle := Report{Slots: 3, Slowdown: 100}
	refuse := func(b *Balancer, server string, at time.Time) {
		var others []string
		for _, h := range b.snapshot.Load().hosts {
			if h.vm.Name != server {
				others = append(others, h.vm.Name)
			}
		}
		s, ok := b.PickWithin(at, others, usualWork, target, 0)
		if !ok {
			t.Fatalf("%s took no request", server)
		}
		b.Done(s, at.Add(time.Millisecond), Result{Kind: Shed, Report: idle, HasReport: true})
	}
	one := pacedBalancer(now, 4)
	all := pacedBalancer(now, 4)
	at := now
	for range 20 {
		at = at.Add(5 * time.Millisecond)
		refuse(one, "s0", at)
		for i := range 4 {
			refuse(all, fmt.Sprintf("s%d", i), at)
		}
	}
	for range 6 {
		if s, ok := one.PickWithin(at, nil, usualWork, target, 0); !ok || s.VM.Name == "s0" {
			t.Error("the one server that refuses was chosen beside three that do not")
		}
	}
	for n := range 12 {
		if _, ok := all.PickWithin(at.Add(2*time.Millisecond), nil, usualWork, target, 0); !ok {
			t.Fatalf("%d of 12 free places were given out where all servers refuse at times", n)
		}
	}
}

// Pattern: some servers work slower when they are nearly full. Where that costs more
// than the further slot gains, it stays free; elsewhere it is used.
func TestKneeIsMeasured(t *testing.T) {
	for _, c := range []struct {
		factor float64
		places int
	}{{1.1, 3}, {1.8, 2}} {
		now := time.Now()
		b := pacedBalancer(now, 1)
		for range 200 {
			first, _ := b.PickWithin(now, nil, usualWork, time.Hour, 0)
			second, _ := b.PickWithin(now, nil, usualWork, time.Hour, 0)
			third, ok := b.PickWithin(now, nil, usualWork, time.Hour, 0)
			if ok {
				b.Done(third, now, Result{Latency: time.Duration(c.factor * float64(usualWork))})
			}
			b.Done(first, now, Result{Latency: usualWork})
			b.Done(second, now, Result{Latency: usualWork})
		}
		got := 0
		for range 4 {
			if _, ok := b.PickWithin(now, nil, usualWork, time.Hour, 0); ok {
				got++
			}
		}
		if got != c.places {
			t.Errorf("work that begins past the knee takes %.1f: %d places used, want %d", c.factor, got, c.places)
		}
	}
}

// A request that another entry sent before the newest report was made is counted in
// it, however late the news of it comes.
func TestReportCountsEarlierSends(t *testing.T) {
	now := time.Now()
	b := pacedBalancer(now, 1)
	b.AddReport("s0", now.Add(20*time.Millisecond), Report{InFlight: 1, Slots: 3, Slowdown: 100})
	b.AddPeerCounts("s0", now.Add(10*time.Millisecond), RequestCounts{Sent: 1})
	b.AddPeerCounts("s0", now.Add(30*time.Millisecond), RequestCounts{Sent: 1})
	v := b.view(b.snapshot.Load(), now.Add(31*time.Millisecond), math.Inf(1))
	if got := b.snapshot.Load().host("s0").report.othersAt(&v); math.Abs(got-2) > 0.1 {
		t.Errorf("%.2f requests of others, want 2", got)
	}
}

// Bytes to another availability zone have a price, so an equal server of the own zone
// is used as long as it has a free place; a slowed one is not.
func TestOwnZoneFirst(t *testing.T) {
	for _, c := range []struct {
		name         string
		nearSlowdown int
		want         string
	}{
		{"equal pace", 100, "near near near far "},
		{"own zone slowed fivefold", 500, "far far far near "},
	} {
		now := time.Now()
		b := New(Options{Entry: "entry", Zone: "a"})
		b.UpdateAt(now, []fleet.VM{
			{Name: "near", Address: "a", Zone: "a", Slots: 3},
			{Name: "far", Address: "b", Zone: "b", Slots: 3},
		}, pacedService)
		b.AddReport("near", now, Report{Slots: 3, Slowdown: c.nearSlowdown})
		b.AddReport("far", now, Report{Slots: 3, Slowdown: 100})
		got := ""
		for range 4 {
			s, ok := b.PickWithin(now, nil, usualWork, time.Second, 0)
			if !ok {
				t.Fatalf("%s: no place", c.name)
			}
			got += s.VM.Name + " "
		}
		if got != c.want {
			t.Errorf("%s: chose %s, want %s", c.name, got, c.want)
		}
	}
}

// The others are told at once of a request at a server that has another in progress,
// and of each while slots are scarce.
func TestContendedPlaces(t *testing.T) {
	for _, c := range []struct {
		name string
		busy float64
		want []bool
	}{
		{"light load", 0.2, []bool{false, true, true}},
		{"scarce slots", 0.6, []bool{true, true, true}},
	} {
		now := time.Now()
		var told []bool
		b := pacedBalancer(now, 1)
		b.busy.learn(c.busy, 1)
		b.options.Observer = watcher(func(contended bool) { told = append(told, contended) })
		for range c.want {
			if _, ok := b.PickWithin(now, nil, usualWork, target, 0); !ok {
				t.Fatal("no place")
			}
		}
		if !slices.Equal(told, c.want) {
			t.Errorf("%s: told %v, want %v", c.name, told, c.want)
		}
	}
}

// watcher looks at requests that are sent.
type watcher func(contended bool)

func (w watcher) Sent(_ string, contended bool) { w(contended) }

func (watcher) Ended(string, Result, bool, time.Time) {}
