package balancer

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// trustWeight is the weight of the newest answer in the moments.
	trustWeight = 0.005
	// trustPrior is the variance with which reports are believed before much is known.
	trustPrior = 0.02
	// slopeNone is the slope at and below which reports are not believed.
	slopeNone = 0.2
	// slopeFull is the slope at and above which reports are believed in full.
	slopeFull = 0.4
)

// trust tells reports that state the present from late or false ones. A report
// that is true and fresh contains this entry's own requests at the server, which
// the entry knows exactly, so over many answers the reported total rises with
// them. The slope of that rise says how far reports are to be believed.
type trust struct {
	mu    sync.Mutex    // guards the moments
	x, y  float64       // means of own and reported requests
	xx    float64       // mean square of own requests
	xy    float64       // mean product
	share atomic.Uint64 // bits of the value
}

func newTrust() *trust {
	t := &trust{}
	t.share.Store(math.Float64bits(1))
	return t
}

// learn takes in an answer: own requests still in progress at the server and
// the total that it reports.
func (t *trust) learn(own, total float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.x += trustWeight * (own - t.x)
	t.y += trustWeight * (total - t.y)
	t.xx += trustWeight * (own*own - t.xx)
	t.xy += trustWeight * (own*total - t.xy)
	t.share.Store(math.Float64bits(trustOf(t.slope())))
}

// slope starts at one and moves with the evidence.
func (t *trust) slope() float64 {
	variance := t.xx - t.x*t.x
	covariance := t.xy - t.x*t.y
	return (covariance + trustPrior) / (variance + trustPrior)
}

func trustOf(slope float64) float64 {
	share := (slope - slopeNone) / (slopeFull - slopeNone)
	return min(max(share, 0), 1)
}

// value is from 0, reports say nothing, to 1, reports are true.
func (t *trust) value() float64 { return math.Float64frombits(t.share.Load()) }
