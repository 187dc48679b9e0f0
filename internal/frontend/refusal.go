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

// refusalBody is the JSON body of a response that the entry generates itself.
type refusalBody struct {
	Outcome outcome.Outcome `json:"outcome"`
	Reason  outcome.Reason  `json:"reason"`
	Detail  string          `json:"detail"`
}

// refuse writes a refusal to the caller, counts its reason and returns its outcome.
func (h *Handler) refuse(w http.ResponseWriter, r *outcome.Refusal) outcome.Outcome {
	metrics.Count(h.Scope, metrics.Refusals, string(r.Reason))
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(wire.HeaderOutcome, string(r.Outcome))
	header.Set(wire.HeaderReason, string(r.Reason))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", h.formatRetryAfter(r.RetryAfter))
	}
	// Strings always have an encoding.
	body, _ := json.Marshal(refusalBody{r.Outcome, r.Reason, r.Detail})
	body = append(body, '\n')
	// The length ends the response for a caller whose request is still to be read.
	header.Set("Content-Length", strconv.Itoa(len(body)))
	flush := recordRefusal(w, r)
	w.WriteHeader(r.Status)
	// The error is ignored: a caller that hung up only misses the text, and the
	// refusal is counted.
	_, _ = w.Write(body)
	flush()
	return r.Outcome
}

// formatRetryAfter returns the header's value: whole seconds, rounded up, unless
// FractionalRetryAfter is set.
func (h *Handler) formatRetryAfter(wait time.Duration) string {
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
