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
	recordRefusal(w, r)
	w.WriteHeader(r.Status)
	// The error is ignored: a caller that hung up only misses the text, and the
	// refusal is counted.
	_ = json.NewEncoder(w).Encode(refusalBody{r.Outcome, r.Reason, r.Detail})
	return r.Outcome
}

// maxUnreadBytes is the rest of a body that net/http reads by itself before it responds.
const maxUnreadBytes = 256 << 10

// refuseUnread refuses a request whose body has not been read to its end. It returns false if the
// response has been sent and the rest of the body is still to be read: if the connection were
// closed, a caller that reads only after it has sent everything would lose the response, and with it
// the promise that its request did not run.
func (h *Handler) refuseUnread(w http.ResponseWriter, r *http.Request, refusal *outcome.Refusal) (complete bool) {
	controller := http.NewResponseController(w)
	isSmall := r.ContentLength >= 0 && r.ContentLength <= maxUnreadBytes
	if isSmall || controller.EnableFullDuplex() != nil {
		h.refuse(w, refusal)
		return true
	}
	w.Header().Set("Connection", "close")
	h.refuse(w, refusal)
	// An error shows again when the rest is read.
	_ = controller.Flush()
	return false
}

// formatRetryAfter returns the header's value: whole seconds, rounded up, unless
// FractionalRetryAfter is set.
func (h *Handler) formatRetryAfter(wait time.Duration) string {
	if h.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(wait.Seconds())))
}
