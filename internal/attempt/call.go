package attempt

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// call is the state of one call over its attempts.
type call struct {
	runner *Runner
	match  tree.Match
	req    *http.Request
	nested int // earlier attempts of the layers above
	budget *budget
	trace  *Trace
	began  time.Time

	attempts int // requests that may have reached a server, hedges included
	dials    int // attempts of which no byte was written
	tried    []string
	maybeRan bool // an attempt's outcome is unknown
}

// reply is the end of one attempt: exactly one field is set.
type reply struct {
	answer  *forward.Response
	failure *forward.SendError
	refusal *outcome.Refusal
}

// unsent reports whether certainly no byte reached a server.
func (r reply) unsent() bool {
	return r.failure != nil && r.failure.Outcome == outcome.NotRun && r.failure.Stage != forward.StageAnswer
}

// run makes attempts until one is final.
func (c *call) run(ctx context.Context) (*forward.Response, *outcome.Refusal) {
	c.budget.begin()
	for {
		got := c.hedged(ctx)
		reason := c.retryReason(got)
		if reason == "" {
			return c.finish(got)
		}
		if denied := c.denied(ctx, got); denied != "" {
			metrics.Count(c.runner.scope, metrics.RetriesDenied, denied)
			return c.finish(got)
		}
		if c.budget.shared && got.unsent() {
			c.unsent()
		}
		metrics.Count(c.runner.scope, metrics.Retries, reason)
		c.discard(got)
	}
}

// attempt asks for a server and sends the request to it.
func (c *call) attempt(ctx context.Context) reply {
	grant, refusal := c.admit(ctx, c.request(ctx))
	if refusal != nil {
		return reply{refusal: refusal}
	}
	body, err := c.body()
	if err != nil {
		grant.Done(balancer.Result{Kind: balancer.Cancelled})
		return reply{refusal: refuseBody(err)}
	}
	ctx, cancel := c.sendContext(ctx)
	got := c.send(ctx, grant, body, c.next(grant.Server().Name))
	if got.answer == nil {
		cancel()
		return got
	}
	got.answer.Body = &cancelBody{ReadCloser: got.answer.Body, cancel: cancel}
	return got
}

// sendContext is the context of a request that has left the queue. One that is
// not idempotent goes on when its caller leaves: broken off, its effect would be
// unknown.
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

// granted is a place with the time that the call waited for it.
type granted struct {
	Grant
	waited time.Duration
}

// admit asks for a server until ctx ends and traces a refusal.
func (c *call) admit(ctx context.Context, r Request) (*granted, *outcome.Refusal) {
	asked := time.Now()
	grant, refusal := c.runner.admitter.Admit(ctx, r)
	if refusal != nil {
		c.trace.add(Step{Waited: time.Since(asked), Result: string(refusal.Reason)})
		return nil, refusal
	}
	return &granted{Grant: grant, waited: time.Since(asked)}, nil
}

// send makes the attempt. It touches no field of c that changes, as a hedge runs
// beside the first attempt.
func (c *call) send(ctx context.Context, grant *granted, body io.Reader, out *http.Request) reply {
	began := time.Now()
	step := Step{Server: grant.Server().Name, Estimate: grant.Estimate(), Waited: grant.waited}
	answer, failure := c.runner.sender.Send(ctx, grant.Server(), c.match, out, body)
	step.Took = time.Since(began)
	if failure != nil {
		step.Result = string(failure.Stage) + "_" + string(failure.Reason)
		c.trace.add(step)
		grant.Done(failureResult(failure, time.Since(began)))
		return reply{failure: failure}
	}
	step.Result = strconv.Itoa(answer.Status)
	c.trace.add(step)
	answer.Body = &slotBody{body: answer.Body, grant: grant, began: began, answer: answer}
	return reply{answer: answer}
}

// unsent takes an attempt out of the count of which no byte reached a server.
func (c *call) unsent() {
	c.attempts--
	c.dials++
}

// next counts an attempt at the server and returns the request for it. Later
// attempts are numbered, so that layers below do not retry a retry.
func (c *call) next(server string) *http.Request {
	c.tried = append(c.tried, server)
	c.attempts++
	if c.attempts == 1 {
		return c.req
	}
	out := *c.req
	out.Header = c.req.Header.Clone()
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(c.nested+c.attempts-1))
	return &out
}

func (c *call) request(ctx context.Context) Request {
	deadline, _ := ctx.Deadline()
	return Request{
		Service: c.match.Service.Key(),
		Request: admission.Request{
			Rank:     c.match.Rank.Name,
			Bytes:    c.bufferedBytes(),
			Deadline: deadline,
			Upload:   c.match.Route.Upload,
			Exclude:  c.tried,
		},
	}
}

// bufferedBytes is the memory that the body takes while the call waits.
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

func refuseBody(err error) *outcome.Refusal {
	return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, "the body can't be read: "+err.Error())
}

// finish turns the last attempt into the call's end.
func (c *call) finish(got reply) (*forward.Response, *outcome.Refusal) {
	switch {
	case got.answer != nil:
		if got.answer.Status < http.StatusInternalServerError {
			c.budget.succeed()
		}
		return got.answer, nil
	case got.failure != nil:
		c.note(got.failure)
		return nil, c.refuse(refusalOf(got.failure))
	default:
		return nil, c.refuse(got.refusal)
	}
}

// note remembers that an attempt may have run.
func (c *call) note(f *forward.SendError) {
	c.maybeRan = c.maybeRan || f.Outcome != outcome.NotRun
}

// refuse says not-run only where that holds for every attempt.
func (c *call) refuse(r *outcome.Refusal) *outcome.Refusal {
	if !c.maybeRan || r.Outcome != outcome.NotRun {
		return r
	}
	unknown := outcome.NewUnknown(r.Reason, r.Detail)
	if r.Reason == outcome.ReasonDeadline {
		unknown.Status = http.StatusGatewayTimeout
	}
	return unknown
}

// discard drops what a retry replaces. What was answered has run.
func (c *call) discard(got reply) {
	if got.failure != nil {
		c.note(got.failure)
	}
	if got.answer != nil {
		c.maybeRan = true
		_ = got.answer.Body.Close()
	}
}
