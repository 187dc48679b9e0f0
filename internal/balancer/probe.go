package balancer

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// probeAge is the age of the last report from which a probe is worth its cost.
const probeAge = time.Second

// probeWeight is the weight of a probe in the busy share, where answers carry
// no reports and probes are few.
const probeWeight = 0.05

// ProbeNext is the server whose load has been unknown for longest, and false
// when answers or probes reported the load of every server within probeAge. A
// server is not offered again before probeAge has passed.
func (b *Balancer) ProbeNext(now time.Time) (fleet.VM, bool) {
	var oldest *host
	since := now.Add(-probeAge).UnixNano()
	for _, h := range b.snapshot.Load().hosts {
		if known := max(h.report.received.Load(), h.probed.Load()); known <= since {
			oldest, since = h, known
		}
	}
	if oldest == nil {
		return fleet.VM{}, false
	}
	oldest.probed.Store(now.UnixNano())
	return oldest.vm, true
}

// ProbeAnswered takes in the report of a probe. It ends no ejection, as a server
// may answer probes well and requests badly. The load counts only in a service
// whose answers carry reports too: without these nothing corrects it, and all
// work would go where a probe last found an idle server.
func (b *Balancer) ProbeAnswered(server string, now time.Time, r Report) {
	h := b.snapshot.Load().host(server)
	if h == nil {
		return
	}
	b.tellDraining(h, r)
	if b.reporting.Load() {
		h.take(r, h.inFlight(), now)
		return
	}
	h.report.draining.Store(r.Draining)
	b.busy.learn(r.busyShare(), probeWeight)
}

// ProbeFailed counts like a failed dial.
func (b *Balancer) ProbeFailed(server string, now time.Time) {
	if h := b.snapshot.Load().host(server); h != nil {
		b.fail(h, now, DialFailed)
	}
}
