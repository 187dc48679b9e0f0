package balancer

import (
	"math"
	"sync/atomic"
	"time"
)

// reportFade is the age at which a report counts for nothing; it loses its
// weight evenly until then.
const reportFade = 500 * time.Millisecond

// reportState is the last report of a backend server. The fields are written one by
// one; a pick that reads between two writes is off by one report.
type reportState struct {
	received atomic.Int64  // nanoseconds since the Unix epoch
	others   atomic.Uint64 // bits of the number of requests of other entries
	draining atomic.Bool
}

// update takes in a report that arrived while own requests of this entry were
// still in progress at the server. It returns the load of the other entries.
func (s *reportState) update(r Report, own int, now int64) float64 {
	others := float64(max(r.InFlight+r.Queue-own, 0))
	s.others.Store(math.Float64bits(others))
	s.received.Store(now)
	s.draining.Store(r.Draining)
	return others
}

// othersAt is the load of other entries as the view sees it: what was reported,
// as far as reports are believed, faded with its age into what is usual for a
// server of the service.
func (s *reportState) othersAt(v *view) float64 {
	age := float64(v.now - s.received.Load())
	weight := v.trust * (1 - age/float64(reportFade))
	if weight <= 0 {
		return v.usual
	}
	others := math.Float64frombits(s.others.Load())
	return v.usual + weight*(others-v.usual)
}
