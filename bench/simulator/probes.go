package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/probe"
)

// probeInterval is how often an entry looks for servers without a recent report.
const probeInterval = 50 * time.Millisecond

// newProber returns the product's prober, which chooses the servers to probe within
// the service's budget.
func newProber(q *productDispatcher) *probe.Prober {
	service := q.entry.run.service
	targets := []probe.Target{{Service: service, Source: q.balancer}}
	return probe.New(probe.Options{
		Targets: func() []probe.Target { return targets },
		Budget:  func() float64 { return service.Budgets.ProbesPerSecond },
	})
}

// probeLoop sends the probes that the budget allows, and repeats every probeInterval.
func (d *productDispatcher) probeLoop() {
	run := d.entry.run
	for {
		_, vm, ok := d.prober.Next(run.clock.time())
		if !ok {
			break
		}
		d.sendProbe(run.byName[vm.Name])
	}
	run.clock.after(probeInterval, d.probeLoop)
}

func (d *productDispatcher) sendProbe(s *server) {
	run := d.entry.run
	if run.inMeasuredTime() {
		run.result.Probes++
		run.result.Bytes += probeBytes
	}
	run.clock.after(oneWayDelay(d.entry, s), func() {
		report := s.report()
		run.clock.after(oneWayDelay(d.entry, s), func() {
			d.balancer.ProbeSucceeded(s.vm.Name, run.clock.time(), report)
		})
	})
}
