package frontend

import (
	"context"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/allowance"
	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Allowances bounds the requests of each tenant over all entries.
type Allowances interface {
	// Acquire takes one unit of the tenant's allowance and may wait briefly for it. A refusal is
	// always not-run.
	Acquire(ctx context.Context, tenant *tree.Tenant) (allowance.Grant, *outcome.Refusal)
}

// serveWithinAllowance serves a validated call if its tenant has a unit left for it, and returns
// its outcome.
func (h *Handler) serveWithinAllowance(w http.ResponseWriter, r *http.Request, c call, rec *AccessRecord) outcome.Outcome {
	grant, refusal := h.acquireAllowance(r.Context(), c)
	if refusal != nil {
		return h.refuse(w, h.settleEarlyRefusal(r, refusal))
	}
	result := h.serveMatched(w, withUtilization(r, grant), c)
	returnUnused(grant, rec)
	return result
}

// acquireAllowance takes a unit for the call. The grant is nil if the call needs none.
func (h *Handler) acquireAllowance(ctx context.Context, c call) (allowance.Grant, *outcome.Refusal) {
	tenant := c.match.Tenant
	if h.Allowances == nil || tenant == nil || tenant.PerSecond <= 0 {
		return nil, nil
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	return h.Allowances.Acquire(ctx, tenant)
}

// withUtilization returns the request with its tenant's use in the context.
func withUtilization(r *http.Request, grant allowance.Grant) *http.Request {
	if grant == nil {
		return r
	}
	return r.WithContext(attempt.WithUtilization(r.Context(), grant.Utilization()))
}

// returnUnused returns the unit of a call that was refused for lack of room and that no server
// has received any part of.
func returnUnused(grant allowance.Grant, rec *AccessRecord) {
	if grant == nil || rec.Refusal == nil || rec.Refusal.Outcome != outcome.NotRun {
		return
	}
	for _, step := range rec.Trace.Steps() {
		if step.Server != "" {
			return
		}
	}
	grant.Return()
}
