package engine

import (
	"reflect"
	"testing"
	"time"
)

func small(p Policy) Scenario {
	return Scenario{
		Policy: p, Seed: 7, Entries: 5, Servers: 8, Zones: 2, Load: 0.8,
		Mix:    map[string]float64{Payments: 0.1, Lookups: 0.9},
		Faults: Faults{Restarts: time.Second},
		WarmUp: time.Second, Length: 3 * time.Second,
	}
}

func TestSameSeedGivesSameFigures(t *testing.T) {
	first, second := Run(small(Real)), Run(small(Real))
	if !reflect.DeepEqual(first, second) {
		t.Fatal("two runs of one seed differ")
	}
}

func TestEveryCallEndsOnce(t *testing.T) {
	for _, p := range []Policy{Random, RoundRobin, LeastOwn, TwoChoices, Real} {
		r := Run(small(p))
		for _, rank := range []string{Payments, Lookups} {
			f := r.Total(rank)
			if f.Offered == 0 || f.Served+f.Failed+f.Refused != f.Offered {
				t.Errorf("%s %s: served %d, failed %d and refused %d of %d offered",
					p, rank, f.Served, f.Failed, f.Refused, f.Offered)
			}
		}
	}
}
