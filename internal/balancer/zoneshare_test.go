package balancer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// twoZones returns a balancer in zone-0 with that many servers in each of two zones.
func twoZones(now time.Time, servers int, options Options) *Balancer {
	var vms []fleet.VM
	for i := range 2 * servers {
		vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: fmt.Sprintf("zone-%d", i%2), Slots: 4})
	}
	options.Entry, options.Zone, options.Service = "entry", "zone-0", "shop/orders"
	b := New(options)
	b.UpdateAt(now, vms, slowdownService)
	b.SetZoneRank(ZoneRank{Rank: 1, Entries: 5})
	return b
}

// report applies a report of each server of the zone with that many requests in progress.
func report(b *Balancer, at time.Time, zone, inFlight, slowdown int) {
	for i := zone; i < len(b.snapshot.Load().backends); i += 2 {
		b.AddReport(fmt.Sprintf("s%d", i), at, Report{InFlight: inFlight, Slots: 4, Slowdown: slowdown})
	}
}

// Load: the zone's servers are past their knee, those of the other zone have one request each. A part
// of the requests must leave, to few servers, and operators must see which part and why.
func TestBusyZoneSendsAShare(t *testing.T) {
	now := time.Now()
	scope := tally.NewTestScope("", nil)
	var changes []ZoneShareChange
	b := twoZones(now, 20, Options{Scope: scope, OnZoneShare: func(c ZoneShareChange) { changes = append(changes, c) }})
	left, requests := map[string]int{}, 0
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		report(b, now, 0, 3, 100)
		report(b, now, 1, 1, 100)
		r, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0)
		if !ok {
			t.Fatal("no server picked")
		}
		requests++
		if r.VM.Zone != "zone-0" {
			left[r.VM.Name]++
		}
		b.Done(r, now, Result{Kind: OK, Latency: nominalServiceTime})
	}
	if len(left) == 0 || len(left) > 6 {
		t.Errorf("%d servers of the other zone were used, want few", len(left))
	}
	counted := int64(0)
	for name, c := range scope.Snapshot().Counters() {
		if strings.HasPrefix(name, "left_zone+") {
			counted += c.Value()
			if tags := c.Tags(); tags["service"] != "shop/orders" || tags["zone"] != "zone-1" || tags["reason"] != "share" {
				t.Errorf("%d requests counted with tags %v, want the service, zone-1 and the share as reason", c.Value(), tags)
			}
		}
	}
	statuses := b.ZoneStatuses()
	if len(statuses) != 2 || statuses[0].Zone != "zone-0" || statuses[1].Sent != uint64(counted) || counted == 0 {
		t.Errorf("%d requests counted, statuses %+v, want both zones and equal numbers", counted, statuses)
	}
	if len(changes) == 0 || len(changes) > 4 {
		t.Fatalf("%d changes of the share were told in 4 s, want some, at most one a second", len(changes))
	}
	if c := changes[0]; c.Service != "shop/orders" || c.Zone != "zone-1" || c.Share <= 0 || c.OwnLoad <= c.Load {
		t.Errorf("change %+v, want the service, the zone, a share and the loads that it follows from", c)
	}
}

// Entries that learn late of another zone's servers must not send single requests there, as all
// of them would choose the same ones. A request that was sent before may go there.
func TestOldReportsKeepSingleRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int
		age     time.Duration
		exclude []string
		leaves  bool
	}{
		{"new reports", 20, 10 * time.Millisecond, nil, true},
		{"old reports", 20, 300 * time.Millisecond, nil, false},
		{"old reports, second attempt", 20, 300 * time.Millisecond, []string{"s0"}, true},
		{"old reports, few servers", 3, 300 * time.Millisecond, nil, true},
	} {
		now := time.Now()
		b := twoZones(now, c.servers, Options{})
		report(b, now.Add(time.Millisecond), 1, 0, 100)
		now = now.Add(c.age)
		report(b, now, 0, 0, 500) // slowed, and not busy
		r, ok := b.PickWithin(now.Add(time.Millisecond), c.exclude, nominalServiceTime, time.Minute, 0)
		if !ok {
			t.Fatalf("%s: no server picked", c.name)
		}
		if left := r.VM.Zone == "zone-1"; left != c.leaves {
			t.Errorf("%s: the request left the zone: %v, want %v", c.name, left, c.leaves)
		}
	}
}

// A zone without usable servers sends everything, at no cost.
func TestZoneWithoutServers(t *testing.T) {
	now := time.Now()
	scope := tally.NewTestScope("", nil)
	b := twoZones(now, 20, Options{Scope: scope})
	report(b, now.Add(time.Millisecond), 0, 0, 100)
	report(b, now.Add(time.Millisecond), 1, 0, 100)
	var vms []fleet.VM
	for _, be := range b.snapshot.Load().backends {
		if be.vm.Zone == "zone-1" {
			vms = append(vms, be.vm)
		}
	}
	b.UpdateAt(now, vms, slowdownService)
	used := map[string]bool{}
	for i := range 50 {
		at := now.Add(time.Duration(200+20*i) * time.Millisecond)
		report(b, at, 1, 0, 100)
		r, ok := b.PickWithin(at, nil, nominalServiceTime, target, 0)
		if !ok {
			t.Fatal("no server picked")
		}
		used[r.VM.Name] = true
		b.Done(r, at, Result{Kind: OK, Latency: nominalServiceTime})
	}
	if len(used) == 0 {
		t.Error("no server was used")
	}
	found := false
	for name, c := range scope.Snapshot().Counters() {
		found = found || strings.HasPrefix(name, "left_zone+") && c.Tags()["reason"] == "no_server" && c.Value() == 50
	}
	if !found {
		t.Errorf("counters %v, want 50 requests that left as the zone has no server", scope.Snapshot().Counters())
	}
}

// A zone to which a part of the requests goes may be evacuated or lose its servers. Nothing may go
// there from then on, also where it was the only other zone, so that no further decision is made.
func TestNothingLeavesForAZoneThatIsGone(t *testing.T) {
	for _, zones := range []int{2, 3} {
		for _, state := range []fleet.State{fleet.Evacuated, fleet.Leaving} {
			now := time.Now()
			var vms []fleet.VM
			for i := range 20 * zones {
				vms = append(vms, fleet.VM{Name: fmt.Sprintf("s%d", i), Address: "a", Zone: fmt.Sprintf("zone-%d", i%zones), Slots: 4})
			}
			b := New(Options{Entry: "entry", Zone: "zone-0", Service: "shop/orders"})
			b.UpdateAt(now, vms, slowdownService)
			b.SetZoneRank(ZoneRank{Rank: 1, Entries: 5})
			play := func(picks int) (sent int) {
				for range picks {
					now = now.Add(time.Millisecond)
					for _, vm := range vms {
						inFlight := 1
						if vm.Zone == "zone-0" {
							inFlight = 3
						}
						b.AddReport(vm.Name, now, Report{InFlight: inFlight, Slots: 4, Slowdown: 100})
					}
					r, ok := b.PickWithin(now, nil, nominalServiceTime, target, 0)
					if !ok {
						continue
					}
					if r.VM.Zone == "zone-1" {
						sent++
					}
					b.Done(r, now, Result{Kind: OK, Latency: nominalServiceTime})
				}
				return sent
			}
			play(2000)
			if play(450) == 0 {
				t.Fatalf("%d zones: nothing left the busy zone for zone-1", zones)
			}
			for i := range vms {
				if vms[i].Zone == "zone-1" {
					vms[i].State = state
				}
			}
			b.UpdateAt(now, vms, slowdownService)
			if sent := play(400); sent > 0 {
				t.Errorf("%d zones, %s: %d requests went to the zone", zones, state, sent)
			}
			if statuses := b.ZoneStatuses(); zones == 2 && len(statuses) > 1 {
				t.Errorf("%s: statuses %+v still have the zone", state, statuses)
			}
		}
	}
}
