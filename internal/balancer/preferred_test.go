package balancer

import (
	"fmt"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Load: entries of one availability zone prefer few of its servers each. If a server were
// preferred by more entries than another one, its share of the load would be greater.
func TestServersArePreferredByEquallyManyEntries(t *testing.T) {
	for _, c := range []struct{ entries, servers, preferred int }{{69, 43, 3}, {69, 20, 3}, {59, 14, 5}, {3, 45, 12}, {120, 45, 12}} {
		var vms []fleet.VM
		for i := range c.servers + 60 {
			zone := "zone-0"
			if i >= c.servers {
				zone = "zone-1"
			}
			vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: zone, Slots: 4})
		}
		counts := map[string]int{}
		for rank := range c.entries {
			b := New(Options{Entry: fmt.Sprintf("entry-%d", rank), Zone: "zone-0"})
			b.Update(vms, slowdownService)
			b.SetZoneRank(ZoneRank{Rank: rank, Entries: c.entries})
			for _, be := range b.snapshot.Load().near[:c.preferred] {
				counts[be.vm.Name]++
			}
		}
		least, most := c.entries, 0
		for _, vm := range vms[:c.servers] {
			least, most = min(least, counts[vm.Name]), max(most, counts[vm.Name])
		}
		if most-least > 1 {
			t.Errorf("%+v: servers are preferred by %d to %d entries, want a difference of at most 1", c, least, most)
		}
	}
}

// Load: an entry sends 0.5, 2, 5 and 50 requests a second to a service. It must prefer so few
// servers that it uses each again within two seconds or so, and at least three.
func TestPreferredServersFollowTheRequestRate(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		preferred int
	}{{0.5, 3}, {2, 4}, {5, 10}, {50, preferredServers}} {
		var r requestRate
		now := time.Now()
		for range int(40 * c.perSecond) {
			now = now.Add(time.Duration(float64(time.Second) / c.perSecond))
			r.add(now.UnixNano())
		}
		if got := r.preferredCount(); got < c.preferred || got > c.preferred+1 {
			t.Errorf("%d servers are preferred at %.1f requests a second, want %d", got, c.perSecond, c.preferred)
		}
	}
}

// An entry that has an idle connection to a server at full speed uses it rather than to open
// one to another idle server, also where none of its preferred servers has room.
func TestIdleConnectionsAreUsedFirst(t *testing.T) {
	now := time.Now()
	b := zoneBalancers(now, 3, 60, 1)[0]
	for _, be := range b.snapshot.Load().preferred {
		b.AddReport(be.vm.Name, now.Add(time.Millisecond), Report{Slots: 3, Slowdown: 500})
	}
	used := map[string]bool{}
	for range 20 {
		now = now.Add(5 * time.Millisecond)
		r, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0)
		if !ok {
			t.Fatal("no server picked")
		}
		used[r.VM.Name] = true
		b.Done(r, now, Result{Kind: OK, Latency: nominalServiceTime, HasReport: true, Report: Report{Slots: 3, Slowdown: 100}})
	}
	if len(used) > 2 {
		t.Errorf("%d servers were used for requests one after the other, want the same ones", len(used))
	}
}
