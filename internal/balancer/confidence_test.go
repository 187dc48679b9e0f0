package balancer

import (
	"math/rand/v2"
	"testing"
)

// recordSamples adds n samples whose reported total is a function of the own requests.
func recordSamples(c *reportConfidence, n int, total func(ownRequests float64, rng *rand.Rand) float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range n {
		ownRequests := float64(rng.IntN(2))
		c.update(ownRequests, total(ownRequests, rng))
	}
}

func TestConfidenceNeedsReportsThatShowOwnRequests(t *testing.T) {
	fresh := func(ownRequests float64, rng *rand.Rand) float64 { return ownRequests + float64(rng.IntN(3)) }
	stale := func(_ float64, rng *rand.Rand) float64 { return float64(rng.IntN(4)) }
	idle := func(float64, *rand.Rand) float64 { return 0 }
	c := newReportConfidence()
	for _, step := range []struct {
		name    string
		total   func(float64, *rand.Rand) float64
		atLeast float64
		atMost  float64
	}{
		{"fresh", fresh, 1, 1},
		{"idle when busy", idle, 0, 0},
		{"fresh again", fresh, 1, 1},
		{"late", stale, 0, 0.5},
	} {
		recordSamples(c, 4000, step.total)
		if got := c.value(); got < step.atLeast || got > step.atMost {
			t.Errorf("%s: confidence %.2f, want %.2f to %.2f", step.name, got, step.atLeast, step.atMost)
		}
	}
}
