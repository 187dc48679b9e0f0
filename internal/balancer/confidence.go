package balancer

import (
	"math"
	"sync"
	"sync/atomic"
)

const (
	// confidenceWeight is the weight of the newest response in the moments.
	confidenceWeight = 0.005
	// confidencePrior is the variance of the prior, by which reports are relied on while
	// there are few samples.
	confidencePrior = 0.02
	// zeroConfidenceSlope is the slope at and below which reports are ignored.
	zeroConfidenceSlope = 0.2
	// fullConfidenceSlope is the slope at and above which reports are fully relied on.
	fullConfidenceSlope = 0.4
)

// reportConfidence distinguishes accurate, current load reports from stale or false ones.
// An accurate report includes this entry's own requests at the server, whose number the
// entry knows exactly. So over many responses the reported total rises with that number,
// and the slope of this regression gives the confidence in reports.
type reportConfidence struct {
	mu                    sync.Mutex    // guards the moments
	ownMean, reportedMean float64       // means of this entry's and of the reported requests
	ownSquareMean         float64       // mean square of this entry's requests
	productMean           float64       // mean product of both
	bits                  atomic.Uint64 // float64 bits of the confidence
}

func newReportConfidence() *reportConfidence {
	c := &reportConfidence{}
	c.bits.Store(math.Float64bits(1))
	return c
}

// update adds the sample of a response: this entry's requests still in progress at the
// server and the total that the server reports.
func (c *reportConfidence) update(ownRequests, reportedTotal float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownMean += confidenceWeight * (ownRequests - c.ownMean)
	c.reportedMean += confidenceWeight * (reportedTotal - c.reportedMean)
	c.ownSquareMean += confidenceWeight * (ownRequests*ownRequests - c.ownSquareMean)
	c.productMean += confidenceWeight * (ownRequests*reportedTotal - c.productMean)
	c.bits.Store(math.Float64bits(confidenceOf(c.slope())))
}

// slope returns the regression slope. It is one without samples.
func (c *reportConfidence) slope() float64 {
	variance := c.ownSquareMean - c.ownMean*c.ownMean
	covariance := c.productMean - c.ownMean*c.reportedMean
	return (covariance + confidencePrior) / (variance + confidencePrior)
}

// confidenceOf returns the confidence for a slope.
func confidenceOf(slope float64) float64 {
	share := (slope - zeroConfidenceSlope) / (fullConfidenceSlope - zeroConfidenceSlope)
	return min(max(share, 0), 1)
}

// value returns the confidence, from 0 (reports are ignored) to 1 (fully relied on).
func (c *reportConfidence) value() float64 { return math.Float64frombits(c.bits.Load()) }
