package simulator

import (
	"reflect"
	"testing"
	"time"
)

func smallScenario(p Policy) Scenario {
	return Scenario{
		Policy: p, Seed: 7, Entries: 5, Servers: 8, Zones: 2, Load: 0.8,
		Mix:    map[string]float64{Payments: 0.1, Lookups: 0.9},
		Faults: Faults{Restarts: time.Second},
		WarmUp: time.Second, Length: 3 * time.Second,
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	first, second := Run(smallScenario(Product)), Run(smallScenario(Product))
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with the same seed returned different results")
	}
}

// A run is also reproducible with servers that report their slowdown.
func TestSameSeedGivesSameFiguresShared(t *testing.T) {
	s := smallScenario(ProductShared)
	s.Faults = Faults{NoRandomSlowdown: true, PeriodicSlowdown: true}
	first, second := Run(s), Run(s)
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs with the same seed returned different results")
	}
}

// Noisy neighbours slow servers fivefold, redrawn every 150 ms. With shared load
// reports more calls meet their target than with any policy in which each entry
// relies on its own view.
func TestSharedMeasuringBeatsOwnViews(t *testing.T) {
	withinTarget := func(p Policy) float64 {
		s := Scenario{
			Policy: p, Seed: 3, Entries: 19, Servers: 33, Zones: 4, Load: 0.5, Scale: 9, ServiceTime: Uniform,
			Mix:    map[string]float64{Payments: 0.3, Lookups: 0.7},
			Faults: Faults{NoRandomSlowdown: true, PeriodicSlowdown: true},
			WarmUp: time.Second, Length: 4 * time.Second,
		}
		f := Run(s).Total(Lookups)
		return float64(f.WithinTarget) / float64(f.Offered)
	}
	shared := withinTarget(ProductShared)
	for _, p := range []Policy{Random, PowerOfTwoChoices, LeastRequests, Product} {
		if own := withinTarget(p); own >= shared {
			t.Errorf("%s: share of lookups within target is %.3f, want less than %.3f with shared load reports", p, own, shared)
		}
	}
}

// Noisy neighbours slow servers in fixed periods, at light load. Probes that are sent
// right after a server's speed may have changed need at most half the number of
// probes, and no more calls miss their target.
func TestProbesFollowTheRhythm(t *testing.T) {
	simulate := func(fixedRate bool) *Result {
		return Run(Scenario{
			Policy: ProductShared, FixedRateProbes: fixedRate, Seed: 3, Entries: 19, Servers: 33, Zones: 4, Load: 0.3, Scale: 9, ServiceTime: Uniform,
			Mix:    map[string]float64{Payments: 0.3, Lookups: 0.7},
			Faults: Faults{NoRandomSlowdown: true, PeriodicSlowdown: true},
			WarmUp: 4 * time.Second, Length: 4 * time.Second,
		})
	}
	fixedRate, phaseAligned := simulate(true), simulate(false)
	if 2*phaseAligned.Probes > fixedRate.Probes {
		t.Errorf("%d probes in phase with the changes, want at most half of %d at a fixed rate", phaseAligned.Probes, fixedRate.Probes)
	}
	if a, b := phaseAligned.Total(Lookups).WithinTarget, fixedRate.Total(Lookups).WithinTarget; a < b {
		t.Errorf("%d lookups within target with probes in phase, want at least %d as at a fixed rate", a, b)
	}
}

func TestEveryCallEndsOnce(t *testing.T) {
	for _, p := range []Policy{Random, RoundRobin, LeastRequests, PowerOfTwoChoices, Product, ProductShared} {
		r := Run(smallScenario(p))
		for _, rank := range []string{Payments, Lookups} {
			f := r.Total(rank)
			if f.Offered == 0 || f.Served+f.Failed+f.Refused != f.Offered {
				t.Errorf("%s %s: served %d, failed %d and refused %d, want a sum of %d offered calls, more than zero",
					p, rank, f.Served, f.Failed, f.Refused, f.Offered)
			}
		}
	}
}
