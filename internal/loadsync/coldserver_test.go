package loadsync

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// The bound of the platform for a cold server, over all entries in any second.
const (
	warmUp          = 3 * time.Second
	warmUpPerSecond = 7.9
	coldOver        = 1.5
	coldSlack       = 8.0
)

var coldTree = &tree.Tree{Services: []*tree.Service{{Member: "m", Name: "s", WarmUp: warmUp, WarmUpPerSecond: warmUpPerSecond}}}

// coldEntries returns the number of entries of the fleets; scripts/test plays the large ones without
// the race detector too.
func coldEntries() int {
	if raceEnabled {
		return 30
	}
	return 100
}

// mean returns the rate to set for that many requests a second in the mean. In each fleetTick as
// many are drawn as in a geometric distribution.
func mean(perSecond float64) float64 {
	perTick := perSecond * fleetTick.Seconds()
	return perSecond / (1 + perTick)
}

// startCold lists n servers of a zone that start cold, at each entry up to a second later.
func (f *limitFleet) startCold(n int, zone string) []string {
	var names []string
	now := time.Now()
	for range n {
		name := fmt.Sprintf("s%d", len(f.vms))
		f.vms = append(f.vms, fleet.VM{
			Name: name, Address: name, Zone: zone, Service: "m/s", State: fleet.Live, Slots: 3,
			WarmUntil: steady.Millis(now.Add(warmUp)),
		})
		f.servers[name] = &fleetServer{told: map[string]time.Time{}, coldUntil: now.Add(warmUp)}
		names = append(names, name)
	}
	vms := f.vms
	for _, e := range f.entries {
		time.AfterFunc(time.Duration(f.rng.Int64N(int64(time.Second))), func() {
			e.services.SetServers(serverList(vms))
			e.syncer.Update(f.tree, e.services, vms)
		})
	}
	return names
}

// probe lets the owner of each server probe it, as it does all the time.
func (f *limitFleet) probe(now time.Time) {
	inFlight := map[string]int{}
	for _, r := range f.running {
		inFlight[r.reservation.VM.Name]++
	}
	byName := map[string]*fleetEntry{}
	for _, e := range f.entries {
		byName[e.name] = e
	}
	for _, vm := range f.vms {
		owner, _ := f.view.Owner(vm.Name, vm.Zone)
		e := byName[owner.VM]
		report := balancer.Report{InFlight: inFlight[vm.Name], Slots: 3, Slowdown: 100}
		report.Notices.WarmUp = max(f.servers[vm.Name].coldUntil.Sub(now), 0)
		e.balancer.AddReport(vm.Name, now, report)
		e.balancer.ObserveProbe(vm.Name, now, report)
		e.syncer.mu.Lock()
		if t := e.syncer.byName[vm.Name]; t != nil {
			e.syncer.recordReport(t.id, report, now)
		}
		e.syncer.mu.Unlock()
	}
}

// runProbed is run with a probe of each server every 100 ms.
func (f *limitFleet) runProbed(length time.Duration) {
	const probePause = 100 * time.Millisecond
	for range int(length / probePause) {
		f.probe(time.Now())
		f.run(probePause)
	}
}

// mostInASecond returns the most requests that reached a server in a second, of those in the span.
func (f *limitFleet) mostInASecond(server string, from, to time.Time) int {
	var counted []time.Time
	for _, a := range f.servers[server].arrivals {
		if !a.at.Before(from) && a.at.Before(to) {
			counted = append(counted, a.at)
		}
	}
	most, last := 0, 0
	for i, first := range counted {
		for last < len(counted) && counted[last].Sub(first) < time.Second {
			last++
		}
		most = max(most, last-i)
	}
	return most
}

// checkCold fails the test if a server got more requests in any second than a cold one may get, of
// those that reached it from a time on while it was cold.
func (f *limitFleet) checkCold(what string, servers []string, from time.Time) {
	f.t.Helper()
	allowed, worst := int(math.Floor(warmUpPerSecond*coldOver+coldSlack)), 0
	for _, server := range servers {
		worst = max(worst, f.mostInASecond(server, from, f.servers[server].coldUntil))
	}
	f.t.Logf("%s: at most %d requests in a second at one of %d servers", what, worst, len(servers))
	if worst > allowed {
		f.t.Errorf("%s: %d requests in a second at a cold server, allowed are %d", what, worst, allowed)
	}
}

// A zone comes back with 25 servers that start cold at once, under full demand: 100 entries have
// 2,000 requests a second, and the 45 other servers run 30 each. No cold server may get more than it
// bears, or hardly any, and no herd may follow when it is warm.
func TestZoneThatComesBackColdIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, coldTree, 1, coldEntries(), 45, mean(2000))
		f.crossZone = 200 * time.Millisecond
		f.runProbed(2 * time.Second)
		began := time.Now()
		cold := f.startCold(25, "a")
		f.runProbed(warmUp)
		f.checkCold("cold from the start", cold, began)
		total := 0
		for _, server := range cold {
			total += f.since(server, began)
		}
		if least := int(math.Floor(0.4 * warmUpPerSecond * 2 * 25)); total < least {
			t.Errorf("%d requests reached the cold servers, want at least %d: they bear %v a second each", total, least, warmUpPerSecond)
		}
		warm := time.Now()
		f.runProbed(time.Second)
		for _, server := range cold {
			if most := f.mostInASecond(server, warm, time.Now()); most > 30 {
				t.Errorf("%s got %d requests in the second after its warm-up, it runs 30 at most", server, most)
			}
		}
	})
}

// Servers in use become cold without notice, under their usual load of 7 requests a second each and
// at 2.6 times that. Their owners learn of it by a probe, up to 100 ms later, and heartbeats are
// lost or reach other zones late.
func TestServerThatBecomesColdIsSpared(t *testing.T) {
	for _, perServer := range []float64{7, 18} {
		t.Run(fmt.Sprint(perServer, " requests a second"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const servers = 48
				f := newFleetOf(t, coldTree, 2, coldEntries(), servers, mean(perServer*servers))
				f.lost, f.crossZone = 0.1, 600*time.Millisecond
				f.runProbed(2 * time.Second)
				began := time.Now()
				var cold []string
				for i := range 12 {
					name := fmt.Sprintf("s%d", 4*i)
					f.servers[name].coldUntil = began.Add(warmUp)
					cold = append(cold, name)
				}
				f.run(100 * time.Millisecond) // nobody knows
				f.runProbed(warmUp)
				f.checkCold("becomes cold", cold, began)
			})
		})
	}
}

// Entries have different views of the cluster while servers are cold: one out of five members is
// not known to each, or the cluster is split and only one side has noticed, then both.
func TestColdServersWhileViewsDisagree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, coldTree, 3, coldEntries(), 45, mean(2000))
		f.runProbed(time.Second)
		began := time.Now()
		cold := f.startCold(25, "a")
		subset := func(keeps func(cluster.LiveMember) bool, missing bool) *cluster.View {
			v := &cluster.View{Known: len(f.view.Live)}
			for _, m := range f.view.Live {
				if keeps(m) {
					v.Live = append(v.Live, m)
				}
			}
			if missing {
				v.Missing = len(f.view.Live) - len(v.Live)
			}
			return v
		}
		for range 15 {
			for _, e := range f.entries {
				e.setView(subset(func(m cluster.LiveMember) bool { return m.VM == e.name || f.rng.IntN(5) > 0 }, false))
			}
			f.runProbed(200 * time.Millisecond)
		}
		f.checkCold("views that lack a fifth", cold, began)

		for _, e := range f.entries {
			e.setView(f.view)
		}
		f.runProbed(time.Second)
		began = time.Now()
		cold = f.startCold(25, "b")
		f.runProbed(time.Second)
		side := func(vm string) bool { return vm < f.view.Live[len(f.view.Live)*2/5].VM }
		for _, noticed := range []bool{true, false} {
			for _, e := range f.entries {
				if side(e.name) == noticed {
					e.setView(subset(func(m cluster.LiveMember) bool { return side(m.VM) == noticed }, true))
				}
			}
			f.runProbed(500 * time.Millisecond)
		}
		f.runProbed(time.Second)
		f.checkCold("a cluster that splits", cold, began)
	})
}

// All entries and all servers lose power and start at once: each entry knows only itself at first,
// so that it would take the whole limit for its share.
func TestColdServersAtAStartOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetOf(t, coldTree, 4, coldEntries(), 45, mean(2000))
		f.runProbed(time.Second)
		began := time.Now()
		f.settledAt = began.Add(time.Second) // as in package gateway
		var cold []string
		for i := range f.vms {
			f.vms[i].Incarnation, f.vms[i].WarmUntil = 2, steady.Millis(began.Add(warmUp))
			f.servers[f.vms[i].Name].coldUntil = began.Add(warmUp)
			cold = append(cold, f.vms[i].Name)
		}
		for i, e := range f.entries {
			f.entries[i] = f.newEntry(f.view.Live[i])
			f.entries[i].setView(&cluster.View{Known: 1, Live: f.view.Live[i : i+1]})
			f.entries[i].zone = e.zone
		}
		f.running = nil // the power loss ended them
		f.runProbed(600 * time.Millisecond)
		for _, e := range f.entries {
			e.setView(f.view)
		}
		f.runProbed(warmUp - 600*time.Millisecond)
		f.checkCold("all start", cold, began)
		later := time.Now()
		f.runProbed(2 * time.Second)
		used := 0
		for _, server := range cold {
			used += f.since(server, later)
		}
		if used == 0 {
			t.Error("no request reached the servers after their warm-up")
		}
	})
}

// A warm-up reaches entries that have sent the server nothing, also if the first heartbeat with it
// is lost, and is not told any more once it is old.
func TestWarmUpTravelsByHeartbeat(t *testing.T) {
	f := newFleetOf(t, coldTree, 5, 2, 1, 0)
	a, b := f.entries[0], f.entries[1]
	now := time.Now()
	a.balancer.ObserveProbe("s0", now, balancer.Report{Notices: balancer.Notices{WarmUp: 2 * time.Second}})
	if !a.flush {
		t.Error("news of a warm-up waits for the next heartbeat, want it sent at once")
	}
	a.syncer.Collect(&cluster.Heartbeat{}, now.Add(time.Millisecond)) // lost
	heartbeat := &cluster.Heartbeat{}
	a.syncer.Collect(heartbeat, now.Add(100*time.Millisecond))
	b.syncer.Receive(heartbeat, now.Add(102*time.Millisecond))
	if status := b.balancer.Status(now.Add(102 * time.Millisecond))[0]; status.WarmUpLeftMs != 1900 || status.State != balancer.StateCold {
		t.Errorf("status %+v at the other entry, want 1900 ms left", status)
	}
	if len(heartbeat.RequestLimits) != 0 {
		t.Errorf("limits %+v in the heartbeat: the server named none", heartbeat.RequestLimits)
	}
	a.syncer.Collect(&cluster.Heartbeat{}, now.Add(time.Second))
	heartbeat = &cluster.Heartbeat{}
	a.syncer.Collect(heartbeat, now.Add(2*time.Second))
	if len(heartbeat.WarmUps) != 0 {
		t.Errorf("warm-ups %+v in a heartbeat long after the last response, want none", heartbeat.WarmUps)
	}
}
