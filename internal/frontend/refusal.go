package frontend

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// refusalBody is the JSON body of an answer that the entry makes itself.
type refusalBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	Detail  string          `json:"detail"`
}

// refuse answers in place of a backend server, counts the reason and returns the
// outcome.
func (h *Handler) refuse(w http.ResponseWriter, r *outcome.Refusal) outcome.Outcome {
	metrics.Count(h.Scope, metrics.Refusals, string(r.Reason))
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(wire.HeaderOutcome, string(r.Outcome))
	header.Set(wire.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", h.retryAfter(r.RetryAfter))
	}
	noteRefusal(w, r)
	w.WriteHeader(r.Status)
	// A caller that has gone away loses only the words; the outcome is counted.
	_ = json.NewEncoder(w).Encode(refusalBody{r.Outcome, r.Reason, r.Detail})
	return r.Outcome
}

// retryAfter is the header's value: whole seconds, rounded up, unless callers
// are known to read fractions.
func (h *Handler) retryAfter(wait time.Duration) string {
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
