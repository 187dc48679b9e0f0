package operation

import (
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// sharedRefusals holds one shared result for all operations that were refused
// with the same outcome, reason and status, so that a refused operation costs
// only its record.
type sharedRefusals map[outcome.Refusal]*result

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (s sharedRefusals) get(r *outcome.Refusal) *result {
	key := *r
	// Detail and RetryAfter are unbounded in variety, so the first ones are kept.
	key.Detail, key.RetryAfter = "", 0
	if existing, ok := s[key]; ok {
		return existing
	}
	created := &result{done: closedChannel, refusal: r}
	s[key] = created
	return created
}

// responseNotStored tells a retry that the operation ran and its response is
// not available.
func responseNotStored() *outcome.Refusal {
	return &outcome.Refusal{
		Outcome: outcome.Ran,
		Reason:  outcome.ReasonAnswerNotKept,
		Status:  http.StatusGone,
		Detail:  "the operation ran; its answer was too large to keep",
	}
}

// complete records the operation's outcome and wakes the waiting requests. Only
// the first call has an effect.
func (t *Table) complete(h *Handle, resp Response, refusal *outcome.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if h.result.isDone() {
		return
	}
	if refusal == nil && !resp.BodyStored {
		refusal = responseNotStored()
	}
	if refusal == nil {
		h.result.response = &resp
	}
	h.result.refusal = refusal
	close(h.result.done)
	t.store(h, refusal)
}

// store replaces the record's result by one of bounded size.
func (t *Table) store(h *Handle, refusal *outcome.Refusal) {
	if h.id.Epoch < t.oldest {
		return
	}
	e := &t.epochs[h.id.Epoch-t.oldest]
	if refusal == nil && t.storeResponse(e, h) {
		return
	}
	if refusal == nil {
		refusal = responseNotStored()
	}
	r := e.records[h.id.Nonce]
	r.result = t.refusals.get(refusal)
	e.records[h.id.Nonce] = r
}

// storeResponse stores the encoded response and reports whether it did. If the
// memory limit is reached, it evicts the responses of the oldest epochs first.
func (t *Table) storeResponse(e *epoch, h *Handle) bool {
	encoded := encodeResponse(h.result.response)
	if len(encoded) > t.opts.MaxResponseBytes {
		return false
	}
	size := int64(len(encoded)) + storedResponseOverhead
	for i := range t.epochs {
		if t.storedBytes+size <= t.opts.MaxStoredBytes {
			break
		}
		t.evictResponses(&t.epochs[i])
	}
	r := e.records[h.id.Nonce]
	if r.result != h.result {
		return false
	}
	r.result = &result{done: closedChannel, encoded: encoded}
	e.records[h.id.Nonce] = r
	t.storedBytes += size
	e.storedBytes += size
	return true
}

// evictResponses drops the stored responses of an epoch and keeps the outcomes
// of its operations.
func (t *Table) evictResponses(e *epoch) {
	for id, r := range e.records {
		if r.result.hasResponse() {
			r.result = t.refusals.get(responseNotStored())
			e.records[id] = r
		}
	}
	t.storedBytes -= e.storedBytes
	e.storedBytes = 0
}

// isDone reports whether the operation has completed.
func (r *result) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// hasResponse reports whether the result holds a response.
func (r *result) hasResponse() bool { return r.isDone() && r.refusal == nil }
