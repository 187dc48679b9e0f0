package frontend

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// latencyBuckets are the upper bounds of the latency histograms.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(500*time.Microsecond, 2, 18)

// stats holds the metrics of each service and rank, so that a call finds them by two
// names and does not build tags.
type stats struct {
	scope tally.Scope
	ranks sync.Map // rankKey -> *rankStats

	tenants tenantCounters
}

type rankKey struct{ service, rank string }

// rankStats are the metrics of one rank of a service.
type rankStats struct {
	ran, notRun, unknown tally.Counter
	latency              tally.Histogram
}

// forMatch returns the metrics of the matched service and rank, created on first use.
func (s *stats) forMatch(m tree.Match) *rankStats {
	key := rankKey{m.Service.Key(), m.Rank.Name}
	if existing, ok := s.ranks.Load(key); ok {
		return existing.(*rankStats)
	}
	created, _ := s.ranks.LoadOrStore(key, newRankStats(s.scope, key))
	return created.(*rankStats)
}

func newRankStats(scope tally.Scope, key rankKey) *rankStats {
	rank := scope.Tagged(map[string]string{"service": key.service, "rank": key.rank})
	callCounter := func(o outcome.Outcome) tally.Counter {
		return rank.Tagged(map[string]string{"outcome": string(o)}).Counter("calls")
	}
	return &rankStats{
		ran:     callCounter(outcome.Ran),
		notRun:  callCounter(outcome.NotRun),
		unknown: callCounter(outcome.Unknown),
		latency: rank.Histogram("call_latency", latencyBuckets),
	}
}

// observe counts a finished call and, if it ran, records its latency.
func (s *rankStats) observe(o outcome.Outcome, latency time.Duration) {
	switch o {
	case outcome.Ran:
		s.ran.Inc(1)
		s.latency.RecordDuration(latency)
	case outcome.NotRun:
		s.notRun.Inc(1)
	case outcome.Unknown:
		s.unknown.Inc(1)
	}
}
