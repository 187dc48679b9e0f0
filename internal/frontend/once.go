package frontend

import (
	"context"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// serveOnce runs a call that is not idempotent at most once.
func (h *Handler) serveOnce(w http.ResponseWriter, r *http.Request, c call) outcome.Outcome {
	id, refusal := operationOf(r)
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	if id.Incarnation != h.Operations.Incarnation() {
		return h.serveForeign(w, r, c, id)
	}
	held, refusal := h.Operations.Begin(id, c.caller, c.fingerprint(r))
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	if !held.MustRun() {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		answer, refusal := held.Wait(ctx)
		return h.writeKept(w, answer, refusal)
	}
	return h.runOwned(w, r, c, held)
}

// serveForeign asks the owner of another entry's operation.
func (h *Handler) serveForeign(w http.ResponseWriter, r *http.Request, c call, id operation.ID) outcome.Outcome {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	answer, refusal := h.Owners.Forward(ctx, id, c.caller, r, c.body)
	return h.writeKept(w, answer, refusal)
}

// runOwned runs the operation and settles it. The run goes on when the caller
// hangs up, so that a repeat finds what it came to.
func (h *Handler) runOwned(w http.ResponseWriter, r *http.Request, c call, held *operation.Handle) outcome.Outcome {
	// Only the first settlement counts, so this one is for a panic on the way.
	defer held.Unknown(internalFailure())
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	defer cancel()
	answer, release, refusal := h.attempt(ctx, r, c)
	if refusal != nil {
		held.Complete(operation.Response{}, refusal)
		return h.refuse(w, refusal)
	}
	defer release()
	kept, refusal := readKept(answer)
	held.Complete(kept, refusal)
	if refusal != nil {
		answer.Body.Close()
		return h.refuse(w, refusal)
	}
	return h.writeStream(w, answer)
}

func internalFailure() *outcome.Refusal {
	return outcome.NewUnknown(outcome.ReasonInternal, "the entry failed while it ran the operation")
}

// disclaim makes a refusal from before the operation was looked up true for the
// operation as a whole: an earlier or a later request may carry the same id.
func (h *Handler) disclaim(r *http.Request, refusal *outcome.Refusal) *outcome.Refusal {
	if h.Operations == nil {
		return refusal
	}
	id, err := operation.ParseID(r.Header.Get(wire.HeaderOperation))
	if err != nil {
		return refusal
	}
	if id.Incarnation != h.Operations.Incarnation() {
		return asUnknown(refusal)
	}
	caller, _ := callerOf(r)
	held, other := h.Operations.Begin(id, caller, operation.NewStreamFingerprint(r))
	if other != nil || !held.MustRun() {
		return asUnknown(refusal)
	}
	held.NotRun(refusal)
	return refusal
}

func asUnknown(refusal *outcome.Refusal) *outcome.Refusal {
	c := *refusal
	c.Outcome = outcome.Unknown
	return &c
}

func operationOf(r *http.Request) (operation.ID, *outcome.Refusal) {
	value := r.Header.Get(wire.HeaderOperation)
	if value == "" {
		detail := "this route is not idempotent; send " + wire.HeaderOperation + ": <ticket>.<32 hex digits>"
		return operation.ID{}, outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonOperationMissing, detail)
	}
	id, err := operation.ParseID(value)
	if err != nil {
		return operation.ID{}, outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonOperationInvalid, err.Error())
	}
	return id, nil
}

func (c *call) fingerprint(r *http.Request) operation.Fingerprint {
	if c.match.Route.Upload {
		return operation.NewStreamFingerprint(r)
	}
	return operation.NewFingerprint(r, c.body)
}
