package daemon

import (
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/follow"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/probe"
	"chestnutrouter.example/chestnutrouter/internal/service"
)

// probeTargets lists the targets of the probe budget: the servers of each service,
// and its draining servers, which may serve again. It is used by the prober's
// goroutine only.
type probeTargets struct {
	follower *follow.Follower
	services *service.Set
	members  *membership.Membership
	draining map[string]*probe.DrainingSource
}

func newProber(f *follow.Follower, services *service.Set, m *membership.Membership, scope tally.Scope) *probe.Prober {
	t := &probeTargets{follower: f, services: services, members: m, draining: make(map[string]*probe.DrainingSource)}
	return probe.New(probe.Options{Targets: t.list, Budget: t.budget, Scope: scope})
}

// budget returns the probes per second of the whole entry; zero before the first tree.
func (t *probeTargets) budget() float64 {
	tree := t.follower.Current().Tree()
	if tree == nil {
		return 0
	}
	return tree.Budgets.ProbesPerSecond
}

// list returns the targets of all services in the active tree.
func (t *probeTargets) list() []probe.Target {
	tree := t.follower.Current().Tree()
	if tree == nil {
		return nil
	}
	targets := make([]probe.Target, 0, 2*len(tree.Services))
	for _, svc := range tree.Services {
		if runtime, ok := t.services.Get(svc.Key()); ok {
			targets = append(targets, probe.Target{Service: svc, Source: runtime.Balancer})
		}
		targets = append(targets, probe.Target{Service: svc, Source: t.drainingSource(svc.Key())})
	}
	return targets
}

// drainingSource returns the source of the draining servers of the service with that key.
func (t *probeTargets) drainingSource(serviceKey string) *probe.DrainingSource {
	source := t.draining[serviceKey]
	if source == nil {
		source = &probe.DrainingSource{
			Draining:  func() []fleet.VM { return drainingServers(t.members.View(), serviceKey) },
			OnServing: t.members.ReportServing,
		}
		t.draining[serviceKey] = source
	}
	return source
}

// drainingServers returns the servers of a service that report themselves as draining.
// A server that is leaving according to the VM list does not serve again.
func drainingServers(v *membership.View, serviceKey string) []fleet.VM {
	var draining []fleet.VM
	for _, vm := range v.LeavingServers(serviceKey) {
		if vm.State == fleet.Live && v.Draining(vm.Name) {
			draining = append(draining, vm)
		}
	}
	return draining
}
