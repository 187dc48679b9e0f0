package gateway

import (
	"fmt"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/attempt"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// accessLog writes one log line for each call.
type accessLog struct{ events *eventlog.Logger }

func (l accessLog) logCall(rec *frontend.AccessRecord) {
	fields := []any{
		"request", rec.Request.Header.Get(wire.HeaderRequestID),
		"service", rec.Service,
		"rank", rec.Rank,
		"revision", rec.Revision,
		"budget_ms", rec.Budget.Milliseconds(),
		"took_ms", time.Since(rec.Began).Milliseconds(),
		"status", rec.Status,
		"steps", formatSteps(rec.Trace.Steps()),
	}
	if rec.Tenant != "" {
		fields = append(fields, "tenant", rec.Tenant)
	}
	if rec.Refusal == nil {
		l.events.Info("call", fields...)
		return
	}
	fields = append(fields, "outcome", rec.Refusal.Outcome, "reason", rec.Refusal.Reason,
		"retry_after_ms", rec.Refusal.RetryAfter.Milliseconds(), "detail", rec.Refusal.Detail,
		"caller", rec.Request.RemoteAddr, "method", rec.Request.Method, "path", cut(rec.Request.URL.Path, maxLoggedPathBytes))
	l.events.Warn("call refused", fields...)
}

// maxLoggedPathBytes bounds the path in a log line.
const maxLoggedPathBytes = 100

func cut(text string, length int) string { return text[:min(len(text), length)] }

// formatSteps formats each attempt: server, result, times in milliseconds, and the load
// estimate with the age in milliseconds of the report that it is based on.
func formatSteps(steps []attempt.Step) string {
	var b strings.Builder
	for i, s := range steps {
		if i > 0 {
			b.WriteString("; ")
		}
		if s.Server == "" {
			fmt.Fprintf(&b, "no place: %s after %d", s.Result, s.Waited.Milliseconds())
			continue
		}
		fmt.Fprintf(&b, "%s: %s waited %d took %d load %.2f others %.1f rate %.2f age %d", s.Server, s.Result,
			s.Waited.Milliseconds(), s.Took.Milliseconds(), s.Estimate.Load, s.Estimate.PeerRequests, s.Estimate.Speed,
			s.Estimate.ReportAge.Milliseconds())
	}
	return b.String()
}
