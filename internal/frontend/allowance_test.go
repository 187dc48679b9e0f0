package frontend

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/allowance"
	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// fakeAllowances grants or refuses each request.
type fakeAllowances struct {
	refusal            *outcome.Refusal
	acquired, returned int
}

func (f *fakeAllowances) Acquire(context.Context, *tree.Tenant) (allowance.Grant, *outcome.Refusal) {
	f.acquired++
	if f.refusal != nil {
		return nil, f.refusal
	}
	return fakeGrant{f}, nil
}

type fakeGrant struct{ allowances *fakeAllowances }

func (g fakeGrant) Return()              { g.allowances.returned++ }
func (g fakeGrant) Utilization() float64 { return 0.5 }

// serveTenantCall serves a lookup of the tenant. steps are those of the attempts at servers.
func serveTenantCall(t *testing.T, tenant *tree.Tenant, allowances *fakeAllowances, response *outcome.Refusal) (*harness, *httptest.ResponseRecorder, *AccessRecord) {
	t.Helper()
	h := newHarness(t)
	h.Allowances = allowances
	if response != nil {
		h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) { return nil, response }
	}
	r := httptest.NewRequest(http.MethodGet, "http://"+testHost+"/", nil)
	c, refusal := newCall(h.tree, r, time.Now())
	if refusal != nil {
		t.Fatal(refusal)
	}
	c.match.Tenant = tenant
	rec := newAccessRecord(r)
	w := httptest.NewRecorder()
	recorder := &statusRecorder{ResponseWriter: w, record: rec, drainer: h.Drainer}
	h.serveWithinAllowance(recorder, r.WithContext(attempt.WithTrace(r.Context(), &rec.Trace)), c, rec)
	return h, w, rec
}

// A request beyond the allowance must get the refusal and not run; it has no unit to return.
func TestRequestBeyondTheAllowanceDoesNotRun(t *testing.T) {
	allowances := &fakeAllowances{refusal: outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonAllowance, "x").WithRetryAfter(time.Second)}
	h, w, _ := serveTenantCall(t, &tree.Tenant{Name: "a", PerSecond: 1}, allowances, nil)
	if w.Code != http.StatusTooManyRequests || w.Header().Get(wire.HeaderReason) != "allowance" || w.Header().Get("Retry-After") != "1" {
		t.Errorf("got status %d and header %v", w.Code, w.Header())
	}
	if h.runs.Load() != 0 || allowances.returned != 0 || h.refusals(outcome.ReasonAllowance) != 1 {
		t.Errorf("%d runs, %d returned units, %d refusals counted", h.runs.Load(), allowances.returned, h.refusals(outcome.ReasonAllowance))
	}
}

// Requests without a tenant and those of a tenant without a limit must not ask for units.
func TestRequestWithoutLimitNeedsNoUnit(t *testing.T) {
	for _, tenant := range []*tree.Tenant{nil, {Name: "a"}} {
		allowances := &fakeAllowances{}
		h, w, _ := serveTenantCall(t, tenant, allowances, nil)
		if w.Code != http.StatusOK || h.runs.Load() != 1 || allowances.acquired != 0 {
			t.Errorf("status %d, %d runs, %d units acquired", w.Code, h.runs.Load(), allowances.acquired)
		}
	}
}

// A unit must be returned only if certainly no server has received the request.
func TestUnitOfARequestWithoutRoomIsReturned(t *testing.T) {
	tenant := &tree.Tenant{Name: "a", PerSecond: 1}
	for _, c := range []struct {
		name    string
		refusal *outcome.Refusal
		want    int
	}{
		{"answered", nil, 0},
		{"no room", outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonQueueFull, "x"), 1},
		{"unknown", outcome.NewUnknown(outcome.ReasonServerHungUp, "x"), 0},
	} {
		allowances := &fakeAllowances{}
		if serveTenantCall(t, tenant, allowances, c.refusal); allowances.returned != c.want {
			t.Errorf("%s: %d units returned, want %d", c.name, allowances.returned, c.want)
		}
	}
}
