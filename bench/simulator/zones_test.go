package simulator

import (
	"testing"
	"time"
)

// mutual returns the share of the attempts that another attempt in the same second and the
// opposite direction made needless.
func (r *Result) mutual() float64 {
	var mutual, all int64
	for _, counts := range r.Zones {
		for pair, n := range counts {
			all += n
			if pair.From != pair.To {
				mutual += min(n, counts[ZonePair{pair.To, pair.From}])
			}
		}
	}
	return float64(mutual) / float64(max(all, 1))
}

// Load: 67 entries and 42 servers in three availability zones, at 0.8 to 1.1 requests per slot
// below the knee; entries learn of other zones' servers after 150 ms. If all of them went by
// these old reports, requests would cross in both directions and servers fill unevenly
// (trials with a fixed cost of 1.6: 0.82 within target with equal zones, 0.65 with unequal ones).
func TestZonesUnderLoadWithOldReports(t *testing.T) {
	for _, c := range []struct {
		name       string
		perSecond  float64
		demand     []float64
		events     []Event
		minWithin  float64
		minRemote  float64 // after the event
		maxRemote  float64
		maxCrosses float64
	}{
		{"calm", 230, nil, nil, 0.99, 0, 0.005, 0},
		{"equal zones near their capacity", 370, nil, nil, 0.97, 0, 0.02, 0.01},
		{"a zone lost half of its servers", 280, nil, []Event{{At: 3 * time.Second, LoseServers: 0.5}}, 0.95, 0.05, 0.2, 0.02},
		{"60% of a zone's callers moved", 320, nil, []Event{{At: 3 * time.Second, To: 1, MoveCallers: 0.6}}, 0.95, 0.05, 0.2, 0.02},
		{"unequal zones", 370, []float64{255, 327, 231}, nil, 0.93, 0.02, 0.15, 0.02},
		{"evacuated zone", 200, nil, []Event{{At: 3 * time.Second, LoseServers: 1}}, 0.93, 0.3, 0.4, 0.02},
	} {
		s := threeZones([]int{23, 20, 24}, []int{14, 13, 15}, c.perSecond, 220*time.Millisecond, map[string]float64{Lookups: 1})
		s.Seed, s.ZoneDemand, s.Events, s.OtherZonesDelay = 20, c.demand, c.events, 150*time.Millisecond
		r := Run(s)
		within, remote, mutual := r.withinTarget(), r.RemoteShare(4, 8), r.mutual()
		t.Logf("%s: %.4f within target, %.3f to other zones, %.3f in both directions, %.3f new connections per attempt",
			c.name, within, remote, mutual, float64(r.Connections.Opened())/float64(r.Connections.Attempts))
		if within < c.minWithin {
			t.Errorf("%s: %.3f of the calls met their target, want at least %.3f", c.name, within, c.minWithin)
		}
		if remote < c.minRemote || remote > c.maxRemote {
			t.Errorf("%s: %.3f of the attempts went to other zones, want %.3f to %.3f", c.name, remote, c.minRemote, c.maxRemote)
		}
		if mutual > c.maxCrosses {
			t.Errorf("%s: %.3f of the attempts crossed others, want at most %.3f", c.name, mutual, c.maxCrosses)
		}
	}
}

// Probes cost processor time and bytes. A server that slows down for 150 ms at any moment gets
// requests at full-speed estimates until the next probe, so fewer probes make the choice worse: half
// of them must stay worse by a hundredth at least, or the interval is to be weighed anew.
func TestFewerProbesMakeChoicesWorse(t *testing.T) {
	within := func(interval time.Duration) float64 {
		s := threeZones([]int{23, 20, 24}, []int{14, 13, 15}, 138, 220*time.Millisecond, map[string]float64{Lookups: 1})
		s.Seed, s.ProbeInterval, s.FixedRateProbes = 20, interval, true
		s.Faults = Faults{NoRandomSlowdown: true, EpisodicSlowdown: true}
		r := Run(s)
		t.Logf("probes every %v: %.4f within target, %.1f probes per server and second", interval, r.withinTarget(), float64(r.Probes)/8/42)
		return r.withinTarget()
	}
	if often, seldom := within(sharedProbeInterval), within(2*sharedProbeInterval); often-seldom < 0.01 {
		t.Errorf("%.4f within target at half of the probes, %.4f with all, want a difference of 0.01", seldom, often)
	}
}
