package attempt

import (
	"net/http"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// A caller may not repeat an order after 502 or 504. A request that certainly was not run must
// therefore end with 503, also if the reason is its deadline.
func TestWhatWasNotRunIsAnswered503(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonDeadline, outcome.ReasonDialFailed, outcome.ReasonServerHungUp, outcome.ReasonShed} {
		f := &forward.SendError{Stage: forward.StageDial, Outcome: outcome.NotRun, Reason: reason, Server: "server-1"}
		if r := failureRefusal(f); r.Status != http.StatusServiceUnavailable || r.Outcome != outcome.NotRun || r.RetryAfter <= 0 {
			t.Errorf("%s: got %d, %s, Retry-After %v, want 503, not-run and a Retry-After", reason, r.Status, r.Outcome, r.RetryAfter)
		}
	}
	f := &forward.SendError{Stage: forward.StageWait, Outcome: outcome.Unknown, Reason: outcome.ReasonDeadline, Server: "server-1"}
	if r := failureRefusal(f); r.Status != http.StatusGatewayTimeout || r.Outcome != outcome.Unknown {
		t.Errorf("a request that may have run: got %d, %s, want 504, unknown", r.Status, r.Outcome)
	}
}
