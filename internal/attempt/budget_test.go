package attempt

import (
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// The retries of all entries must stay within their ratio of all calls plus the
// initial tokens of each entry, however the calls are spread over entries and
// time.
func TestBudgetOverAllEntries(t *testing.T) {
	settings := tree.Budgets{RetryShare: 0.15, HedgeShare: 0.15, RetryBurst: 2}
	svc := &tree.Service{Budgets: settings}
	const entries, calls = 19, 10_000
	all := make([]budgets, entries)
	spent := 0
	for i := range calls {
		// Half of the calls go to one entry.
		b := all[(i%2)*(i/2%entries)].forService(svc)
		b.earnCall()
		for b.retries.take() {
			spent++
		}
		if b.takeHedge() {
			spent++
		}
	}
	if maxSpent := int(settings.RetryShare*calls) + entries*initialTokens; spent > maxSpent {
		t.Errorf("%d retries and hedges of %d calls, want at most %d", spent, calls, maxSpent)
	}
	idle := all[0].forService(svc)
	for range 1000 {
		idle.earnCall()
	}
	burst := 0
	for idle.retries.take() {
		burst++
	}
	if burst > 2 {
		t.Errorf("%d retries in a burst after an idle time, want at most 2", burst)
	}
}
