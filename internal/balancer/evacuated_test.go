package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// evacuate returns the servers with those of the zone marked as evacuated.
func evacuate(servers []fleet.VM, zone string) []fleet.VM {
	marked := append([]fleet.VM(nil), servers...)
	for i := range marked {
		if marked[i].Zone == zone {
			marked[i].State = fleet.Evacuated
		}
	}
	return marked
}

// A server of an evacuated zone is picked in no way, in a small service and in a large one with
// preferred servers, and counts for no capacity. What is known of it stays, reports are applied
// meanwhile, and it is used as before when it comes back, after hours too.
func TestEvacuatedServersAreKeptWithoutRequests(t *testing.T) {
	for _, count := range []int{4, 60} {
		t.Run(fmt.Sprint(count, " servers"), func(t *testing.T) {
			var servers []fleet.VM
			for i := range count {
				servers = append(servers, fleet.VM{Name: fmt.Sprint("s", i), Address: fmt.Sprint("s", i), Zone: []string{"a", "b"}[i%2], State: fleet.Live, Slots: 3})
			}
			now := time.Unix(1000, 0)
			svc := &tree.Service{SlotsPerServer: 3}
			b := New(Options{Zone: "a"})
			b.UpdateAt(now, servers, svc)
			before := b.snapshot.Load().backend("s0")
			b.AddPeerLimit("s2", now, NamedLimit{PerSecond: 0})
			r, ok := b.Pick(now, nil)
			if !ok || r.VM.Zone != "a" {
				t.Fatalf("picked %v, %v, want a server of the own zone", r, ok)
			}
			b.UpdateAt(now, evacuate(servers, "a"), svc)
			b.Done(r, now, Result{Kind: OK, Latency: time.Millisecond}) // it was in progress
			b.SetEntryOrder(func(string) int { return 1 }, 2)
			b.SetSenderOrder(SenderOrder{Position: func(string, string) int { return 1 }, Entries: 2, Live: 2})
			if b.Len() != count/2 {
				t.Errorf("%d servers count, want the %d of the other zone", b.Len(), count/2)
			}
			later := now.Add(2 * time.Hour)
			b.AddReport("s0", later, Report{Slots: 3, Slowdown: 100, InFlight: 2})
			b.AddReport("s1", later, Report{Slots: 3, Slowdown: 100})
			for _, pick := range []func() (*Reservation, bool){
				func() (*Reservation, bool) { return b.Pick(later, nil) },
				func() (*Reservation, bool) { return b.PickBelow(later, nil, math.Inf(1)) },
				func() (*Reservation, bool) { return b.PickWithin(later, nil, time.Millisecond, time.Second, 0) },
				func() (*Reservation, bool) {
					return b.PickSpare(later, nil, time.Millisecond, time.Second, time.Second, 0)
				},
			} {
				for {
					r, ok := pick()
					if !ok {
						break
					}
					if r.VM.Zone == "a" {
						t.Fatalf("server %s of the evacuated zone was picked", r.VM.Name)
					}
				}
			}
			evacuated := 0
			for _, s := range b.Status(later) {
				if (s.State == StateEvacuated) != (s.Zone == "a") || s.Preferred && s.Zone == "a" {
					t.Errorf("status %+v, want the servers of zone a as evacuated", s)
				}
				if s.State == StateEvacuated {
					evacuated++
				}
			}
			if evacuated != count/2 {
				t.Errorf("%d servers are shown as evacuated, want %d", evacuated, count/2)
			}
			b.UpdateAt(later, servers, svc)
			after := b.snapshot.Load().backend("s0")
			if after != before || after.report.receivedAt.Load() == 0 || b.snapshot.Load().backend("s2").requestLimit.named.Load() == nil {
				t.Error("what was known of the servers was forgotten")
			}
			if r, ok := b.Pick(later, nil); !ok || r.VM.Zone != "a" {
				t.Errorf("picked %v, %v after the zone was taken back, want a server of it", r, ok)
			}
		})
	}
}
