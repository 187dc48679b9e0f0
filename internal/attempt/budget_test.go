package attempt

import (
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// The retries of all entries stay within their ratio of all calls and one burst
// an entry, however the calls are spread over entries and time.
func TestBudgetOverAllEntries(t *testing.T) {
	settings := tree.Budgets{RetryShare: 0.15, HedgeShare: 0.15, RetryBurst: 2}
	svc := &tree.Service{Budgets: settings}
	const entries, calls = 19, 10_000
	all := make([]budgets, entries)
	spent := 0
	for i := range calls {
		// Half of the calls come to one entry.
		b := all[(i%2)*(i/2%entries)].of(svc)
		b.begin()
		for b.retries.spend() {
			spent++
		}
		if b.spendHedge() {
			spent++
		}
	}
	if most := int(settings.RetryShare*calls) + entries*firstTokens; spent > most {
		t.Errorf("%d retries and hedges of %d calls, at most %d", spent, calls, most)
	}
	idle := all[0].of(svc)
	for range 1000 {
		idle.begin()
	}
	burst := 0
	for idle.retries.spend() {
		burst++
	}
	if burst > 2 {
		t.Errorf("%d retries at once after a calm time", burst)
	}
}
