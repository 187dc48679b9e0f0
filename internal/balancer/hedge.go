package balancer

import "time"

const (
	// maxHedgeUtilization is the busy share of all slots above which a hedge costs
	// other requests more than it gains.
	maxHedgeUtilization = 0.9
	// minConfidence is the least confidence in load reports at which hedges are allowed.
	minConfidence = 0.5
)

// HedgeDelay returns how long to wait for the response to an idempotent request before
// a hedge is worth its cost. It returns false when there are too few samples, when load
// reports are not reliable, or when the servers are too busy for hedges.
func (b *Balancer) HedgeDelay(_ time.Time) (time.Duration, bool) {
	wait := micros(&b.latencies.hedge)
	if wait == 0 || b.confidence.value() < minConfidence {
		return 0, false
	}
	return wait, b.Utilization() <= maxHedgeUtilization
}

// Utilization returns the busy share of the servers' slots, 0 to 1, by their recent
// load reports.
func (b *Balancer) Utilization() float64 { return b.utilization.value() }

// ReportConfidence returns the confidence in load reports, 0 to 1.
func (b *Balancer) ReportConfidence() float64 { return b.confidence.value() }
