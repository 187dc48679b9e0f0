package balancer

import (
	"math/rand/v2"
	"testing"
)

// feed teaches n answers whose reported total is made from the own requests.
func feed(e *trust, n int, total func(own float64, rng *rand.Rand) float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		own := float64(rng.IntN(2))
		e.learn(own, total(own, rng))
	}
}

func TestTrustBelievesOnlyReportsThatShowOwnRequests(t *testing.T) {
	fresh := func(own float64, rng *rand.Rand) float64 { return own + float64(rng.IntN(3)) }
	late := func(_ float64, rng *rand.Rand) float64 { return float64(rng.IntN(4)) }
	idle := func(float64, *rand.Rand) float64 { return 0 }
	e := newTrust()
	for _, step := range []struct {
		name   string
		total  func(float64, *rand.Rand) float64
		lowest float64
		most   float64
	}{
		{"fresh", fresh, 1, 1},
		{"idle when busy", idle, 0, 0},
		{"fresh again", fresh, 1, 1},
		{"late", late, 0, 0.5},
	} {
		feed(e, 4000, step.total)
		if trust := e.value(); trust < step.lowest || trust > step.most {
			t.Errorf("%s: trust %.2f, want %.2f to %.2f", step.name, trust, step.lowest, step.most)
		}
	}
}
