package balancer

import "time"

const (
	// maxHedgeLoad is the busy share of all slots above which a second attempt
	// costs others more than it gains.
	maxHedgeLoad = 0.9
	// minTrust is the trust in reports from which they count as believed.
	minTrust = 0.5
)

// HedgeDelay is how long an idempotent request may stay unanswered before a
// second attempt is worth its cost. It is false when too little was measured
// or the servers are too busy for second attempts.
func (b *Balancer) HedgeDelay(_ time.Time) (time.Duration, bool) {
	wait := micros(&b.quantile.hedge)
	if wait == 0 || b.trust.value() < minTrust {
		return 0, false
	}
	return wait, b.Utilization() <= maxHedgeLoad
}

// Utilization is the busy share of the servers' slots, 0 to 1, by their recent reports.
func (b *Balancer) Utilization() float64 { return b.busy.value() }

// Trust is how far load reports are believed, from 0 to 1.
func (b *Balancer) Trust() float64 { return b.trust.value() }
