package frontend

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// newTenantHarness returns a harness whose tree has the tenant acme of rank uploads.
func newTenantHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t)
	if err := h.tree.AddTenant(&tree.Tenant{Name: "acme", RankName: "uploads"}, "good"); err != nil {
		t.Fatal(err)
	}
	h.tree.Services[0].Routes = append([]*tree.Route{
		{Methods: []string{"GET"}, PathPrefix: "/open", Rank: "lookups", Idempotent: true, Public: true, Timeout: h.tree.Services[0].Routes[1].Timeout},
	}, h.tree.Services[0].Routes...)
	return h
}

// sendKey serves a request with a key, none if it is empty, and returns the record of the call.
func (h *harness) sendKey(path, key string, body io.Reader) (*httptest.ResponseRecorder, *AccessRecord) {
	var record *AccessRecord
	h.OnCallEnd = func(rec *AccessRecord) { record = rec }
	method := "GET"
	if body != nil {
		method = "POST"
	}
	r := httptest.NewRequest(method, "http://"+testHost+path, body)
	if key != "" {
		r = r.WithContext(wire.WithTenantKey(r.Context(), key))
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w, record
}

// An entry must not say that a key is unknown while it may not have the newest configuration, nor
// accept one without proof, and serves public routes in any case.
func TestAuthentication(t *testing.T) {
	const (
		served = outcome.Reason("")
		behind = outcome.ReasonConfigurationBehind
		denied = outcome.ReasonUnauthenticated
		unsure = outcome.ReasonUnproven
	)
	for _, c := range []struct {
		isBehind, proven, current bool
		want                      map[string]outcome.Reason // by path and key
	}{
		{false, true, true, map[string]outcome.Reason{"/x good": served, "/x bad": denied, "/x ": denied}},
		{true, true, true, map[string]outcome.Reason{"/x good": served, "/x bad": behind, "/x ": behind}},
		{false, true, false, map[string]outcome.Reason{"/x good": served, "/x bad": unsure, "/x ": unsure}},
		{false, false, false, map[string]outcome.Reason{"/x good": unsure, "/x bad": unsure, "/x ": unsure}},
	} {
		for request, reason := range c.want {
			h := newTenantHarness(t)
			h.IsBehind = func() bool { return c.isBehind }
			h.IsProven = func(*tree.Tree) bool { return c.proven }
			h.IsCurrent = func(*tree.Tree) bool { return c.current }
			path, key, _ := strings.Cut(request, " ")
			w, rec := h.sendKey(path, key, nil)
			got := served
			if rec.Refusal != nil {
				got = rec.Refusal.Reason
			}
			name := fmt.Sprintf("%q behind %v proven %v current %v", request, c.isBehind, c.proven, c.current)
			if got != reason || (reason == served) != (h.runs.Load() == 1) {
				t.Errorf("%s: reason %q, %d runs, want reason %q", name, got, h.runs.Load(), reason)
			}
			if rec.Refusal != nil && rec.Refusal.Outcome != outcome.NotRun || strings.Contains(w.Body.String(), key) && key != "" {
				t.Errorf("%s: refusal %v, body %s, want a certain not-run without the key", name, rec.Refusal, w.Body)
			}
			if tenant := map[string]string{"good": "acme"}[key]; rec.Tenant != tenant {
				t.Errorf("%s: the record has the tenant %q, want %q", name, rec.Tenant, tenant)
			}
			if again := w.Header().Get("Retry-After") != ""; again != (w.Code == http.StatusServiceUnavailable) {
				t.Errorf("%s: status %d, Retry-After %v", name, w.Code, again)
			}
			if reason != served && h.refusals(reason) != 1 {
				t.Errorf("%s: the refusal is not counted", name)
			}
			for key, tenant := range map[string]string{"good": "acme", "bad": "", "": ""} {
				if !c.proven {
					tenant = ""
				}
				if w, rec := h.sendKey("/open", key, nil); w.Code != http.StatusOK || rec.Tenant != tenant {
					t.Errorf("%s: public route with key %q: status %d, tenant %q, want 200 and %q", name, key, w.Code, rec.Tenant, tenant)
				}
			}
		}
	}
}

// The rank of a tenant replaces that of the route, and its calls are counted by result.
func TestTenantOfACall(t *testing.T) {
	h := newTenantHarness(t)
	if _, rec := h.sendKey("/x", "good", nil); h.lastRank != "uploads" || rec.Tenant != "acme" || rec.Rank != "uploads" {
		t.Errorf("rank %q, tenant %q, want uploads and acme", h.lastRank, rec.Tenant)
	}
	h.limitRefusal = outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonLimitRate, "")
	_, _ = h.sendKey("/x", "good", nil)
	counters := h.scope.Snapshot().Counters()
	for _, result := range []string{servedResult, string(outcome.ReasonLimitRate)} {
		name := metrics.TenantCalls + "+result=" + result + ",tenant=acme"
		if c, ok := counters[name]; !ok || c.Value() != 1 {
			t.Errorf("no counter %s of one call", name)
		}
	}
}

// bodyFunc is a body that calls a function when it is read.
type bodyFunc func()

func (f bodyFunc) Read([]byte) (int, error) {
	f()
	return 0, io.EOF
}

// The body of a request without a valid key must not be read before the refusal, so that it takes
// no memory of the entry.
func TestBodyOfAnUnknownCaller(t *testing.T) {
	h := newTenantHarness(t)
	h.Operations = nil
	body := bodyFunc(func() {
		if h.refusals(outcome.ReasonUnauthenticated) == 0 {
			t.Error("the body was read before the request was refused")
		}
	})
	if w, _ := h.sendKey("/orders", "bad", body); w.Code != http.StatusUnauthorized {
		t.Errorf("status %d, want 401", w.Code)
	}
}

// Thousands of tenants must not take thousands of counters.
func TestCountersOfTenantsAreBounded(t *testing.T) {
	h := newTenantHarness(t)
	for i := range 2 * maxCountedTenants {
		h.stats.countTenantCall(&AccessRecord{Tenant: fmt.Sprint("t-", i)})
	}
	if n := len(h.stats.tenants.counters); n != maxCountedTenants+1 {
		t.Errorf("%d counters, want one for each of %d tenants and one for the others", n, maxCountedTenants)
	}
}
