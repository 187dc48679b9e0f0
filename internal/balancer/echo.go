package balancer

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// echoWeight is the weight of the newest answer in the moments.
	echoWeight = 0.005
	// echoPrior is the variance with which reports are believed before much is known.
	echoPrior = 0.02
	// echoNone is the slope at and below which reports are not believed.
	echoNone = 0.2
	// echoFull is the slope at and above which reports are believed in full.
	echoFull = 0.4
)

// echo tells reports that state the present from late or false ones. A report
// that is true and fresh contains this entry's own requests at the server, which
// the entry knows exactly, so over many answers the reported total rises with
// them. The slope of that rise says how far reports are to be believed.
type echo struct {
	mu    sync.Mutex // guards the moments
	x, y  float64    // means of own and reported requests
	xx    float64    // mean square of own requests
	xy    float64    // mean product
	trust atomic.Uint64
}

func newEcho() *echo {
	e := &echo{}
	e.trust.Store(math.Float64bits(1))
	return e
}

// learn takes in an answer: own requests still in progress at the server and
// the total that it reports.
func (e *echo) learn(own, total float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.x += echoWeight * (own - e.x)
	e.y += echoWeight * (total - e.y)
	e.xx += echoWeight * (own*own - e.xx)
	e.xy += echoWeight * (own*total - e.xy)
	e.trust.Store(math.Float64bits(trustOf(e.slope())))
}

// slope starts at one and moves with the evidence.
func (e *echo) slope() float64 {
	variance := e.xx - e.x*e.x
	covariance := e.xy - e.x*e.y
	return (covariance + echoPrior) / (variance + echoPrior)
}

func trustOf(slope float64) float64 {
	share := (slope - echoNone) / (echoFull - echoNone)
	return min(max(share, 0), 1)
}

// value is from 0, reports say nothing, to 1, reports are true.
func (e *echo) value() float64 { return math.Float64frombits(e.trust.Load()) }
