package operation

import (
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// settledResults shares one result among all operations that were refused alike,
// so that such an operation costs only its record.
type settledResults map[outcome.Refusal]*result

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func (s settledResults) get(r *outcome.Refusal) *result {
	key := *r
	// Details and waits may differ without bound; the first ones are kept.
	key.Detail, key.RetryAfter = "", 0
	if have, ok := s[key]; ok {
		return have
	}
	made := &result{done: closedChannel, refusal: r}
	s[key] = made
	return made
}

// answerNotKept tells a repeat that the operation ran and its answer is gone.
func answerNotKept() *outcome.Refusal {
	return &outcome.Refusal{
		Outcome: outcome.Ran,
		Reason:  outcome.ReasonAnswerNotKept,
		Status:  http.StatusGone,
		Detail:  "the operation ran; its answer was too large to keep",
	}
}

// settle records what the operation came to and wakes those who wait.
func (t *Table) settle(c *Handle, a Response, refusal *outcome.Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.result.settled() {
		return
	}
	if refusal == nil && !a.BodyKept {
		refusal = answerNotKept()
	}
	if refusal == nil {
		c.result.answer = &a
	}
	c.result.refusal = refusal
	close(c.result.done)
	t.keep(c, refusal)
}

// keep replaces the record's result by one that is bounded in size.
func (t *Table) keep(c *Handle, refusal *outcome.Refusal) {
	if c.id.Epoch < t.oldest {
		return
	}
	e := &t.epochs[c.id.Epoch-t.oldest]
	if refusal == nil && t.keepAnswer(e, c) {
		return
	}
	if refusal == nil {
		refusal = answerNotKept()
	}
	r := e.records[c.id.Nonce]
	r.result = t.settled.get(refusal)
	e.records[c.id.Nonce] = r
}

// keepAnswer reports whether the answer fits. Where it does not, the answers of
// the oldest epochs are forgotten first.
func (t *Table) keepAnswer(e *epoch, c *Handle) bool {
	packed := pack(c.result.answer)
	if len(packed) > t.opts.MaxAnswerBytes {
		return false
	}
	size := int64(len(packed)) + resultBytes
	for i := range t.epochs {
		if t.keptBytes+size <= t.opts.MaxKeptBytes {
			break
		}
		t.forgetAnswers(&t.epochs[i])
	}
	r := e.records[c.id.Nonce]
	if r.result != c.result {
		return false
	}
	r.result = &result{done: closedChannel, packed: packed}
	e.records[c.id.Nonce] = r
	t.keptBytes += size
	e.keptBytes += size
	return true
}

// forgetAnswers leaves only the outcome of an epoch's operations.
func (t *Table) forgetAnswers(e *epoch) {
	for id, r := range e.records {
		if r.result.isAnswer() {
			r.result = t.settled.get(answerNotKept())
			e.records[id] = r
		}
	}
	t.keptBytes -= e.keptBytes
	e.keptBytes = 0
}

// settled reports whether the operation has come to its end.
func (r *result) settled() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// isAnswer reports whether the result holds an answer.
func (r *result) isAnswer() bool { return r.settled() && r.refusal == nil }
