package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestProbesVisitSilentServersInTurn(t *testing.T) {
	b := newShop("s1", "s2", "s3")
	seen := map[string]bool{}
	for range 3 {
		vm, ok := b.ProbeNext(start)
		if !ok || seen[vm.Name] {
			t.Fatalf("probe of %q, %v after %v", vm.Name, ok, seen)
		}
		seen[vm.Name] = true
	}
	if vm, ok := b.ProbeNext(start.Add(probeAge / 2)); ok {
		t.Fatalf("%s was probed again at once", vm.Name)
	}
	s, _ := b.Pick(start, nil)
	b.Done(s, start.Add(probeAge), Result{HasReport: true, Report: Report{Slots: 3}})
	for range 2 {
		if vm, ok := b.ProbeNext(start.Add(probeAge)); !ok || vm.Name == s.VM.Name {
			t.Fatalf("probe of %q, %v; the load of %s is known", vm.Name, ok, s.VM.Name)
		}
	}
}

func TestProbeTellsThatAServerDrainsAndStays(t *testing.T) {
	var told []string
	b := New(Options{OnDraining: func(server string) { told = append(told, server) }})
	b.Update(vms("s1"), shop())
	b.ProbeAnswered("s1", start, Report{Slots: 3, Draining: true})
	if _, ok := b.Pick(start, nil); ok || len(told) != 1 {
		t.Fatalf("a draining server was picked, or not told of: %v", told)
	}
	b.ProbeAnswered("s1", start, Report{Slots: 3})
	if _, ok := b.Pick(start, nil); !ok {
		t.Fatal("a server that stopped draining stays out")
	}
}

// TestProbeLoadNeedsReports shows that without reports on answers a server that
// a probe found idle draws no more than its part.
func TestProbeLoadNeedsReports(t *testing.T) {
	b := newShop("s1", "s2", "s3", "s4")
	for _, name := range []string{"s2", "s3", "s4"} {
		b.ProbeAnswered(name, start, Report{InFlight: 3, Slots: 3})
	}
	b.ProbeAnswered("s1", start, Report{Slots: 3})
	picks := map[string]int{}
	for range 8 {
		s, _ := b.Pick(start, nil)
		picks[s.VM.Name]++
	}
	if picks["s1"] != 2 {
		t.Errorf("picks %v, want two each", picks)
	}
}

func TestShedHoldsTheServer(t *testing.T) {
	b := newShop("s1", "s2")
	s, _ := b.Pick(start, nil)
	b.Done(s, start, Result{Kind: Shed})
	for range 3 {
		other, ok := b.Pick(start, nil)
		if !ok || other.VM.Name == s.VM.Name {
			t.Fatalf("picked %v right after it shed", other)
		}
	}
	if _, ok := b.Pick(start, []string{"s1", "s2"}[:1]); !ok {
		t.Fatal("no server left although one is only held")
	}
}

func TestPickSpillsPastTheFirstServers(t *testing.T) {
	var names []string
	for i := range 2 * maxScan {
		names = append(names, fmt.Sprintf("s%02d", i))
	}
	b := newShop(names...)
	for n := range 3 * len(names) {
		if _, ok := b.Pick(start, nil); !ok {
			t.Fatalf("no place found after %d of %d", n, 3*len(names))
		}
	}
	if _, ok := b.Pick(start, nil); ok {
		t.Fatal("picked past all slots")
	}
}

func TestPickBelowLeavesBusyServersAlone(t *testing.T) {
	b := newShop("s1")
	for n := range 2 {
		if _, ok := b.PickBelow(start.Add(time.Second), nil, 2); !ok {
			t.Fatalf("refused at a load of %d", n)
		}
	}
	if _, ok := b.PickBelow(start.Add(time.Second), nil, 2); ok {
		t.Fatal("picked at the limit")
	}
}
