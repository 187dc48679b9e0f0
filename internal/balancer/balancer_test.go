package balancer

import (
	"errors"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var start = time.Unix(1_700_000_000, 0)

func shopService() *tree.Service {
	return &tree.Service{Member: "glazenpot", Name: "shop", SlotsPerServer: 3, ConnectionsPerServer: 250}
}

func vms(names ...string) []fleet.VM {
	var list []fleet.VM
	for _, name := range names {
		list = append(list, fleet.VM{Name: name, Address: name + ":80", Zone: "a", State: fleet.Live})
	}
	return list
}

func newShopBalancer(names ...string) *Balancer {
	b := New(Options{Zone: "a"})
	b.Update(vms(names...), shopService())
	return b
}

func TestPickSpreadsAndStopsAtTheSlots(t *testing.T) {
	b := newShopBalancer("s1", "s2")
	counts := map[string]int{}
	for range 6 {
		r, ok := b.Pick(start, nil)
		if !ok {
			t.Fatal("no server with a free slot, want 6 picks at 2 servers of 3 slots")
		}
		counts[r.VM.Name]++
	}
	if counts["s1"] != 3 || counts["s2"] != 3 {
		t.Fatalf("picks %v, want 3 at each server", counts)
	}
	if r, ok := b.Pick(start, nil); ok {
		t.Fatalf("picked %s with all slots taken, want none", r.VM.Name)
	}
}

func TestDoneFreesTheSlot(t *testing.T) {
	b := newShopBalancer("s1")
	for range 10 {
		r, ok := b.Pick(start, nil)
		if !ok {
			t.Fatal("no free slot, want one after each Done")
		}
		b.Done(r, start, Result{Latency: time.Millisecond})
	}
}

func TestPickLeavesOutExcludedLeavingAndDraining(t *testing.T) {
	b := New(Options{})
	list := vms("tried", "leaving", "draining")
	list[1].State = fleet.Leaving
	b.Update(list, shopService())
	r, ok := b.Pick(start, []string{"tried"})
	if !ok || r.VM.Name != "draining" {
		t.Fatalf("picked %v, want the server draining, whose state is not reported yet", r)
	}
	b.Done(r, start, Result{HasReport: true, Report: Report{Slots: 3, Draining: true}})
	if r, ok := b.Pick(start, []string{"tried"}); ok {
		t.Fatalf("picked %s, want none", r.VM.Name)
	}
}

func TestParseReport(t *testing.T) {
	r, err := ParseReport("inflight=2, slots=3,queue=1,draining=1,new=4")
	want := Report{InFlight: 2, Slots: 3, Queue: 1, Draining: true}
	if err != nil || r != want {
		t.Fatalf("got %+v, error %v, want every known field set", r, err)
	}
	if parsed, _ := ParseReport(r.String()); parsed != r {
		t.Fatalf("%q parsed as %+v, want the same report", r.String(), parsed)
	}
	for _, bad := range []string{"", "inflight", "inflight=-1", "slots=x", "queue=99999999999999999999"} {
		var reportErr *ReportError
		if _, err := ParseReport(bad); !errors.As(err, &reportErr) {
			t.Errorf("%q: error %v, want a *ReportError", bad, err)
		}
	}
}

func TestSlowServerGetsLess(t *testing.T) {
	b := newShopBalancer("fast", "slow")
	picks := map[string]int{}
	for i := range 2000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r, ok := b.Pick(now, nil)
		if !ok {
			t.Fatal("no server picked")
		}
		picks[r.VM.Name]++
		latency := 10 * time.Millisecond
		if r.VM.Name == "slow" {
			latency = 40 * time.Millisecond
		}
		b.Done(r, now, Result{Latency: latency})
	}
	if picks["slow"]*4 > picks["fast"] {
		t.Errorf("picks %v, want at most a fifth at the slow server", picks)
	}
}

func TestEntriesShareTheConnectionsOfAServer(t *testing.T) {
	for _, c := range []struct{ entries, connections, want int }{
		{1, 250, 3}, {19, 250, 3}, {83, 250, 3}, {100, 250, 2}, {200, 250, 1}, {1000, 250, 1}, {19, 0, 3},
	} {
		b := New(Options{Entries: func() int { return c.entries }})
		svc := shopService()
		svc.ConnectionsPerServer = c.connections
		b.Update(vms("s1"), svc)
		reserved := 0
		for range 2 * maxReservations {
			if _, ok := b.Pick(start, nil); ok {
				reserved++
			}
		}
		if reserved != c.want {
			t.Errorf("%d entries, %d connections: %d reservations, want %d", c.entries, c.connections, reserved, c.want)
		}
	}
}

func TestOneSlowResponseDoesNotDivertRequests(t *testing.T) {
	b := newShopBalancer("s1", "s2")
	first, _ := b.Pick(start, nil)
	b.Done(first, start, Result{Latency: 10 * time.Millisecond})
	other, _ := b.Pick(start, []string{first.VM.Name})
	b.Done(other, start, Result{Latency: 50 * time.Millisecond})
	picks := map[string]int{}
	for range 100 {
		r, _ := b.Pick(start, nil)
		picks[r.VM.Name]++
		b.Done(r, start, Result{Latency: 10 * time.Millisecond})
	}
	if picks[other.VM.Name] < 25 {
		t.Errorf("%s got %d of 100 requests after one slow response, want at least 25", other.VM.Name, picks[other.VM.Name])
	}
}
