package balancer

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
)

// Done ends the reservation with what the attempt showed. It must be called
// exactly once for each pick.
func (b *Balancer) Done(s *Reservation, now time.Time, r Result) {
	basis := s.basis // once released, the place is another pick's
	v := b.view(b.snapshot.Load(), now, 0)
	full := s.host.slotsTaken(s.host.busy.Load(), &v)
	own := s.host.release(s)
	b.options.Observer.Ended(s.VM.Name, r, full, now)
	if r.HasReport {
		b.hear(s.host, own, now, r)
	}
	switch r.Kind {
	case OK:
		b.learnShed(s.host, 0)
		s.host.health.succeed()
		if !r.Upload {
			b.latency.learn(float64(r.Latency), meanWeight)
			b.learnKnee(basis, r.Latency)
			b.quantile.learn(now, r.Latency)
			s.host.learnLatency(r.Latency, b.latency.value())
		}
	case Shed:
		b.learnShed(s.host, 1)
		if !s.host.pace.known() {
			s.host.health.penalize(now, b.penaltyTime())
		}
	case Error, DialFailed:
		b.fail(s.host, now, r.Kind)
	}
}

// fail lets the failed answer count as a long one, so that a server that fails
// fast draws no load.
func (b *Balancer) fail(h *host, now time.Time, kind ResultKind) {
	h.health.penalize(now, b.penaltyTime())
	if !h.health.fail(now) {
		return
	}
	snapshot := b.snapshot.Load()
	if tooMany(snapshot.suspended(now.UnixNano()), len(snapshot.hosts)) {
		metrics.Count(b.options.Scope, metrics.Ejections, "ignored_past_cap")
		return
	}
	metrics.Count(b.options.Scope, metrics.Ejections, kind.String())
}

// penaltyTime is how long a failed or shed request counts as in progress.
func (b *Balancer) penaltyTime() time.Duration {
	return max(time.Duration(overdueMeans*b.latency.value()), minPenalty)
}

// minPenalty is the shortest time that a failure counts as in progress.
const minPenalty = 10 * time.Millisecond

// hear takes in the report of an answer. Only whole answers count in the means,
// as a server that fails answers at times of its own.
func (b *Balancer) hear(h *host, own int, now time.Time, r Result) {
	others := h.take(r.Report, own, now)
	b.tellDraining(h, r.Report)
	if r.Kind != OK {
		return
	}
	b.reporting.Store(true)
	b.others.learn(others, meanWeight)
	b.busy.learn(r.Report.busyShare(), busyWeight)
	b.trust.learn(float64(own), float64(r.Report.InFlight+r.Report.Queue))
}

func (b *Balancer) tellDraining(h *host, r Report) {
	if r.Draining && b.options.OnDraining != nil {
		b.options.OnDraining(h.vm.Name)
	}
}
