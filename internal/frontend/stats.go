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

// stats holds the counters of each service and rank, so that a call looks its
// counters up by two names and builds no tags.
type stats struct {
	scope tally.Scope
	ranks sync.Map // rankName -> *rankStats
}

type rankName struct{ service, rank string }

// rankStats are the counters of one rank of one service.
type rankStats struct {
	ran, notRun, unknown tally.Counter
	latency              tally.Histogram
}

// of returns the counters of the route's rank, made on first use.
func (s *stats) of(m tree.Match) *rankStats {
	name := rankName{m.Service.Key(), m.Rank.Name}
	if known, ok := s.ranks.Load(name); ok {
		return known.(*rankStats)
	}
	made, _ := s.ranks.LoadOrStore(name, newRankStats(s.scope, name))
	return made.(*rankStats)
}

func newRankStats(scope tally.Scope, name rankName) *rankStats {
	rank := scope.Tagged(map[string]string{"service": name.service, "rank": name.rank})
	calls := func(o outcome.Outcome) tally.Counter {
		return rank.Tagged(map[string]string{"outcome": string(o)}).Counter("calls")
	}
	return &rankStats{
		ran:     calls(outcome.Ran),
		notRun:  calls(outcome.NotRun),
		unknown: calls(outcome.Unknown),
		latency: rank.Histogram("call_latency", latencyBuckets),
	}
}

// observe counts the end of one call.
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
