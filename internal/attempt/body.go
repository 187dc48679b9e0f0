package attempt

import (
	"io"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/quarantine"
)

// releasingBody releases the server's slot when the response body is closed, or is complete in memory,
// and reports to the balancer how the response ended. So a caller that does not read its response
// takes no slot from others.
type releasingBody struct {
	body     io.ReadCloser
	grant    Grant
	began    time.Time
	response *forward.Response
	tracked  *quarantine.Request

	latency   time.Duration // zero until the body has ended
	truncated bool
	released  bool
	closed    bool
}

// Read records the time at which the response ends, so that a caller that reads
// slowly does not count against the server.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && b.latency == 0 {
		b.latency = time.Since(b.began)
		b.truncated = err != io.EOF
	}
	return n, err
}

// Close closes the body and releases the slot, once.
func (b *releasingBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	err := b.body.Close()
	b.release()
	return err
}

// release releases the slot, once.
func (b *releasingBody) release() {
	if b.released {
		return
	}
	b.released = true
	b.grant.Done(b.result())
	switch {
	case b.truncated:
		b.tracked.ConnectionEnded(b.grant.Server())
	case b.latency > 0:
		b.tracked.Answered()
	}
}

func (b *releasingBody) result() balancer.Result {
	r := balancer.Result{Latency: b.latency}
	if b.latency == 0 {
		r.Latency = time.Since(b.began)
		r.Kind = balancer.Cancelled
	}
	if b.truncated || b.response.Status >= http.StatusInternalServerError {
		r.Kind = balancer.Error
	}
	r.RequestLimit, r.Notices = b.response.RequestLimit, b.response.Notices
	setReport(&r, b.response.LoadReport)
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
	r.RequestLimit, r.Notices = f.RequestLimit, f.Notices
	setReport(&r, f.LoadReport)
	return r
}

// setReport adds the load report to the result. A report that can't be parsed
// counts as none.
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

// cancelBody cancels an attempt's context when the response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

// Close closes the body, then cancels the context.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return err
}
