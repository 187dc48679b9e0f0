package balancer

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// Done ends the reservation and records the result of the attempt. It must be called
// exactly once for each pick.
func (b *Balancer) Done(reservation *Reservation, now time.Time, r Result) {
	estimate := reservation.estimate // after the release another pick may overwrite it
	p := b.pickParams(b.snapshot.Load(), now, 0)
	wasFull := reservation.backend.slotsTaken(reservation.backend.reserved.Load(), &p)
	if r.Kind == OK || r.Kind == Shed {
		reservation.endedAt.Store(steady.Nanos(now))
	} else {
		reservation.endedAt.Store(0)
	}
	ownRequests := reservation.backend.release(reservation)
	b.options.Observer.Ended(reservation.VM.Name, r, wasFull, now)
	if r.HasReport {
		b.applyReport(reservation.backend, ownRequests, now, r)
	}
	b.observeResponse(reservation.backend, r, now)
	b.observeNotices(reservation.backend, r.Notices, now)
	b.observeWarmUp(reservation.backend, b.snapshot.Load().warmUp, r.Notices.WarmUp, now, LimitFromResponse)
	switch r.Kind {
	case OK:
		b.updateShed(reservation.backend, 0)
		reservation.backend.health.recordSuccess()
		if !r.Upload {
			b.meanLatency.update(float64(r.Latency), meanWeight)
			b.updateKnee(estimate, r.Latency)
			b.latencies.record(now, r.Latency)
			reservation.backend.updateLatency(r.Latency, b.meanLatency.value())
		}
	case Shed:
		b.updateShed(reservation.backend, 1)
		if !reservation.backend.speed.known() {
			reservation.backend.health.penalize(now, b.penaltyDuration())
		}
	case Error, DialFailed:
		b.recordFailure(reservation.backend, now, r.Kind)
	}
}

// recordFailure records a failed request. It counts as in progress for a while, so that
// a server that fails fast does not attract load.
func (b *Balancer) recordFailure(be *backend, now time.Time, kind ResultKind) {
	be.health.penalize(now, b.penaltyDuration())
	if !be.health.recordFailure(now) {
		return
	}
	snapshot := b.snapshot.Load()
	if tooManySuspended(snapshot.suspended(steady.Nanos(now)), len(snapshot.backends)) {
		metrics.Count(b.options.Scope, metrics.Ejections, "ignored_past_cap")
		return
	}
	metrics.Count(b.options.Scope, metrics.Ejections, kind.String())
}

// penaltyDuration returns how long a failed or shed request counts as in progress.
func (b *Balancer) penaltyDuration() time.Duration {
	return min(max(time.Duration(overdueFactor*b.meanLatency.value()), minPenaltyDuration), maxPenaltyDuration)
}

const (
	// minPenaltyDuration is the least time for which a failure counts as in progress.
	minPenaltyDuration = 10 * time.Millisecond
	// maxPenaltyDuration bounds it in services with long latencies: a server that goes on
	// failing is ejected, and one that does not must be tried again.
	maxPenaltyDuration = time.Second
)

// applyReport applies the load report of a response. Only complete responses count in
// the means, as the timing of failed responses says little about the load.
func (b *Balancer) applyReport(be *backend, ownRequests int, now time.Time, r Result) {
	peerRequests := be.applyReport(r.Report, ownRequests, now)
	b.notifyDraining(be, r.Report)
	if r.Kind != OK {
		return
	}
	b.reporting.Store(true)
	b.meanPeerRequests.update(peerRequests, meanWeight)
	b.utilization.update(r.Report.utilization(), utilizationWeight)
	b.confidence.update(float64(ownRequests), float64(r.Report.InFlight+r.Report.Queue))
}

func (b *Balancer) notifyDraining(be *backend, r Report) {
	if r.Draining && b.options.OnDraining != nil {
		b.options.OnDraining(be.vm.Name)
	}
}
