package frontend

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// authenticate returns the tenant of a request, nil if its route is public and no tenant is
// known, or if no keys are required. With a refusal, it returns the tenant that the key had last.
// It must be called after the request's header has been read: a proof that holds now covers the
// time at which the caller sent the request.
//
// A key that the entry cannot prove to be valid makes a public request no tenant's.
func (h *Handler) authenticate(t *tree.Tree, route *tree.Route, r *http.Request) (*tree.Tenant, *outcome.Refusal) {
	if !t.KeysRequired {
		return nil, nil
	}
	key, sent := wire.TenantKey(r.Context())
	var tenant *tree.Tenant
	if sent {
		tenant, _ = t.TenantOf(key)
	}
	proven := h.IsProven == nil || h.IsProven(t)
	switch {
	case route.Public && !proven:
		return nil, nil
	case route.Public, tenant != nil && proven:
		return tenant, nil
	case h.isBehind():
		// The newest configuration may have the key, or a public route.
		return tenant, configurationBehind()
	case !proven, h.IsCurrent != nil && !h.IsCurrent(t):
		return tenant, configurationUnproven()
	case !sent:
		return nil, unauthenticated("this route needs the header Authorization: Token KEY")
	default:
		return nil, unauthenticated("the key is not a tenant's")
	}
}

func (h *Handler) isBehind() bool { return h.IsBehind != nil && h.IsBehind() }

func unauthenticated(detail string) *outcome.Refusal {
	return outcome.NewNotRun(http.StatusUnauthorized, outcome.ReasonUnauthenticated, detail)
}

// minUnprovenRetryAfter is the least Retry-After of an entry without proof; up to as much is added
// at random, so that callers do not come back together. Another entry may have a proof, and this
// one asks others several times a second.
const minUnprovenRetryAfter = 400 * time.Millisecond

func configurationUnproven() *outcome.Refusal {
	detail := "this entry cannot prove that its configuration is the newest; use another entry or try again"
	refusal := outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonUnproven, detail)
	return refusal.WithRetryAfter(minUnprovenRetryAfter + rand.N(minUnprovenRetryAfter))
}

const (
	// maxCountedTenants bounds the tenants that have counters of their own, as there may be
	// thousands and a VM is small. The calls of all others are counted as otherTenants.
	maxCountedTenants = 256
	otherTenants      = "(others)"
	// servedResult is the result of a call that a backend server responded to.
	servedResult = "served"
)

// tenantCounters count the calls of each tenant by result. The zero value is ready for use.
type tenantCounters struct {
	mu       sync.Mutex // guards the fields below
	names    map[string]bool
	counters map[tenantResult]tally.Counter
}

type tenantResult struct{ tenant, result string }

// countTenantCall counts a finished call of a tenant: the reason of its refusal, or that it was
// served.
func (s *stats) countTenantCall(rec *AccessRecord) {
	result := tenantResult{rec.Tenant, servedResult}
	if rec.Refusal != nil {
		result.result = string(rec.Refusal.Reason)
	}
	s.tenants.counter(s.scope, result).Inc(1)
}

func (c *tenantCounters) counter(scope tally.Scope, r tenantResult) tally.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counters == nil {
		c.names, c.counters = map[string]bool{}, map[tenantResult]tally.Counter{}
	}
	if !c.names[r.tenant] && len(c.names) >= maxCountedTenants {
		r.tenant = otherTenants
	} else {
		c.names[r.tenant] = true
	}
	counter := c.counters[r]
	if counter == nil {
		counter = scope.Tagged(map[string]string{"tenant": r.tenant, "result": r.result}).Counter(metrics.TenantCalls)
		c.counters[r] = counter
	}
	return counter
}
