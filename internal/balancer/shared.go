package balancer

import (
	"math"
	"time"
)

// Estimate is what a choice of a server was based on, for the log.
type Estimate struct {
	// Load is the estimate that won, in requests or usual works.
	Load float64
	// PeerRequests is the requests of other entries at the server.
	PeerRequests float64
	// Stretch is the expected time in usual works; zero where the server does not
	// tell its pace.
	Stretch float64
	// PastKnee says that the request began past the knee of the server.
	PastKnee bool
	// Rate is the reported pace of the server, zero where it tells none.
	Rate float64
	// ReportAge is the age of the newest report, negative where there is none.
	ReportAge time.Duration
}

func (h *host) basis(mask uint32, v *view) Estimate {
	b := Estimate{Load: h.load(mask, v), PeerRequests: h.report.othersAt(v), Rate: h.pace.now.value(), ReportAge: -1}
	if h.pace.known() {
		before := h.inProgress(mask, v)
		b.Stretch = h.stretch(before, v)
		b.PastKnee = pastKnee(before, h.slots(v))
	}
	if at := h.report.received.Load(); at > 0 {
		b.ReportAge = time.Duration(v.now - at)
	}
	return b
}

// Estimate returns what the choice of the server was based on.
func (s *Reservation) Estimate() Estimate { return s.basis }

// take puts a report in force and returns the load of the other entries.
func (h *host) take(r Report, own int, now time.Time) float64 {
	age := now.UnixNano() - h.report.received.Load()
	h.pace.update(r.Slowdown, time.Duration(max(age, 0)))
	return h.report.update(r, own, now.UnixNano())
}

// AddReport takes in a report that another entry got at that time. One that is older
// than what is known here is passed over.
func (b *Balancer) AddReport(server string, at time.Time, r Report) {
	h := b.snapshot.Load().host(server)
	if h == nil || at.UnixNano() <= h.report.received.Load() {
		return
	}
	b.reporting.Store(true)
	h.take(r, h.inFlight(), at)
}

// RequestCounts are the requests that another entry sent to a server in a short time.
type RequestCounts struct {
	// Sent is the requests sent.
	Sent int
	// Completed and Failed are the requests that ended.
	Completed, Failed int
}

// mostFailures bounds the failures that count at once.
const mostFailures = 4

// AddPeerCounts takes in what another entry saw of a server; it sent the last of its
// requests at that time. Those that a newer report counts already are passed over.
func (b *Balancer) AddPeerCounts(server string, at time.Time, o RequestCounts) {
	h := b.snapshot.Load().host(server)
	if h == nil {
		return
	}
	if o.Sent > 0 && at.UnixNano() > h.report.received.Load() {
		h.report.add(float64(o.Sent))
	}
	now := time.Now()
	for range min(o.Failed, mostFailures) {
		b.fail(h, now, Error)
	}
	if o.Completed > 0 {
		h.health.succeed()
	}
}

// add counts further requests of other entries until the next report.
func (s *reportState) add(requests float64) {
	for {
		old := s.others.Load()
		next := math.Float64bits(math.Float64frombits(old) + requests)
		if s.others.CompareAndSwap(old, next) {
			return
		}
	}
}

// slowedRate is the rate below which a server counts as slow.
const slowedRate = 0.5

// SlowdownCheck looks at the server of a place for as long as anybody wants, also after
// the place was given back.
type SlowdownCheck struct {
	host  *host
	since int64 // nanoseconds since the Unix epoch
	rate  float64
}

// SlowdownCheck returns a look at the server from the moment of the pick on. It is called
// before Done.
func (s *Reservation) SlowdownCheck() SlowdownCheck {
	return SlowdownCheck{host: s.host, since: s.started.Load(), rate: s.basis.Rate}
}

// Slowed reports whether the server was reported slow since the pick, though it
// was quick before.
func (w SlowdownCheck) Slowed() bool {
	return w.rate >= slowedRate && w.host.pace.now.value() < slowedRate && w.host.report.received.Load() > w.since
}
