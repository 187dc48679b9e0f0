package probe

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// returningInterval is the least time between two probes of one draining server.
const returningInterval = 2 * time.Second

// DrainingSource probes the draining servers of one service, which get no requests
// and so show by no answer that they serve again. It is a Source of a Prober.
type DrainingSource struct {
	// Draining lists the live servers that are known to be draining.
	Draining func() []fleet.VM
	// OnServing is told the name of a server that takes new work again. It is
	// called from several goroutines.
	OnServing func(server string)

	probed map[string]time.Time
}

// ProbeNext returns a draining server that was not probed of late.
func (r *DrainingSource) ProbeNext(now time.Time) (fleet.VM, bool) {
	draining := r.Draining()
	if len(draining) == 0 {
		r.probed = nil
		return fleet.VM{}, false
	}
	if r.probed == nil {
		r.probed = make(map[string]time.Time)
	}
	for _, vm := range draining {
		if now.Sub(r.probed[vm.Name]) < returningInterval {
			continue
		}
		r.probed[vm.Name] = now
		return vm, true
	}
	return fleet.VM{}, false
}

// ProbeAnswered passes on that the server takes new work again. The probe was
// sent after the server was known to be draining, so the report is the newer one.
func (r *DrainingSource) ProbeAnswered(server string, _ time.Time, report balancer.Report) {
	if !report.Draining {
		r.OnServing(server)
	}
}

// ProbeFailed changes nothing: a server that does not answer is not back.
func (r *DrainingSource) ProbeFailed(string, time.Time) {}
