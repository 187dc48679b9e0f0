package admission

import (
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
)

// gauges report the current state of a queue. They are guarded by Queue.mu.
type gauges struct {
	ranks            []rankGauges // in the order of the scheduler's queues
	reportConfidence tally.Gauge
	busyShare        tally.Gauge
}

type rankGauges struct {
	waiting tally.Gauge
	window  tally.Gauge
}

func newGauges(scope tally.Scope, queues []*rankQueue) gauges {
	g := gauges{reportConfidence: scope.Gauge(metrics.ReportConfidence), busyShare: scope.Gauge(metrics.BusyShare)}
	for _, rq := range queues {
		rankScope := scope.Tagged(map[string]string{"rank": rq.rank.Name})
		g.ranks = append(g.ranks, rankGauges{
			waiting: rankScope.Gauge(metrics.QueueWaiting),
			window:  rankScope.Gauge(metrics.QueueWindow),
		})
	}
	return g
}

// updateGauges sets the gauges. The caller holds q.mu.
func (q *Queue) updateGauges() {
	for n, rq := range q.scheduler.queues {
		q.gauges.ranks[n].waiting.Update(float64(rq.items.Len()))
		q.gauges.ranks[n].window.Update(rq.window.limit)
	}
	q.gauges.reportConfidence.Update(q.balancer.ReportConfidence())
	q.gauges.busyShare.Update(q.balancer.Utilization())
}
