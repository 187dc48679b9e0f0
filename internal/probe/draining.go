package probe

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// drainingInterval is the least time between two probes of one draining server.
const drainingInterval = 2 * time.Second

// DrainingSource lists the draining servers of one service for probes. They get no
// requests, so no response can show that they accept requests again. It is a Source of a
// Prober.
type DrainingSource struct {
	// Draining lists the live servers that are known to be draining.
	Draining func() []fleet.VM
	// OnServing is called with the name of a server that accepts new requests again. It
	// is called from several goroutines.
	OnServing func(server string)

	probed map[string]time.Time
}

// ProbeNext returns a draining server that was not probed within drainingInterval, or
// false if there is none.
func (s *DrainingSource) ProbeNext(now time.Time) (fleet.VM, bool) {
	draining := s.Draining()
	if len(draining) == 0 {
		s.probed = nil
		return fleet.VM{}, false
	}
	if s.probed == nil {
		s.probed = make(map[string]time.Time)
	}
	for _, vm := range draining {
		if now.Sub(s.probed[vm.Name]) < drainingInterval {
			continue
		}
		s.probed[vm.Name] = now
		return vm, true
	}
	return fleet.VM{}, false
}

// ProbeSucceeded calls OnServing if the server no longer drains. The probe was sent after
// the server was known to be draining, so its report is the newer information.
func (s *DrainingSource) ProbeSucceeded(server string, _ time.Time, report balancer.Report) {
	if !report.Draining {
		s.OnServing(server)
	}
}

// ProbeFailed does nothing: a server that fails a probe remains draining.
func (s *DrainingSource) ProbeFailed(string, time.Time) {}
