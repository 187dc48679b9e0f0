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
func (q *productDispatcher) probeLoop() {
	run := q.entry.run
	for {
		_, vm, ok := q.prober.Next(run.clock.time())
		if !ok {
			break
		}
		q.sendProbe(run.byName[vm.Name])
	}
	run.clock.after(probeInterval, q.probeLoop)
}

func (q *productDispatcher) sendProbe(s *server) {
	run := q.entry.run
	if run.inMeasuredTime() {
		run.result.Probes++
		run.result.Bytes += probeBytes
	}
	run.clock.after(oneWayDelay(q.entry, s), func() {
		report := s.report()
		run.clock.after(oneWayDelay(q.entry, s), func() {
			q.balancer.ProbeSucceeded(s.vm.Name, run.clock.time(), report)
		})
	})
}
