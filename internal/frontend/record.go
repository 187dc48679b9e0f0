package frontend

import (
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// AccessRecord is the access log record of one call.
type AccessRecord struct {
	// Began is when the request's header had been read.
	Began time.Time
	// Request is the caller's request; its body must not be read.
	Request *http.Request
	// Service and Rank are empty if no route matched.
	Service, Rank string
	// Revision is the revision of the configuration that the call was matched with.
	Revision int64
	// Budget is the time from Began to the call's deadline.
	Budget time.Duration
	// Status is the HTTP status sent to the caller; zero if none was sent.
	Status int
	// Refusal is why the entry generated the response itself; nil if a backend
	// server responded.
	Refusal *outcome.Refusal
	// Trace holds the attempts at backend servers.
	Trace attempt.Trace
}

func newAccessRecord(r *http.Request) *AccessRecord {
	return &AccessRecord{Began: time.Now(), Request: r}
}

func (rec *AccessRecord) setCall(t *tree.Tree, c call) {
	rec.Service = c.match.Service.Key()
	rec.Rank = c.match.Rank.Name
	rec.Revision = t.Revision
	rec.Budget = c.deadline.Sub(rec.Began)
}

func (h *Handler) reportCallEnd(rec *AccessRecord) {
	if h.OnCallEnd != nil {
		h.OnCallEnd(rec)
	}
}

// statusRecorder records the status of the response.
type statusRecorder struct {
	http.ResponseWriter
	record  *AccessRecord
	drainer *drain.Drainer
}

// WriteHeader records the status and sends it. The drain may have begun after the request.
func (w *statusRecorder) WriteHeader(status int) {
	w.record.Status = status
	if w.drainer.Draining() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func recordRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	if r, ok := w.(*statusRecorder); ok {
		r.record.Refusal = refusal
	}
}
