package balancer

import (
	"math"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// reportLifetime is the age from which a report has no weight; the weight decreases
// linearly until then.
const reportLifetime = 500 * time.Millisecond

// reportState holds the last load report of a backend server. Its fields are written one
// by one; a pick that reads between two writes may see fields of two successive reports.
type reportState struct {
	receivedAt   atomic.Int64  // nanoseconds since the Unix epoch
	peerRequests atomic.Uint64 // float64 bits of the number of requests of other entries
	draining     atomic.Bool
}

// IsDraining reports whether the server reported that it accepts no new requests.
func (b *Balancer) IsDraining(server string) bool {
	be := b.snapshot.Load().backend(server)
	return be != nil && (be.report.draining.Load() || be.notices.leavingSince.Load() != 0)
}

// LastReport returns when the server last reported its load, the zero time if it never did.
func (b *Balancer) LastReport(server string) time.Time {
	be := b.snapshot.Load().backend(server)
	if be == nil || be.report.receivedAt.Load() == 0 {
		return time.Time{}
	}
	return steady.Time(be.report.receivedAt.Load())
}

// update applies a report that arrived while ownRequests of this entry were still in
// progress at the server. It returns the number of requests of other entries.
func (s *reportState) update(r Report, ownRequests int, now int64) float64 {
	peerRequests := float64(max(r.InFlight+r.Queue-ownRequests, 0))
	s.peerRequests.Store(math.Float64bits(peerRequests))
	s.receivedAt.Store(now)
	s.draining.Store(r.Draining)
	return peerRequests
}

// peerRequestsAt returns the estimated requests of other entries: the reported number
// blended with the mean of the service's servers. The weight of the report is the
// confidence in reports, and it decreases with the report's age.
func (s *reportState) peerRequestsAt(p *pickParams) float64 {
	age := float64(p.now - s.receivedAt.Load())
	weight := p.confidence * (1 - age/float64(reportLifetime))
	if weight <= 0 {
		return p.meanPeerRequests
	}
	peerRequests := math.Float64frombits(s.peerRequests.Load())
	return p.meanPeerRequests + weight*(peerRequests-p.meanPeerRequests)
}
