package balancer

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// staleReportAge is the age of the last report from which a probe is worth its cost.
const staleReportAge = time.Second

// probeWeight is the weight of a probe in the busy share in services whose responses
// carry no reports, as probes are few.
const probeWeight = 0.05

// ProbeNext returns the server whose last load report or probe is the oldest. It returns
// false if every server had one within staleReportAge. It does not return the same server
// again before staleReportAge has passed.
func (b *Balancer) ProbeNext(now time.Time) (fleet.VM, bool) {
	var stalest *backend
	updatedBefore := steady.Nanos(now.Add(-staleReportAge))
	for _, be := range b.snapshot.Load().backends {
		if updated := max(be.report.receivedAt.Load(), be.probedAt.Load()); updated <= updatedBefore {
			stalest, updatedBefore = be, updated
		}
	}
	if stalest == nil {
		return fleet.VM{}, false
	}
	stalest.probedAt.Store(steady.Nanos(now))
	return stalest.vm, true
}

// ProbeSucceeded applies the report of a probe. It does not end an ejection, as a server
// may answer probes and still fail requests. The load is used only in a service whose
// responses carry reports too: otherwise nothing would correct it, and all requests would
// go to the server that a probe last found idle.
func (b *Balancer) ProbeSucceeded(server string, now time.Time, r Report) {
	be := b.snapshot.Load().backend(server)
	if be == nil {
		return
	}
	b.notifyDraining(be, r)
	if b.reporting.Load() {
		be.applyReport(r, be.inFlight(), now)
		return
	}
	be.report.draining.Store(r.Draining)
	b.utilization.update(r.utilization(), probeWeight)
}

// ProbeFailed records a failed probe. It counts like a failed dial.
func (b *Balancer) ProbeFailed(server string, now time.Time) {
	if be := b.snapshot.Load().backend(server); be != nil {
		b.recordFailure(be, now, DialFailed)
	}
}
