package frontend

import (
	"context"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// serveNonIdempotent runs a non-idempotent call at most once, as an operation.
func (h *Handler) serveNonIdempotent(w http.ResponseWriter, r *http.Request, c call) outcome.Outcome {
	id, refusal := operationID(r)
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	if id.Incarnation != h.Operations.Incarnation() {
		return h.forwardToOwner(w, r, c, id)
	}
	handle, refusal := h.Operations.Begin(id, c.caller, c.fingerprint(r))
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	if !handle.MustRun() {
		ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
		defer cancel()
		resp, refusal := handle.Wait(ctx)
		return h.writeStored(w, resp, refusal)
	}
	return h.runOwned(w, r, c, handle)
}

// forwardToOwner forwards the call to the entry that owns its operation.
func (h *Handler) forwardToOwner(w http.ResponseWriter, r *http.Request, c call, id operation.ID) outcome.Outcome {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	resp, refusal := h.OwnerClient.Forward(ctx, id, c.caller, r, c.body)
	return h.writeStored(w, resp, refusal)
}

// runOwned runs the operation and records its result. The run continues if the
// caller hangs up, so that a retry gets the result.
func (h *Handler) runOwned(w http.ResponseWriter, r *http.Request, c call, handle *operation.Handle) outcome.Outcome {
	// Only the first recorded result counts, so this one applies only after a panic.
	defer handle.Unknown(internalRefusal())
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), c.deadline)
	defer cancel()
	resp, release, refusal := h.acquireAndSend(ctx, r, c)
	if refusal != nil {
		handle.Complete(operation.Response{}, refusal)
		return h.refuse(w, refusal)
	}
	defer release()
	stored, refusal := readForStorage(resp)
	handle.Complete(stored, refusal)
	if refusal != nil {
		resp.Body.Close()
		return h.refuse(w, refusal)
	}
	return h.writeStreamed(w, resp)
}

func internalRefusal() *outcome.Refusal {
	return outcome.NewUnknown(outcome.ReasonInternal, "the entry failed while it ran the operation")
}

// settleEarlyRefusal makes a refusal that was decided before the operation was looked
// up true for the whole operation, as an earlier or a later request may have the same
// id. If the operation may have run, it returns the refusal with outcome unknown;
// otherwise it records the operation as not run.
func (h *Handler) settleEarlyRefusal(r *http.Request, refusal *outcome.Refusal) *outcome.Refusal {
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
	caller, _ := callerName(r)
	handle, beginRefusal := h.Operations.Begin(id, caller, operation.NewStreamFingerprint(r))
	if beginRefusal != nil || !handle.MustRun() {
		return asUnknown(refusal)
	}
	handle.NotRun(refusal)
	return refusal
}

func asUnknown(refusal *outcome.Refusal) *outcome.Refusal {
	c := *refusal
	c.Outcome = outcome.Unknown
	return &c
}

func operationID(r *http.Request) (operation.ID, *outcome.Refusal) {
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
