package balancer

import (
	"errors"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var start = time.Unix(1_700_000_000, 0)

func shop() *tree.Service {
	return &tree.Service{Member: "glazenpot", Name: "shop", SlotsPerServer: 3, ConnectionsPerServer: 250}
}

func vms(names ...string) []fleet.VM {
	var list []fleet.VM
	for _, name := range names {
		list = append(list, fleet.VM{Name: name, Address: name + ":80", Zone: "a", State: fleet.Live})
	}
	return list
}

func newShop(names ...string) *Balancer {
	b := New(Options{Zone: "a"})
	b.Update(vms(names...), shop())
	return b
}

func TestPickSpreadsAndStopsAtTheSlots(t *testing.T) {
	b := newShop("s1", "s2")
	counts := map[string]int{}
	for range 6 {
		s, ok := b.Pick(start, nil)
		if !ok {
			t.Fatal("no server with free slots left")
		}
		counts[s.VM.Name]++
	}
	if counts["s1"] != 3 || counts["s2"] != 3 {
		t.Fatalf("picks %v, want 3 each", counts)
	}
	if s, ok := b.Pick(start, nil); ok {
		t.Fatalf("picked %s past its slots", s.VM.Name)
	}
}

func TestDoneFreesThePlace(t *testing.T) {
	b := newShop("s1")
	for range 10 {
		s, ok := b.Pick(start, nil)
		if !ok {
			t.Fatal("place was not freed")
		}
		b.Done(s, start, Result{Latency: time.Millisecond})
	}
}

func TestPickLeavesOutExcludedLeavingAndDraining(t *testing.T) {
	b := New(Options{})
	list := vms("tried", "leaving", "draining")
	list[1].State = fleet.Leaving
	b.Update(list, shop())
	s, ok := b.Pick(start, []string{"tried"})
	if !ok || s.VM.Name != "draining" {
		t.Fatalf("picked %v, want the third server", s)
	}
	b.Done(s, start, Result{HasReport: true, Report: Report{Slots: 3, Draining: true}})
	if s, ok := b.Pick(start, []string{"tried"}); ok {
		t.Fatalf("picked %s, want none", s.VM.Name)
	}
}

func TestParseReport(t *testing.T) {
	r, err := ParseReport("inflight=2, slots=3,queue=1,draining=1,new=4")
	want := Report{InFlight: 2, Slots: 3, Queue: 1, Draining: true}
	if err != nil || r != want {
		t.Fatalf("got %+v, %v", r, err)
	}
	if back, _ := ParseReport(r.String()); back != r {
		t.Fatalf("%q reads back as %+v", r.String(), back)
	}
	for _, bad := range []string{"", "inflight", "inflight=-1", "slots=x", "queue=99999999999999999999"} {
		var problem *ReportError
		if _, err := ParseReport(bad); !errors.As(err, &problem) {
			t.Errorf("%q: error %v, want a *ReportError", bad, err)
		}
	}
}

func TestSlowServerGetsLess(t *testing.T) {
	b := newShop("fast", "slow")
	picks := map[string]int{}
	for i := range 2000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s, ok := b.Pick(now, nil)
		if !ok {
			t.Fatal("no server")
		}
		picks[s.VM.Name]++
		latency := 10 * time.Millisecond
		if s.VM.Name == "slow" {
			latency = 40 * time.Millisecond
		}
		b.Done(s, now, Result{Latency: latency})
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
		svc := shop()
		svc.ConnectionsPerServer = c.connections
		b.Update(vms("s1"), svc)
		places := 0
		for range 2 * maxPlaces {
			if _, ok := b.Pick(start, nil); ok {
				places++
			}
		}
		if places != c.want {
			t.Errorf("%d entries, %d connections: %d places, want %d", c.entries, c.connections, places, c.want)
		}
	}
}

func TestOneLongAnswerKeepsNoWorkAway(t *testing.T) {
	b := newShop("s1", "s2")
	first, _ := b.Pick(start, nil)
	b.Done(first, start, Result{Latency: 10 * time.Millisecond})
	other, _ := b.Pick(start, []string{first.VM.Name})
	b.Done(other, start, Result{Latency: 50 * time.Millisecond})
	picks := map[string]int{}
	for range 100 {
		s, _ := b.Pick(start, nil)
		picks[s.VM.Name]++
		b.Done(s, start, Result{Latency: 10 * time.Millisecond})
	}
	if picks[other.VM.Name] < 25 {
		t.Errorf("%s got %d of 100 requests after one long answer", other.VM.Name, picks[other.VM.Name])
	}
}
