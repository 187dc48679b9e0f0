package attempt

import (
	"context"
	"errors"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
)

// hedgeAdmitTimeout bounds the wait of a hedge for a free server: a hedge that
// has to queue would only add load.
const hedgeAdmitTimeout = time.Millisecond

// reasonSlow is the reason label of hedges.
const reasonSlow = "slow"

// hedgedAttempt makes one attempt, and a second one in parallel if the first
// remains unanswered for too long. The first result that needs no retry wins
// and the other attempt is cancelled.
func (c *call) hedgedAttempt(ctx context.Context) result {
	delay, ok := c.hedgeDelay()
	if !ok {
		return c.attempt(ctx)
	}
	return c.race(ctx, delay)
}

// hedgeDelay returns the delay after which this call may be hedged, and false
// if it may not.
func (c *call) hedgeDelay() (time.Duration, bool) {
	if !c.match.Route.Idempotent || c.match.Route.Upload || c.priorAttempts > 0 || c.attempts > 0 || c.attemptLimit() < 2 {
		return 0, false
	}
	if c.req.GetBody == nil && c.req.Body != nil && c.req.Body != http.NoBody {
		return 0, false
	}
	if c.tracked.Suspect() {
		return 0, false
	}
	return c.runner.admitter.HedgeDelay(c.match.Service.Key(), c.match.Rank.Name, c.match.Route.Target)
}

// errAbandoned is the cause with which the context of an attempt is cancelled if the other
// attempt won. The attempt is traced when it is abandoned, not when it ends.
var errAbandoned = errors.New("the other attempt has ended the call")

// resultAbandoned is the result of an abandoned attempt in a Trace.
const resultAbandoned = "abandoned"

// asyncAttempt is an attempt that runs in its own goroutine.
type asyncAttempt struct {
	grant  *timedGrant
	began  time.Time
	cancel context.CancelCauseFunc
	done   chan result
}

// start runs an attempt in its own goroutine. Its context lives until the
// response body is closed.
func (c *call) start(ctx context.Context, grant *timedGrant) (*asyncAttempt, *result) {
	body, err := c.body()
	if err != nil {
		grant.Done(balancer.Result{Kind: balancer.Cancelled})
		return nil, &result{refusal: bodyRefusal(err)}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &asyncAttempt{grant: grant, began: time.Now(), cancel: cancel, done: make(chan result, 1)}
	out := c.nextRequest(grant.Server().Name)
	go func() { a.done <- c.send(ctx, grant, body, out) }()
	return a, nil
}

// race makes the first attempt and, after the delay, a second one.
func (c *call) race(ctx context.Context, delay time.Duration) result {
	grant, refusal := c.admit(ctx, c.admissionRequest(ctx))
	if refusal != nil {
		return result{refusal: refusal}
	}
	first, failed := c.start(ctx, grant)
	if failed != nil {
		return *failed
	}
	if res, ended := first.await(delay, grant); ended {
		return first.bindContext(res)
	}
	second := c.hedge(ctx)
	if second == nil {
		return first.bindContext(<-first.done)
	}
	return c.firstSuccess(first, second)
}

// slowdownCheckDelay is how long after the start of the first attempt its
// server is checked for a slowdown. By then a load report has arrived that was
// made after the request began there.
const slowdownCheckDelay = 45 * time.Millisecond

// await returns the result if it arrives before a second attempt is due: after
// the delay, or sooner if the server was reported slow since the request was
// sent.
func (a *asyncAttempt) await(delay time.Duration, grant Grant) (result, bool) {
	timer := time.NewTimer(min(slowdownCheckDelay, delay))
	defer timer.Stop()
	select {
	case res := <-a.done:
		return res, true
	case <-timer.C:
	}
	if delay <= slowdownCheckDelay || grant.Slowed() {
		return result{}, false
	}
	timer.Reset(delay - slowdownCheckDelay)
	select {
	case res := <-a.done:
		return res, true
	case <-timer.C:
		return result{}, false
	}
}

// hedge starts the second attempt, or returns nil if the budget or the servers
// do not allow it.
func (c *call) hedge(ctx context.Context) *asyncAttempt {
	if !c.budget.takeHedge() {
		metrics.Count(c.runner.scope, metrics.HedgesDenied, deniedBudget)
		return nil
	}
	admitCtx, cancel := context.WithTimeout(ctx, hedgeAdmitTimeout)
	grant, refusal := c.admit(admitCtx, c.hedgeRequest(ctx))
	cancel()
	if refusal != nil {
		metrics.Count(c.runner.scope, metrics.HedgesDenied, string(refusal.Reason))
		return nil
	}
	second, failed := c.start(ctx, grant)
	if failed != nil {
		return nil
	}
	metrics.Count(c.runner.scope, metrics.Hedges, reasonSlow)
	return second
}

// hedgeRequest asks for a server that responds within the rank's target: a
// later response is not worth the cost of the second attempt.
func (c *call) hedgeRequest(ctx context.Context) Request {
	r := c.admissionRequest(ctx)
	target := c.match.Rank.Target
	if !c.budget.combined || target <= 0 {
		return r
	}
	if latest := c.began.Add(target); r.Deadline.IsZero() || latest.Before(r.Deadline) {
		r.Deadline = latest
	}
	return r
}

// firstSuccess waits for the first result that needs no retry, or else for both
// attempts to end.
func (c *call) firstSuccess(first, second *asyncAttempt) result {
	winner, loser := first, second
	var res result
	select {
	case res = <-first.done:
	case res = <-second.done:
		winner, loser = second, first
	}
	if c.retryReason(res) == "" {
		loser.abandon(c.trace)
		c.maybeRan = true // the result of the other attempt is not awaited
		return winner.bindContext(res)
	}
	other := <-loser.done
	c.discard(res)
	winner.cancel(nil)
	return loser.bindContext(other)
}

// bindContext cancels the context of the attempt when the response body is
// closed, or immediately if there is no response.
func (a *asyncAttempt) bindContext(res result) result {
	if res.response == nil {
		a.cancel(nil)
		return res
	}
	res.response.Body = &cancelBody{ReadCloser: res.response.Body, cancel: func() { a.cancel(nil) }}
	return res
}

// abandon traces and cancels the attempt, and closes its response when it arrives.
func (a *asyncAttempt) abandon(trace *Trace) {
	trace.add(a.grant.step(time.Since(a.began), resultAbandoned))
	a.cancel(errAbandoned)
	go func() {
		res := <-a.done
		if res.response != nil {
			_ = res.response.Body.Close()
		}
	}()
}
