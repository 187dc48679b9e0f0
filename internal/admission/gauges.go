package admission

import (
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
)

// gauges show the present state of a queue. They are guarded by Queue.mu.
type gauges struct {
	ranks []rankGauges // in the order of the scheduler's queues
	trust tally.Gauge
	busy  tally.Gauge
}

type rankGauges struct {
	waiting tally.Gauge
	window  tally.Gauge
}

func newGauges(scope tally.Scope, queues []*rankQueue) gauges {
	g := gauges{trust: scope.Gauge(metrics.ReportTrust), busy: scope.Gauge(metrics.BusyShare)}
	for _, l := range queues {
		ranked := scope.Tagged(map[string]string{"rank": l.rank.Name})
		g.ranks = append(g.ranks, rankGauges{
			waiting: ranked.Gauge(metrics.QueueWaiting),
			window:  ranked.Gauge(metrics.QueueWindow),
		})
	}
	return g
}

// observe sets the gauges. The mutex is held.
func (q *Queue) observe() {
	for n, l := range q.scheduler.queues {
		q.gauges.ranks[n].waiting.Update(float64(l.items.Len()))
		q.gauges.ranks[n].window.Update(l.window.limit)
	}
	q.gauges.trust.Update(q.balancer.Trust())
	q.gauges.busy.Update(q.balancer.Utilization())
}
