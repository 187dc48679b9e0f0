package attempt

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// recordingAdmitter records the requests for servers.
type recordingAdmitter struct {
	*fakes
	admitted []Request
}

func (a *recordingAdmitter) Admit(ctx context.Context, r Request) (Grant, *outcome.Refusal) {
	a.admitted = append(a.admitted, r)
	return a.fakes.Admit(ctx, r)
}

// The queue must know the tenant of each attempt and its use, or a surge takes the place of the
// other tenants. A call without a tenant has neither.
func TestQueueKnowsTheTenant(t *testing.T) {
	for _, tenant := range []*tree.Tenant{nil, {Name: "a", PerSecond: 40}} {
		f := &fakes{results: []any{503, 200}}
		admitter := &recordingAdmitter{fakes: f}
		ctx := t.Context()
		if tenant != nil {
			ctx = WithUtilization(ctx, 0.9)
		}
		m := tree.Match{Service: &tree.Service{Budgets: tree.Budgets{RetryShare: 0.1}}, Route: &tree.Route{Idempotent: true}, Tenant: tenant}
		response, refusal := New(admitter, f, tally.NoopScope).Do(ctx, m, httptest.NewRequest("GET", "/", nil))
		if refusal != nil {
			t.Fatal(refusal)
		}
		response.Body.Close()
		if len(admitter.admitted) != 2 {
			t.Fatalf("%d attempts, want 2", len(admitter.admitted))
		}
		for _, r := range admitter.admitted {
			name, rate, use := "", 0.0, 0.0
			if tenant != nil {
				name, rate, use = "a", 40, 0.9
			}
			if r.Tenant != name || r.TenantRate != rate || r.Utilization != use {
				t.Errorf("the queue got tenant %q, rate %v, use %v, want %q, %v, %v", r.Tenant, r.TenantRate, r.Utilization, name, rate, use)
			}
		}
	}
}
