package attempt

import (
	"context"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// refusedWait is the wait that a caller is asked for after a server refused its
// request or could not be reached: another one may be free at once, and the
// caller can still be answered within its target. The entry rounds it up where
// its callers know whole seconds only.
const refusedWait = 25 * time.Millisecond

// Reasons for which a wanted retry is not made.
const (
	deniedAttempts = "attempts"
	deniedNested   = "nested"
	deniedDeadline = "deadline"
	deniedBody     = "body_sent"
	deniedBudget   = "budget"
)

// retryReason says why the attempt should be repeated, or "" where it is final.
func (c *call) retryReason(got reply) string {
	switch {
	case got.refusal != nil:
		return ""
	case got.answer != nil:
		return c.answerRetryReason(got.answer)
	case got.failure.Reason == outcome.ReasonCallerGone || got.failure.Reason == outcome.ReasonDeadline:
		return ""
	case got.failure.Outcome == outcome.NotRun || c.match.Route.Idempotent:
		return string(got.failure.Reason)
	default:
		return ""
	}
}

// answerRetryReason repeats idempotent calls after answers that say that the
// server could not do the work.
func (c *call) answerRetryReason(a *forward.Response) string {
	if !c.match.Route.Idempotent {
		return ""
	}
	switch a.Status {
	case http.StatusInternalServerError:
		return "status_500"
	case http.StatusBadGateway:
		return "status_502"
	case http.StatusServiceUnavailable:
		return "status_503"
	case http.StatusGatewayTimeout:
		return "status_504"
	default:
		return ""
	}
}

// mostAttempts is the most servers that the call may be sent to.
func (c *call) mostAttempts() int {
	if c.match.Route.MaxAttempts > 0 {
		return c.match.Route.MaxAttempts
	}
	return maxAttempts
}

// denied says why a wanted retry can't be made, or "". Under a budget over all
// entries an attempt that reached no server costs nothing, as no server sees it.
func (c *call) denied(ctx context.Context, got reply) string {
	unsent := 0
	if c.budget.shared && got.unsent() {
		unsent = 1
	}
	switch {
	case c.attempts-unsent >= c.mostAttempts() || c.dials >= maxDials:
		return deniedAttempts
	case c.nested > 0:
		return deniedNested
	case ctx.Err() != nil:
		return deniedDeadline
	case !c.replayable(got):
		return deniedBody
	case unsent == 0 && !c.budget.retries.spend():
		return deniedBudget
	default:
		return ""
	}
}

// replayable reports whether the whole body can be sent again.
func (c *call) replayable(got reply) bool {
	if c.req.GetBody != nil || c.req.Body == nil || c.req.Body == http.NoBody {
		return true
	}
	return got.failure != nil && !got.failure.BodyRead
}

func refusalOf(f *forward.SendError) *outcome.Refusal {
	if f.Reason == outcome.ReasonDeadline {
		return &outcome.Refusal{
			Outcome: f.Outcome, Reason: f.Reason, Status: http.StatusGatewayTimeout,
			Detail: "the deadline passed at backend server " + f.Server,
		}
	}
	if f.Outcome == outcome.NotRun {
		return outcome.NewNotRun(http.StatusServiceUnavailable, f.Reason,
			"backend server "+f.Server+" did not take the request").WithRetryAfter(refusedWait)
	}
	return outcome.NewUnknown(f.Reason, "backend server "+f.Server+" gave no answer; the request may have run")
}
