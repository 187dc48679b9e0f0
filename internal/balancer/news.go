package balancer

import (
	"math"
	"time"
)

// reportFade is the age at which a report still counts for 1/e.
const reportFade = 200 * time.Millisecond

// news is an immutable observation of a backend server, swapped whole.
type news struct {
	heard    int64   // nanoseconds since the Unix epoch
	others   float64 // requests of other entries at the server
	draining bool
}

// newsOf reads a report that arrived while own requests of this entry were
// still in progress at the server.
func newsOf(r Report, own int, now int64) *news {
	others := r.InFlight + r.Queue - own
	return &news{heard: now, others: float64(max(others, 0)), draining: r.Draining}
}

// othersAt is the load of other entries as the view sees it: what was reported,
// as far as reports are believed, faded with its age into what is usual for a
// server of the service.
func (n *news) othersAt(v *view) float64 {
	age := float64(v.now - n.heard)
	weight := v.trust * math.Exp(-age/float64(reportFade))
	return v.usual + weight*(n.others-v.usual)
}
