package quota

import (
	"cmp"
	"slices"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Counters of a Limiter.
const (
	// CounterRequests counts requests to lenders.
	CounterRequests = "limit_borrow_requests"
	// CounterRequestsFailed counts those without an answer.
	CounterRequestsFailed = "limit_borrow_requests_failed"
	// CounterLendRefused counts requests of borrowers that were not answered.
	CounterLendRefused = "limit_lend_refused"
	// CounterFenced counts calls refused as neither log nor peer was heard.
	CounterFenced = "limit_fenced"
	// CounterPauses counts gaps between the wall clock and the monotonic one.
	CounterPauses = "limit_clock_gaps"
)

// String returns "calls_per_second" or "concurrent_calls".
func (k Kind) String() string {
	if k == ConcurrentCalls {
		return "concurrent_calls"
	}
	return "calls_per_second"
}

// LimitUsage is what an entry has of one voted limit.
type LimitUsage struct {
	// Scope is what the limit governs.
	Scope tree.Scope `json:"scope"`
	// Kind is "calls_per_second" or "concurrent_calls".
	Kind string `json:"kind"`
	// Limit is the voted limit over all entries.
	Limit int `json:"limit"`
	// Own is the share of this entry's seats.
	Own int `json:"own"`
	// Lent is how much of it other entries hold.
	Lent int `json:"lent"`
	// Borrowed is how much this entry holds of other entries' shares.
	Borrowed int `json:"borrowed"`
	// InUse is what the calls of the last second, or those in progress, use.
	InUse int `json:"in_use"`
}

// Usage returns what this entry has of each limit in force, sorted by scope.
func (l *Limiter) Usage() []LimitUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.tick()
	l.book.refreshShares(now)
	var all []LimitUsage
	for key, a := range l.book.accounts {
		if a.limit == 0 {
			continue
		}
		a.advance(now)
		all = append(all, LimitUsage{
			Scope: key.scope, Kind: key.kind.String(), Limit: a.limit,
			Own: a.own, Lent: a.lentSum, Borrowed: a.borrowedSum, InUse: a.busy(),
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

// counters are the Limiter's counters, looked up once.
type counters struct {
	requests, requestsFailed, lendRefused, fenced, pauses tally.Counter
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
		pauses:         scope.Counter(CounterPauses),
	}
}
