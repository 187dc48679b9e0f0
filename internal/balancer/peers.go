package balancer

import (
	"math"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// Estimate is the load and response time that the choice of a server was based on, for
// the log.
type Estimate struct {
	// Load is the estimated load in requests, or the score in nominal service times if the
	// server reports its slowdown.
	Load float64
	// PeerRequests is the estimated number of requests of other entries at the server.
	PeerRequests float64
	// Stretch is the predicted response time divided by the nominal service time; zero
	// if the server does not report its slowdown.
	Stretch float64
	// PastKnee is true if the request began past the knee of the server.
	PastKnee bool
	// Speed is the reported speed of the server, 1 at full speed; zero if it reports none.
	Speed float64
	// ReportAge is the age of the newest report, negative if there is none.
	ReportAge time.Duration
}

// estimate returns the estimate for a request that joins the server.
func (be *backend) estimate(reservationMask uint32, p *pickParams) Estimate {
	e := Estimate{Load: be.load(reservationMask, p), PeerRequests: be.report.peerRequestsAt(p), Speed: be.speed.current.value(), ReportAge: -1}
	if be.speed.known() {
		requests := be.inProgress(reservationMask, p)
		e.Stretch = be.stretch(requests, p)
		e.PastKnee = pastKnee(requests, be.slots(p))
	}
	if receivedAt := be.report.receivedAt.Load(); receivedAt > 0 {
		e.ReportAge = time.Duration(p.now - receivedAt)
	}
	return e
}

// Estimate returns the estimate that the choice of the server was based on.
func (r *Reservation) Estimate() Estimate { return r.estimate }

// applyReport applies a load report and returns the requests of other entries by it.
func (be *backend) applyReport(r Report, ownRequests int, now time.Time) float64 {
	age := steady.Nanos(now) - be.report.receivedAt.Load()
	be.speed.update(r.Slowdown, time.Duration(max(age, 0)))
	return be.report.update(r, ownRequests, steady.Nanos(now))
}

// AddReport applies a load report received at that time by another entry or by a probe
// of this entry. A report that is not newer than the last one is ignored.
func (b *Balancer) AddReport(server string, at time.Time, r Report) {
	be := b.snapshot.Load().backend(server)
	if be == nil || steady.Nanos(at) <= be.report.receivedAt.Load() {
		return
	}
	b.reporting.Store(true)
	be.applyReport(r, be.inFlight(), at)
}

// RequestCounts counts the requests that another entry sent to a server between two
// heartbeats.
type RequestCounts struct {
	// Sent is the number of requests sent.
	Sent int
	// Completed and Failed are the numbers of requests that ended.
	Completed, Failed int
}

// maxPeerFailures bounds the failures that one call of AddPeerCounts records.
const maxPeerFailures = 4

// AddPeerCounts applies another entry's request counts of a server; at is when it sent
// the last of them. Sent requests are ignored if a newer report counts them already.
func (b *Balancer) AddPeerCounts(server string, at time.Time, counts RequestCounts) {
	be := b.snapshot.Load().backend(server)
	if be == nil {
		return
	}
	if counts.Sent > 0 && steady.Nanos(at) > be.report.receivedAt.Load() {
		be.report.addPeerRequests(float64(counts.Sent))
	}
	now := time.Now()
	for range min(counts.Failed, maxPeerFailures) {
		b.recordFailure(be, now, Error)
	}
	if counts.Completed > 0 {
		be.health.recordSuccess()
	}
}

// addPeerRequests adds requests of other entries, until the next report replaces the
// number.
func (s *reportState) addPeerRequests(requests float64) {
	for {
		old := s.peerRequests.Load()
		next := math.Float64bits(math.Float64frombits(old) + requests)
		if s.peerRequests.CompareAndSwap(old, next) {
			return
		}
	}
}

// slowedSpeed is the speed below which a server counts as slowed.
const slowedSpeed = 0.5

// SlowdownCheck reports whether a server was slowed after a pick. It stays valid after
// the reservation has ended.
type SlowdownCheck struct {
	backend  *backend
	pickedAt int64 // nanoseconds since the Unix epoch
	speed    float64
}

// SlowdownCheck returns a check of the server for slowdowns after the pick. It must be
// called before Done.
func (r *Reservation) SlowdownCheck() SlowdownCheck {
	return SlowdownCheck{backend: r.backend, pickedAt: r.startedAt.Load(), speed: r.estimate.Speed}
}

// Slowed reports whether a report since the pick shows the server slowed, while it was
// not slowed at the pick.
func (c SlowdownCheck) Slowed() bool {
	return c.speed >= slowedSpeed && c.backend.speed.current.value() < slowedSpeed && c.backend.report.receivedAt.Load() > c.pickedAt
}
