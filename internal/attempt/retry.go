package attempt

import (
	"context"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// refusalRetryAfter is the Retry-After of a call that was not run because a
// server refused it or could not be reached: another server may be free at
// once, and the caller can still be served within its target. The entry rounds
// it up for callers that only understand whole seconds.
const refusalRetryAfter = 25 * time.Millisecond

// Reasons for which a wanted retry is not made, the labels of their counter.
const (
	deniedAttempts      = "attempts"
	deniedPriorAttempts = "nested"
	deniedDeadline      = "deadline"
	deniedBody          = "body_sent"
	deniedBudget        = "budget"
	deniedSuspect       = "suspect"
	deniedStopping      = "stopping"
)

// retryReason returns why the attempt should be retried, or "" if it is final.
func (c *call) retryReason(res result) string {
	switch {
	case res.refusal != nil:
		return ""
	case res.response != nil:
		return c.responseRetryReason(res.response)
	case res.failure.Reason == outcome.ReasonCallerGone || res.failure.Reason == outcome.ReasonDeadline:
		return ""
	case res.failure.Outcome == outcome.NotRun || c.match.Route.Idempotent:
		return string(res.failure.Reason)
	default:
		return ""
	}
}

// responseRetryReason returns the reason to retry an idempotent call after a
// response by which the server could not serve the request, else "".
func (c *call) responseRetryReason(response *forward.Response) string {
	if !c.match.Route.Idempotent {
		return ""
	}
	switch response.Status {
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

// attemptLimit is the maximum number of attempts that the call may make.
func (c *call) attemptLimit() int {
	if c.match.Route.MaxAttempts > 0 {
		return c.match.Route.MaxAttempts
	}
	return DefaultMaxAttempts
}

// retryDenial returns why a wanted retry can't be made, or "" if it can. Under
// a budget over all entries an attempt that reached no server costs nothing, as
// no server sees it.
func (c *call) retryDenial(ctx context.Context, res result) string {
	uncounted := 0
	if c.budget.combined && res.unsent() {
		uncounted = 1
	}
	switch {
	case c.attempts-uncounted >= c.attemptLimit() || c.unsentAttempts >= maxUnsentAttempts:
		return deniedAttempts
	case c.priorAttempts > 0:
		return deniedPriorAttempts
	case ctx.Err() != nil:
		return deniedDeadline
	case !c.replayable(res):
		return deniedBody
	case c.stopRefusal(c.admissionRequest(ctx)) != nil:
		return deniedStopping
	case res.failure != nil && res.failure.Outcome != outcome.NotRun && c.tracked.SuspectBeside(res.server):
		return deniedSuspect
	case uncounted == 0 && !c.budget.retries.take():
		return deniedBudget
	default:
		return ""
	}
}

// replayable reports whether the whole body can be sent again.
func (c *call) replayable(res result) bool {
	if c.req.GetBody != nil || c.req.Body == nil || c.req.Body == http.NoBody {
		return true
	}
	return res.failure != nil && !res.failure.BodyRead
}

func failureRefusal(f *forward.SendError) *outcome.Refusal {
	if f.Reason == outcome.ReasonDeadline && f.Outcome != outcome.NotRun {
		return &outcome.Refusal{
			Outcome: f.Outcome, Reason: f.Reason, Status: http.StatusGatewayTimeout,
			Detail: "the deadline passed at backend server " + f.Server,
		}
	}
	if f.Outcome == outcome.NotRun {
		return outcome.NewNotRun(http.StatusServiceUnavailable, f.Reason,
			"backend server "+f.Server+" did not take the request").WithRetryAfter(refusalRetryAfter)
	}
	return outcome.NewUnknown(f.Reason, "backend server "+f.Server+" gave no answer; the request may have run")
}
