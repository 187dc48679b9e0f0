package attempt

import (
	"context"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
)

// hedgeAdmitTimeout bounds the wait of a hedge for a free server: one that has
// to queue would only add to the load.
const hedgeAdmitTimeout = time.Millisecond

// reasonSlow is the reason for which hedges are made.
const reasonSlow = "slow"

// hedged makes one attempt, and a second one beside it where the first stays
// unanswered for too long. The first good reply wins and the other is cancelled.
func (c *call) hedged(ctx context.Context) reply {
	after, ok := c.hedgeAfter()
	if !ok {
		return c.attempt(ctx)
	}
	return c.race(ctx, after)
}

// hedgeAfter reports whether this call may be hedged, and when.
func (c *call) hedgeAfter() (time.Duration, bool) {
	if !c.match.Route.Idempotent || c.match.Route.Upload || c.nested > 0 || c.attempts > 0 || c.mostAttempts() < 2 {
		return 0, false
	}
	if c.req.GetBody == nil && c.req.Body != nil && c.req.Body != http.NoBody {
		return 0, false
	}
	return c.runner.admitter.HedgeDelay(c.match.Service.Key(), c.match.Rank.Name)
}

// racer is one attempt of a race.
type racer struct {
	cancel context.CancelFunc
	done   chan reply
}

// start runs an attempt in its own goroutine. Its context lives until the
// answer's body is closed.
func (c *call) start(ctx context.Context, grant *granted) (*racer, *reply) {
	body, err := c.body()
	if err != nil {
		grant.Done(balancer.Result{Kind: balancer.Cancelled})
		return nil, &reply{refusal: refuseBody(err)}
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &racer{cancel: cancel, done: make(chan reply, 1)}
	out := c.next(grant.Server().Name)
	go func() { r.done <- c.send(ctx, grant, body, out) }()
	return r, nil
}

// race makes the first attempt and, after the wait, the second one.
func (c *call) race(ctx context.Context, after time.Duration) reply {
	grant, refusal := c.admit(ctx, c.request(ctx))
	if refusal != nil {
		return reply{refusal: refusal}
	}
	first, failed := c.start(ctx, grant)
	if failed != nil {
		return *failed
	}
	if got, ended := first.await(after, grant); ended {
		return first.keep(got)
	}
	second := c.hedge(ctx)
	if second == nil {
		return first.keep(<-first.done)
	}
	return c.firstGood(first, second)
}

// slowedLook is when the first attempt's server is looked at: by then a report has
// come that was made after the request had begun there.
const slowedLook = 45 * time.Millisecond

// await returns the reply if it comes before a second attempt is due: after the
// wait, or sooner where the server was reported slow since the request was sent.
func (r *racer) await(after time.Duration, grant Grant) (reply, bool) {
	timer := time.NewTimer(min(slowedLook, after))
	defer timer.Stop()
	select {
	case got := <-r.done:
		return got, true
	case <-timer.C:
	}
	if after <= slowedLook || grant.Slowed() {
		return reply{}, false
	}
	timer.Reset(after - slowedLook)
	select {
	case got := <-r.done:
		return got, true
	case <-timer.C:
		return reply{}, false
	}
}

// hedge starts the second attempt, or returns nil where the budget or the
// servers have no room for it.
func (c *call) hedge(ctx context.Context) *racer {
	if !c.budget.spendHedge() {
		metrics.Count(c.runner.scope, metrics.HedgesDenied, deniedBudget)
		return nil
	}
	wait, cancel := context.WithTimeout(ctx, hedgeAdmitTimeout)
	grant, refusal := c.admit(wait, c.hedgeRequest(ctx))
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

// hedgeRequest asks for a server that answers within the rank's target: later than
// that the second attempt is not worth its cost.
func (c *call) hedgeRequest(ctx context.Context) Request {
	r := c.request(ctx)
	target := c.match.Rank.Target
	if !c.budget.shared || target <= 0 {
		return r
	}
	if latest := c.began.Add(target); r.Deadline.IsZero() || latest.Before(r.Deadline) {
		r.Deadline = latest
	}
	return r
}

// firstGood waits for an answer without a server error, else for both ends.
func (c *call) firstGood(first, second *racer) reply {
	winner, loser := first, second
	var got reply
	select {
	case got = <-first.done:
	case got = <-second.done:
		winner, loser = second, first
	}
	if c.retryReason(got) == "" {
		loser.abandon()
		c.maybeRan = true // the other attempt's end is not awaited
		return winner.keep(got)
	}
	other := <-loser.done
	c.discard(got)
	winner.cancel()
	return loser.keep(other)
}

// keep ends the racer's context together with the answer.
func (r *racer) keep(got reply) reply {
	if got.answer == nil {
		r.cancel()
		return got
	}
	got.answer.Body = &cancelBody{ReadCloser: got.answer.Body, cancel: r.cancel}
	return got
}

// abandon cancels the attempt and closes its answer once it is there.
func (r *racer) abandon() {
	r.cancel()
	go func() {
		got := <-r.done
		if got.answer != nil {
			_ = got.answer.Body.Close()
		}
	}()
}
