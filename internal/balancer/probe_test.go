package balancer

import (
	"fmt"
	"testing"
	"time"
)

func TestProbesVisitSilentServersInTurn(t *testing.T) {
	b := newShopBalancer("s1", "s2", "s3")
	seen := map[string]bool{}
	for range 3 {
		vm, ok := b.ProbeNext(start)
		if !ok || seen[vm.Name] {
			t.Fatalf("probe of %q, %v; want a server other than those probed: %v", vm.Name, ok, seen)
		}
		seen[vm.Name] = true
	}
	if vm, ok := b.ProbeNext(start.Add(staleReportAge / 2)); ok {
		t.Fatalf("probe of %s, want none within staleReportAge", vm.Name)
	}
	r, _ := b.Pick(start, nil)
	b.Done(r, start.Add(staleReportAge), Result{HasReport: true, Report: Report{Slots: 3}})
	for range 2 {
		if vm, ok := b.ProbeNext(start.Add(staleReportAge)); !ok || vm.Name == r.VM.Name {
			t.Fatalf("probe of %q, %v; want a server other than %s, which has a fresh report", vm.Name, ok, r.VM.Name)
		}
	}
}

func TestProbeReportsThatAServerDrainsAndStays(t *testing.T) {
	var notified []string
	b := New(Options{OnDraining: func(server string) { notified = append(notified, server) }})
	b.Update(vms("s1"), shopService())
	b.ProbeSucceeded("s1", start, Report{Slots: 3, Draining: true})
	if _, ok := b.Pick(start, nil); ok || len(notified) != 1 {
		t.Fatalf("draining server picked, or draining notifications %v, want no pick and 1 notification", notified)
	}
	b.ProbeSucceeded("s1", start, Report{Slots: 3})
	if _, ok := b.Pick(start, nil); !ok {
		t.Fatal("server not picked after it reported that it no longer drains")
	}
}

// TestProbeLoadNeedsReports checks that in a service whose responses carry no load reports
// a server that a probe found idle gets no more than its share of requests.
func TestProbeLoadNeedsReports(t *testing.T) {
	b := newShopBalancer("s1", "s2", "s3", "s4")
	for _, name := range []string{"s2", "s3", "s4"} {
		b.ProbeSucceeded(name, start, Report{InFlight: 3, Slots: 3})
	}
	b.ProbeSucceeded("s1", start, Report{Slots: 3})
	picks := map[string]int{}
	for range 8 {
		r, _ := b.Pick(start, nil)
		picks[r.VM.Name]++
	}
	if picks["s1"] != 2 {
		t.Errorf("picks %v, want 2 at each server", picks)
	}
}

func TestSheddingServerIsAvoided(t *testing.T) {
	b := newShopBalancer("s1", "s2")
	r, _ := b.Pick(start, nil)
	b.Done(r, start, Result{Kind: Shed})
	for range 3 {
		other, ok := b.Pick(start, nil)
		if !ok || other.VM.Name == r.VM.Name {
			t.Fatalf("picked %v, want the server that did not just shed a request", other)
		}
	}
	if _, ok := b.Pick(start, []string{"s1", "s2"}[:1]); !ok {
		t.Fatal("no server picked, want the penalized one to remain available")
	}
}

func TestPickSpillsPastTheFirstServers(t *testing.T) {
	var names []string
	for i := range 2 * maxFirstScan {
		names = append(names, fmt.Sprintf("s%02d", i))
	}
	b := newShopBalancer(names...)
	for n := range 3 * len(names) {
		if _, ok := b.Pick(start, nil); !ok {
			t.Fatalf("no free slot after %d of %d picks", n, 3*len(names))
		}
	}
	if _, ok := b.Pick(start, nil); ok {
		t.Fatal("picked a server with all slots taken, want none")
	}
}

func TestPickBelowLeavesBusyServersAlone(t *testing.T) {
	b := newShopBalancer("s1")
	for n := range 2 {
		if _, ok := b.PickBelow(start.Add(time.Second), nil, 2); !ok {
			t.Fatalf("no server picked at a load of %d, want one below the limit of 2", n)
		}
	}
	if _, ok := b.PickBelow(start.Add(time.Second), nil, 2); ok {
		t.Fatal("picked a server at the load limit of 2, want none")
	}
}
