package attempt

import (
	"io"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// slotBody gives the server's slot back when the answer's body is closed, and
// tells the balancer how the answer ended.
type slotBody struct {
	body   io.ReadCloser
	grant  Grant
	began  time.Time
	answer *forward.Response

	latency time.Duration // zero until the body ended
	broken  bool
	closed  bool
}

// Read notes the time of the answer's end, so that a caller that reads slowly
// does not count against the server.
func (b *slotBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && b.latency == 0 {
		b.latency = time.Since(b.began)
		b.broken = err != io.EOF
	}
	return n, err
}

// Close ends the attempt.
func (b *slotBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.body.Close()
	b.grant.Done(b.result())
	return err
}

func (b *slotBody) result() balancer.Result {
	r := balancer.Result{Latency: b.latency}
	if b.latency == 0 {
		r.Latency = time.Since(b.began)
		r.Kind = balancer.Cancelled
	}
	if b.broken || b.answer.Status >= http.StatusInternalServerError {
		r.Kind = balancer.Error
	}
	setReport(&r, b.answer.LoadReport)
	return r
}

func failureResult(f *forward.SendError, latency time.Duration) balancer.Result {
	r := balancer.Result{Latency: latency, Kind: balancer.Error}
	switch {
	case f.Reason == outcome.ReasonShed:
		r.Kind = balancer.Shed
	case f.Reason == outcome.ReasonCallerGone:
		r.Kind = balancer.Cancelled
	case f.Stage == forward.StageDial && f.Reason == outcome.ReasonDialFailed:
		r.Kind = balancer.DialFailed
	}
	setReport(&r, f.LoadReport)
	return r
}

// setReport adds the load report; one that can't be read counts as none.
func setReport(r *balancer.Result, raw string) {
	if raw == "" {
		return
	}
	report, err := balancer.ParseReport(raw)
	if err != nil {
		return
	}
	r.Report, r.HasReport = report, true
}

// cancelBody ends an attempt's context when the answer's body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body, then ends the context.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
