package frontend

import (
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// AccessRecord is what decided one call and what came of it, for the log.
type AccessRecord struct {
	// Began is when the request's header had been read.
	Began time.Time
	// Request is the caller's request; its body must not be read.
	Request *http.Request
	// Service and Rank are empty where no route matched.
	Service, Rank string
	// Revision is that of the configuration that the call was matched by.
	Revision int64
	// Budget is the time that the call had from Began.
	Budget time.Duration
	// Status is the status that the caller got; zero where it got none.
	Status int
	// Refusal is why the entry answered itself; nil where a server answered.
	Refusal *outcome.Refusal
	// Trace holds the attempts at backend servers.
	Trace attempt.Trace
}

func newRecord(r *http.Request) *AccessRecord { return &AccessRecord{Began: time.Now(), Request: r} }

func (rec *AccessRecord) describe(t *tree.Tree, c call) {
	rec.Service = c.match.Service.Key()
	rec.Rank = c.match.Rank.Name
	rec.Revision = t.Revision
	rec.Budget = c.deadline.Sub(rec.Began)
}

func (h *Handler) ended(rec *AccessRecord) {
	if h.OnCallEnd != nil {
		h.OnCallEnd(rec)
	}
}

// recorder notes the status of the answer.
type recorder struct {
	http.ResponseWriter
	record *AccessRecord
}

// WriteHeader notes the status and passes it on.
func (w *recorder) WriteHeader(status int) {
	w.record.Status = status
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *recorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func noteRefusal(w http.ResponseWriter, refusal *outcome.Refusal) {
	if r, ok := w.(*recorder); ok {
		r.record.Refusal = refusal
	}
}
