package admission

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// minRetryAfter is the minimum Retry-After of a refusal: the time in which the
// servers complete a round of short requests. The entry rounds it up for
// callers that only understand whole seconds.
const minRetryAfter = 100 * time.Millisecond

func refuse(reason outcome.Reason, detail string) *outcome.Refusal {
	return outcome.NewNotRun(http.StatusServiceUnavailable, reason, detail)
}

func refuseBusy(reason outcome.Reason, detail string, wait time.Duration) *outcome.Refusal {
	return refuse(reason, detail).WithRetryAfter(max(wait, minRetryAfter))
}

// RefuseRemoved refuses a request that was matched by a configuration whose service or rank has
// been removed since. The next one may have a route for it.
func RefuseRemoved() *outcome.Refusal {
	return refuseBusy(outcome.ReasonConfigurationChanged, "the request's service or rank is no longer configured", 0)
}

func refuseDeadline() *outcome.Refusal {
	const detail = "the deadline passed before the request was sent to a backend server"
	// Not 504, which does not say that the request was not run.
	return refuseBusy(outcome.ReasonDeadline, detail, 0)
}

func refuseGone() *outcome.Refusal {
	return refuse(outcome.ReasonCallerGone, "the caller went away before the request was sent to a backend server")
}

// contextRefusal distinguishes an expired deadline from a caller that
// disconnected.
func contextRefusal(ctx context.Context) *outcome.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuseDeadline()
	}
	return refuseGone()
}
