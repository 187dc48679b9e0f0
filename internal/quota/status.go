package quota

import (
	"cmp"
	"slices"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Counters of a Limiter.
const (
	// CounterRequests counts borrow requests to lenders.
	CounterRequests = "limit_borrow_requests"
	// CounterRequestsFailed counts borrow requests that got no reply or were refused.
	CounterRequestsFailed = "limit_borrow_requests_failed"
	// CounterLendRefused counts borrow requests that this entry refused.
	CounterLendRefused = "limit_lend_refused"
	// CounterFenced counts calls refused because this entry had no recent contact
	// with the log or a peer.
	CounterFenced = "limit_fenced"
	// CounterClockGaps counts divergences of the wall clock and the monotonic clock.
	CounterClockGaps = "limit_clock_gaps"
)

// String returns "calls_per_second" or "concurrent_calls".
func (k Kind) String() string {
	if k == ConcurrentCalls {
		return "concurrent_calls"
	}
	return "calls_per_second"
}

// LimitUsage describes one global limit at one entry, in units of the limit.
type LimitUsage struct {
	// Scope is what the limit applies to.
	Scope tree.Scope `json:"scope"`
	// Kind is "calls_per_second" or "concurrent_calls".
	Kind string `json:"kind"`
	// Limit is the limit over all entries.
	Limit int `json:"limit"`
	// Own is the sum of the shares of this entry's seats.
	Own int `json:"own"`
	// Lent is how much of Own is lent to other entries.
	Lent int `json:"lent"`
	// Borrowed is how much this entry has borrowed from other entries.
	Borrowed int `json:"borrowed"`
	// InUse is how many units are in use by calls started in the last second, or by
	// calls in progress.
	InUse int `json:"in_use"`
}

// Usage returns the usage of each active limit at this entry, sorted by scope and
// kind.
func (l *Limiter) Usage() []LimitUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.tick()
	l.state.refreshShares(now)
	var all []LimitUsage
	for key, a := range l.state.allocations {
		if a.limit == 0 {
			continue
		}
		a.advance(now)
		all = append(all, LimitUsage{
			Scope: key.scope, Kind: key.kind.String(), Limit: a.limit,
			Own: a.own, Lent: a.lentSum, Borrowed: a.borrowedSum, InUse: a.inUse(),
		})
	}
	slices.SortFunc(all, func(x, y LimitUsage) int {
		return cmp.Or(
			cmp.Compare(x.Scope.Member, y.Scope.Member),
			cmp.Compare(x.Scope.Service, y.Scope.Service),
			cmp.Compare(x.Scope.Rank, y.Scope.Rank),
			cmp.Compare(x.Kind, y.Kind),
		)
	})
	return all
}

// counters holds the Limiter's counters.
type counters struct {
	requests, requestsFailed, lendRefused, fenced, clockGaps tally.Counter
}

func newCounters(scope tally.Scope) counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	return counters{
		requests:       scope.Counter(CounterRequests),
		requestsFailed: scope.Counter(CounterRequestsFailed),
		lendRefused:    scope.Counter(CounterLendRefused),
		fenced:         scope.Counter(CounterFenced),
		clockGaps:      scope.Counter(CounterClockGaps),
	}
}
