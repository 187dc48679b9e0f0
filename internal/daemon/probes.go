package daemon

import (
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/follow"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/probe"
	"chestnutrouter.example/chestnutrouter/internal/service"
)

// probeTargets lists what the measuring budget is spent on: the servers of each
// service, and those that are draining and may come back. It is used by the
// prober's goroutine only.
type probeTargets struct {
	follower  *follow.Follower
	services  *service.Set
	members   *membership.Membership
	returning map[string]*probe.DrainingSource
}

func newProber(f *follow.Follower, services *service.Set, m *membership.Membership, scope tally.Scope) *probe.Prober {
	t := &probeTargets{follower: f, services: services, members: m, returning: make(map[string]*probe.DrainingSource)}
	return probe.New(probe.Options{Targets: t.list, Budget: t.budget, Scope: scope})
}

// budget is the probes a second of the whole entry; none before the first tree.
func (t *probeTargets) budget() float64 {
	tree := t.follower.Current().Tree()
	if tree == nil {
		return 0
	}
	return tree.Budgets.ProbesPerSecond
}

func (t *probeTargets) list() []probe.Target {
	tree := t.follower.Current().Tree()
	if tree == nil {
		return nil
	}
	targets := make([]probe.Target, 0, 2*len(tree.Services))
	for _, svc := range tree.Services {
		if running, ok := t.services.Get(svc.Key()); ok {
			targets = append(targets, probe.Target{Service: svc, Source: running.Balancer})
		}
		targets = append(targets, probe.Target{Service: svc, Source: t.returningOf(svc.Key())})
	}
	return targets
}

func (t *probeTargets) returningOf(key string) *probe.DrainingSource {
	r := t.returning[key]
	if r == nil {
		r = &probe.DrainingSource{
			Draining:  func() []fleet.VM { return drainingServers(t.members.View(), key) },
			OnServing: t.members.ReportServing,
		}
		t.returning[key] = r
	}
	return r
}

// drainingServers are those that say so themselves; one that the VM list calls
// leaving does not come back.
func drainingServers(v *membership.View, key string) []fleet.VM {
	var draining []fleet.VM
	for _, vm := range v.LeavingServers(key) {
		if vm.State == fleet.Live && v.Draining(vm.Name) {
			draining = append(draining, vm)
		}
	}
	return draining
}
