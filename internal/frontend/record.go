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
	// Tenant is the name of the call's tenant, empty if it has none.
	Tenant string
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
	if c.match.Tenant != nil {
		rec.Tenant = c.match.Tenant.Name
	}
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
	// unread reports whether more of the request's body may be unread than net/http reads by
	// itself before it closes the connection.
	unread bool
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

// recordRefusal records why the entry responds itself, before it does. The returned function must be
// called after the response has been written.
//
// If the body is unread, the response is sent at once and the rest of the body is read after it. If
// the connection were closed, a caller that reads only after it has sent everything would lose the
// response, and with it the promise that its request did not run.
func recordRefusal(w http.ResponseWriter, refusal *outcome.Refusal) (flush func()) {
	r, ok := w.(*statusRecorder)
	if !ok {
		return func() {}
	}
	r.record.Refusal = refusal
	controller := http.NewResponseController(r.ResponseWriter)
	if !r.unread || controller.EnableFullDuplex() != nil {
		return func() {}
	}
	r.Header().Set("Connection", "close")
	// An error of Flush shows again when the rest of the body is read.
	return func() { _ = controller.Flush() }
}

// maxUnreadBytes is the rest of a body that net/http reads by itself before it responds.
const maxUnreadBytes = 256 << 10

// isLarge reports whether the request's body may have more than maxUnreadBytes.
func isLarge(r *http.Request) bool {
	return r.ContentLength < 0 || r.ContentLength > maxUnreadBytes
}
