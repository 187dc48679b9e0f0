package simulator

import (
	"testing"
	"time"
)

// threeZones returns a scenario of three availability zones with servers of 4 slots that are
// slowed fivefold for a quarter of the time. work is the service time of a call.
func threeZones(entries, servers []int, perSecond float64, work time.Duration, mix map[string]float64) Scenario {
	svc := DefaultService()
	svc.SlotsPerServer = 4
	for i := range svc.Ranks {
		svc.Ranks[i].Target = 600 * time.Millisecond
	}
	sum := func(counts []int) int { return counts[0] + counts[1] + counts[2] }
	s := Scenario{
		Policy: ProductShared, Seed: 5, Zones: 3,
		Entries: sum(entries), ZoneEntries: entries, Servers: sum(servers), ZoneServers: servers,
		Scale: float64(work) / float64(defaultServiceTime), ServiceTime: Uniform, NoHedges: true,
		Mix: mix, Service: svc, Faults: Faults{NoRandomSlowdown: true, PeriodicSlowdown: true},
		Connections: Connections{Idle: 9 * time.Second, NonIdempotentIdle: 200 * time.Millisecond, Shared: true},
		WarmUp:      3 * time.Second, Length: 8 * time.Second,
	}
	s.Load = perSecond * work.Seconds() / s.capacity()
	return s
}

// busiest returns the attempts at the server that got most, divided by the mean.
func (r *Result) busiest() float64 {
	var most, total int64
	for _, n := range r.Servers {
		most, total = max(most, n), total+n
	}
	return float64(most) * float64(r.scenario.Servers) / float64(max(total, 1))
}

// withinTarget returns the share of all calls that met their target.
func (r *Result) withinTarget() float64 {
	var within, offered int64
	for _, rank := range []string{Payments, Lookups} {
		within += r.Total(rank).WithinTarget
		offered += r.Total(rank).Offered
	}
	return float64(within) / float64(max(offered, 1))
}

// Load: 67 entries in three availability zones send 2, or 0.75, requests a second each to a
// service of 42 servers. New connections cost the request a round trip, so most requests must
// find an idle one; the servers must still have even load and the calls meet their targets.
func TestConnectionsAreUsedAgain(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		mix       map[string]float64
		maxOpened float64 // new connections per attempt
	}{
		{"2 idempotent requests a second and entry", 138, map[string]float64{Lookups: 1}, 0.2},
		{"0.75 idempotent requests a second and entry", 50, map[string]float64{Lookups: 1}, 0.3},
		{"1.2 requests, 43% not idempotent", 83, map[string]float64{Lookups: 0.57, Payments: 0.43}, 0.6},
	} {
		r := Run(threeZones([]int{23, 20, 24}, []int{14, 13, 15}, c.perSecond, 220*time.Millisecond, c.mix))
		opened := float64(r.Connections.Opened()) / float64(r.Connections.Attempts)
		t.Logf("%s: %.3f new connections per attempt, %+v; busiest server %.2f of the mean, within target %.4f",
			c.name, opened, r.Connections, r.busiest(), r.withinTarget())
		if opened > c.maxOpened {
			t.Errorf("%s: %.2f new connections per attempt, want at most %.2f", c.name, opened, c.maxOpened)
		}
		if busiest := r.busiest(); busiest > 2.5 {
			t.Errorf("%s: the busiest server got %.2f of the mean, want at most 2.5", c.name, busiest)
		}
		if within := r.withinTarget(); within < 0.98 {
			t.Errorf("%s: %.4f of the calls met their target, want at least 0.98", c.name, within)
		}
	}
}
