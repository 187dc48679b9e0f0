package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// zoneBalancers returns the balancers of entries in one of several zones, each with its
// position in the order of each server. All servers are idle and at full speed.
func zoneBalancers(now time.Time, entries, serversPerZone, zones int) []*Balancer {
	var vms []fleet.VM
	for i := range serversPerZone * zones {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: fmt.Sprintf("zone-%d", i%zones), Slots: 3})
	}
	positions := make([]map[string]int, entries)
	for i := range positions {
		positions[i] = map[string]int{}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, vm := range vms {
		for position, entry := range rng.Perm(entries) {
			positions[entry][vm.Name] = position
		}
	}
	var balancers []*Balancer
	for i := range entries {
		b := New(Options{Entry: fmt.Sprintf("entry-%d", i), Zone: "zone-0"})
		b.UpdateAt(now, vms, slowdownService)
		b.SetEntryOrder(func(server string) int { return positions[i][server] }, entries)
		for _, vm := range vms {
			b.AddReport(vm.Name, now, Report{Slots: 3, Slowdown: 100})
		}
		balancers = append(balancers, b)
	}
	return balancers
}

// Pattern: the 78 entries of a zone send five requests a second each, to 109 servers of
// their zone that take 230 ms. Most requests must find a connection that was used within
// the last four seconds, and no server may get much more than its share.
func TestFewServersOfManyAreUsedAgain(t *testing.T) {
	const (
		entries, servers, zones = 78, 109, 6
		interval, took          = 200 * time.Millisecond, 230 * time.Millisecond
		idle                    = 4 * time.Second
		seconds                 = 20
	)
	began := time.Now()
	reused, requests, remote := 0, 0, 0
	counts := map[string]int{}
	for _, b := range zoneBalancers(began, entries, servers, zones) {
		used := map[string]time.Time{}
		for now := began; now.Before(began.Add(seconds * time.Second)); now = now.Add(interval) {
			r, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0)
			if !ok {
				t.Fatal("no server picked")
			}
			requests++
			if last, known := used[r.VM.Name]; known && now.Sub(last) < idle {
				reused++
			}
			if r.VM.Zone != "zone-0" {
				remote++
			}
			counts[r.VM.Name]++
			used[r.VM.Name] = now.Add(took)
			b.Done(r, now.Add(took), Result{Kind: OK, Latency: took, HasReport: true, Report: Report{Slots: 3, Slowdown: 100}})
		}
	}
	if share := float64(reused) / float64(requests); share < 0.7 {
		t.Errorf("%.2f of the requests found a warm connection, want most of them", share)
	}
	if remote > 0 {
		t.Errorf("%d of %d requests left the zone, want none while its servers are idle", remote, requests)
	}
	for server, n := range counts {
		if limit := 4 * requests / servers; n > limit {
			t.Errorf("%s got %d of %d requests, want at most %d", server, n, requests, limit)
		}
	}
}

// Preferred servers that are slowed or full are passed over for others.
func TestPreferredServersInTroubleArePassedOver(t *testing.T) {
	now := time.Now()
	b := zoneBalancers(now, 3, 60, 1)[0]
	preferred := map[string]bool{}
	for _, be := range b.snapshot.Load().preferred {
		preferred[be.vm.Name] = true
		b.AddReport(be.vm.Name, now.Add(time.Millisecond), Report{Slots: 3, Slowdown: 500})
	}
	if len(preferred) != preferredServers {
		t.Fatalf("%d servers are preferred, want %d", len(preferred), preferredServers)
	}
	for range 20 {
		r, ok := b.PickWithin(now.Add(2*time.Millisecond), nil, nominalServiceTime, target, 0)
		if !ok || preferred[r.VM.Name] {
			t.Fatalf("picked %+v, want a server at full speed", r)
		}
	}
}

// In a large cluster an entry far back in the order of a server may use its free slot
// after the staggered positions, not after those of all entries.
func TestStaggerIsBounded(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 1)
	b.SetEntryOrder(func(string) int { return 470 }, 471)
	now = now.Add(time.Millisecond)
	b.AddReport("s0", now, Report{InFlight: 3, Slots: 3, Slowdown: 100})
	if _, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0); ok {
		t.Fatal("picked a full server")
	}
	free := now.Add(10 * time.Millisecond)
	b.AddReport("s0", free, Report{Slots: 3, Slowdown: 100})
	if _, ok := b.PickWithin(free, nil, nominalServiceTime, target, 0); ok {
		t.Error("the last entry of the order did not leave the slot to earlier ones")
	}
	if _, ok := b.PickWithin(now.Add(100*time.Millisecond), nil, nominalServiceTime, target, 0); !ok {
		t.Error("the last entry still waits after 100 ms")
	}
}
