package attempt

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/quarantine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// call is the state of one call across its attempts.
type call struct {
	runner        *Runner
	match         tree.Match
	req           *http.Request
	priorAttempts int // attempts already made by the layers in front of this entry
	budget        *budget
	trace         *Trace
	tracked       *quarantine.Request // nil without a guard
	began         time.Time

	attempts       int // requests that may have reached a server, hedges included
	unsentAttempts int // attempts of which no byte was sent
	tried          []string
	maybeRan       bool // an attempt's outcome is unknown
}

// result is how one attempt ended: exactly one of response, failure and refusal is set.
type result struct {
	response *forward.Response
	failure  *forward.SendError
	refusal  *outcome.Refusal
	server   fleet.VM // of a failure
}

// unsent reports whether certainly no byte was sent to a server.
func (r result) unsent() bool {
	return r.failure != nil && r.failure.Outcome == outcome.NotRun && r.failure.Stage != forward.StageResponse
}

// run makes attempts until one is final.
func (c *call) run(ctx context.Context) (*forward.Response, *outcome.Refusal) {
	c.budget.earnCall()
	for {
		res := c.hedgedAttempt(ctx)
		reason := c.retryReason(res)
		if reason == "" {
			return c.finish(res)
		}
		if denial := c.retryDenial(ctx, res); denial != "" {
			metrics.Count(c.runner.scope, metrics.RetriesDenied, denial)
			return c.finish(res)
		}
		if c.budget.combined && res.unsent() {
			c.markUnsent()
		}
		metrics.Count(c.runner.scope, metrics.Retries, reason)
		c.discard(res)
	}
}

// attempt waits for a server and sends the request to it.
func (c *call) attempt(ctx context.Context) result {
	grant, refusal := c.admit(ctx, c.admissionRequest(ctx))
	if refusal != nil {
		return result{refusal: refusal}
	}
	body, err := c.body()
	if err != nil {
		grant.Done(balancer.Result{Kind: balancer.Cancelled})
		return result{refusal: bodyRefusal(err)}
	}
	ctx, cancel := c.sendContext(ctx)
	res := c.send(ctx, grant, body, c.nextRequest(grant.Server().Name))
	if res.response == nil {
		cancel()
		return res
	}
	res.response.Body = &cancelBody{ReadCloser: res.response.Body, cancel: cancel}
	return res
}

// sendContext returns the context of a request that has left the queue. A
// non-idempotent request continues when its caller disconnects: if it were
// aborted, its effect would be unknown.
func (c *call) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.match.Route.Idempotent {
		return ctx, func() {}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(context.WithoutCancel(ctx))
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// timedGrant is a Grant with the time that the call waited for it.
type timedGrant struct {
	Grant
	waited time.Duration
}

// step returns the step of the attempt at the granted server.
func (g *timedGrant) step(took time.Duration, result string) Step {
	return Step{Server: g.Server().Name, Estimate: g.Estimate(), Waited: g.waited, Took: took, Result: result}
}

// admit waits for a server until ctx ends, or until the entry stops too soon for the call, and
// traces a refusal.
func (c *call) admit(ctx context.Context, r Request) (*timedGrant, *outcome.Refusal) {
	requested := time.Now()
	grant, refusal := c.admitUnlessStopping(ctx, r)
	if refusal != nil {
		c.trace.add(Step{Waited: time.Since(requested), Result: string(refusal.Reason)})
		return nil, refusal
	}
	return &timedGrant{Grant: grant, waited: time.Since(requested)}, nil
}

func (c *call) admitUnlessStopping(ctx context.Context, r Request) (Grant, *outcome.Refusal) {
	if refusal := c.stopRefusal(r); refusal != nil {
		return nil, refusal
	}
	ctx, cancel := c.runner.drainer.LimitWait(ctx, r.Deadline)
	defer cancel()
	grant, refusal := c.runner.admitter.Admit(ctx, r)
	if refusal != nil {
		return nil, cmp.Or(c.runner.drainer.Refusal(ctx), refusal)
	}
	return grant, nil
}

// stopRefusal returns a refusal if the entry stops before an attempt that begins now could end.
func (c *call) stopRefusal(r Request) *outcome.Refusal {
	if !c.runner.drainer.Draining() {
		return nil
	}
	return c.runner.drainer.Check(r.Deadline, c.runner.admitter.ServiceTime(r))
}

// send makes the attempt. It must not use a field of c that changes, as a hedge
// runs concurrently with the first attempt.
func (c *call) send(ctx context.Context, grant *timedGrant, body io.Reader, out *http.Request) result {
	began := time.Now()
	response, failure := c.runner.sender.Send(ctx, grant.Server(), c.match, out, body)
	took := time.Since(began)
	if failure != nil {
		if !errors.Is(context.Cause(ctx), errAbandoned) {
			c.trace.add(grant.step(took, string(failure.Stage)+"_"+string(failure.Reason)))
		}
		grant.Done(failureResult(failure, time.Since(began)))
		c.reportFailure(grant.Server(), failure)
		return result{failure: failure, server: grant.Server()}
	}
	c.trace.add(grant.step(took, strconv.Itoa(response.Status)))
	releasing := &releasingBody{body: response.Body, grant: grant, began: began, response: response, tracked: c.tracked}
	response.Body = releasing
	if response.Complete {
		releasing.latency = took
		releasing.release()
	}
	return result{response: response}
}

// reportFailure reports an attempt that may have run and got no response to the guard.
func (c *call) reportFailure(server fleet.VM, f *forward.SendError) {
	switch {
	case f.Outcome == outcome.NotRun:
	case f.Reason == outcome.ReasonServerHungUp:
		c.tracked.ConnectionEnded(server)
	case f.Reason == outcome.ReasonDeadline || f.Reason == outcome.ReasonCallerGone:
		c.tracked.NoResponse(server)
	}
}

// markUnsent moves an attempt of which no byte was sent from attempts to
// unsentAttempts.
func (c *call) markUnsent() {
	c.attempts--
	c.unsentAttempts++
}

// nextRequest counts an attempt at the server and returns the request for it.
// Requests after the first carry the attempt number, so that the layers below
// do not retry a retry.
func (c *call) nextRequest(server string) *http.Request {
	c.tried = append(c.tried, server)
	c.attempts++
	if c.attempts == 1 {
		return c.req
	}
	out := *c.req
	out.Header = c.req.Header.Clone()
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(c.priorAttempts+c.attempts-1))
	return &out
}

// admissionRequest returns the request for a server that was not tried yet.
func (c *call) admissionRequest(ctx context.Context) Request {
	deadline, _ := ctx.Deadline()
	tenant, rate := "", 0.0
	if c.match.Tenant != nil {
		tenant, rate = c.match.Tenant.Name, c.match.Tenant.PerSecond
	}
	return Request{
		Service: c.match.Service.Key(),
		Request: admission.Request{
			Rank:     c.match.Rank.Name,
			Bytes:    c.bufferedBytes(),
			Deadline: deadline,
			Target:   c.match.Route.Target,
			Upload:   c.match.Route.Upload,
			Exclude:  c.tried,

			Tenant:      tenant,
			TenantRate:  rate,
			Utilization: utilizationOf(ctx),
		},
	}
}

// bufferedBytes returns the memory that the body takes while the call waits.
func (c *call) bufferedBytes() int64 {
	if c.req.GetBody == nil {
		return 0
	}
	return max(0, c.req.ContentLength)
}

// body returns the request body for one attempt.
func (c *call) body() (io.Reader, error) {
	if c.req.GetBody != nil {
		return c.req.GetBody()
	}
	if c.req.Body == nil || c.req.Body == http.NoBody {
		return nil, nil
	}
	return c.req.Body, nil
}

func bodyRefusal(err error) *outcome.Refusal {
	return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, "the body can't be read: "+err.Error())
}

// finish returns the result of the call from its last attempt.
func (c *call) finish(res result) (*forward.Response, *outcome.Refusal) {
	switch {
	case res.response != nil:
		if res.response.Status < http.StatusInternalServerError {
			c.budget.earnSuccess()
		}
		return res.response, nil
	case res.failure != nil:
		c.noteOutcome(res.failure)
		return nil, c.finalRefusal(failureRefusal(res.failure))
	default:
		return nil, c.finalRefusal(res.refusal)
	}
}

// noteOutcome records that an attempt may have run.
func (c *call) noteOutcome(f *forward.SendError) {
	c.maybeRan = c.maybeRan || f.Outcome != outcome.NotRun
}

// finalRefusal changes the outcome of a refusal from not-run to unknown if an
// earlier attempt may have run.
func (c *call) finalRefusal(r *outcome.Refusal) *outcome.Refusal {
	if !c.maybeRan || r.Outcome != outcome.NotRun {
		return r
	}
	unknown := outcome.NewUnknown(r.Reason, r.Detail)
	if r.Reason == outcome.ReasonDeadline {
		unknown.Status = http.StatusGatewayTimeout
	}
	return unknown
}

// discard drops a result that a retry replaces. An attempt with a response has
// run.
func (c *call) discard(res result) {
	if res.failure != nil {
		c.noteOutcome(res.failure)
	}
	if res.response != nil {
		c.maybeRan = true
		_ = res.response.Body.Close()
	}
}
