package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/probe"
)

// probeInterval is how often an entry looks for servers without news.
const probeInterval = 50 * time.Millisecond

// newProber returns the real budget and choice of probes of an entry.
func newProber(q *queued) *probe.Prober {
	service := q.entry.run.service
	targets := []probe.Target{{Service: service, Source: q.balancer}}
	return probe.New(probe.Options{
		Targets: func() []probe.Target { return targets },
		Budget:  func() float64 { return service.Budgets.ProbesPerSecond },
	})
}

// probe sends what the budget gives, and again later.
func (q *queued) probe() {
	run := q.entry.run
	for {
		_, vm, ok := q.prober.Next(run.clock.time())
		if !ok {
			break
		}
		q.sendProbe(run.byName[vm.Name])
	}
	run.clock.after(probeInterval, q.probe)
}

func (q *queued) sendProbe(s *server) {
	run := q.entry.run
	if run.measuring() {
		run.result.Probes++
		run.result.Bytes += probeBytes
	}
	run.clock.after(oneWay(q.entry, s), func() {
		report := s.report()
		run.clock.after(oneWay(q.entry, s), func() {
			q.balancer.ProbeAnswered(s.vm.Name, run.clock.time(), report)
		})
	})
}
