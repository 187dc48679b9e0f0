package attempt

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

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

	attempts int
	tried    []string
	maybeRan bool // an attempt's outcome is unknown
}

// reply is the end of one attempt: exactly one field is set.
type reply struct {
	answer  *forward.Answer
	failure *forward.Failure
	refusal *outcome.Refusal
}

// run makes attempts until one is final.
func (c *call) run(ctx context.Context) (*forward.Answer, *outcome.Refusal) {
	for {
		got := c.attempt(ctx)
		reason := c.retryReason(got)
		if reason == "" {
			return c.finish(ctx, got)
		}
		if denied := c.denied(ctx, got); denied != "" {
			metrics.Count(c.runner.scope, metrics.RetriesDenied, denied)
			return c.finish(ctx, got)
		}
		metrics.Count(c.runner.scope, metrics.Retries, reason)
		c.discard(got)
	}
}

// attempt asks for a server and sends the request to it.
func (c *call) attempt(ctx context.Context) reply {
	grant, refusal := c.runner.admitter.Admit(ctx, c.request(ctx))
	if refusal != nil {
		return reply{refusal: refusal}
	}
	body, err := c.body()
	if err != nil {
		grant.Done(Result{Kind: Cancelled})
		return reply{refusal: outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, err.Error())}
	}
	server := grant.Server()
	c.tried = append(c.tried, server.Name)
	began := time.Now()
	answer, failure := c.runner.sender.Send(ctx, server, c.match, c.outgoing(), body)
	c.attempts++
	latency := time.Since(began)
	if failure != nil {
		c.maybeRan = c.maybeRan || failure.Outcome != outcome.NotRun
		grant.Done(failureResult(failure, latency))
		return reply{failure: failure}
	}
	answer.Body = &slotBody{ReadCloser: answer.Body, grant: grant, result: answerResult(answer, latency)}
	return reply{answer: answer}
}

func (c *call) request(ctx context.Context) Request {
	deadline, _ := ctx.Deadline()
	return Request{
		Service:  c.match.Service.Key(),
		Rank:     c.match.Rank.Name,
		Bytes:    max(0, c.req.ContentLength),
		Deadline: deadline,
		Upload:   c.match.Route.Upload,
		Exclude:  c.tried,
	}
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

// outgoing numbers the attempt, so that layers below do not retry a retry.
func (c *call) outgoing() *http.Request {
	if c.attempts == 0 {
		return c.req
	}
	out := *c.req
	out.Header = c.req.Header.Clone()
	out.Header.Set(wire.HeaderAttempt, strconv.Itoa(c.nested+c.attempts))
	return &out
}

// finish turns the last attempt into the call's end.
func (c *call) finish(ctx context.Context, got reply) (*forward.Answer, *outcome.Refusal) {
	switch {
	case got.answer != nil:
		if got.answer.Status < http.StatusInternalServerError {
			c.budget.success()
		}
		return got.answer, nil
	case got.failure != nil:
		return nil, c.refuse(refusalOf(got.failure))
	default:
		return nil, c.refuse(got.refusal)
	}
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

// discard drops an answer that a retry replaces. What it answered has run.
func (c *call) discard(got reply) {
	if got.answer == nil {
		return
	}
	c.maybeRan = true
	_ = got.answer.Body.Close()
}

// slotBody gives the server's slot back when the answer's body is closed.
type slotBody struct {
	io.ReadCloser
	grant  Grant
	result Result
	done   bool
}

// Close ends the attempt.
func (b *slotBody) Close() error {
	err := b.ReadCloser.Close()
	if !b.done {
		b.done = true
		b.grant.Done(b.result)
	}
	return err
}
