package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Outcomes as entries name them.
const (
	outcomeRan    = "ran"
	outcomeNotRun = "not-run"
)

// Reasons that the client acts on.
const (
	reasonAnswerNotKept = "answer_not_kept"
	reasonMismatch      = "operation_mismatch"
	reasonNoEntry       = "entry_unreachable"
	reasonNoAnswer      = "no_answer"
)

// maxRefusalBytes bounds the body of an entry's own answer.
const maxRefusalBytes = 64 << 10

// call is the state of one call over its attempts.
type call struct {
	req       *http.Request
	once      bool
	operation string // present operation id of a call that runs at most once
	sent      int    // attempts made
	answered  int    // attempts that an entry answered with a refusal
	maybeRan  bool   // an earlier attempt under the present id may have run
}

// host is the service's host name, which routes the request.
func (k *call) host() string {
	if k.req.Host != "" {
		return k.req.Host
	}
	return k.req.URL.Host
}

// rewind gives a repeat its own body.
func (k *call) rewind(out *http.Request) error {
	if k.sent == 0 || k.req.Body == nil || k.req.Body == http.NoBody {
		return nil
	}
	if k.req.GetBody == nil {
		return &BodyError{Err: errors.New("the request has no GetBody")}
	}
	body, err := k.req.GetBody()
	if err != nil {
		return &BodyError{Err: err}
	}
	out.Body = body
	return nil
}

// replayable reports whether the call can be sent again.
func (k *call) replayable() bool {
	return k.req.Body == nil || k.req.Body == http.NoBody || k.req.GetBody != nil
}

// run sends the call until an attempt is final.
func (c *Client) run(k *call) (*http.Response, error) {
	ctx := k.req.Context()
	for {
		entries, err := c.resolver.choices(ctx)
		if err != nil {
			return nil, k.unresolved(err)
		}
		entry := entries[k.answered%len(entries)] // after a refusal the next one
		if k.once && k.operation == "" {
			k.operation = newOperation(entry.Ticket)
		}
		resp, err := c.send(ctx, k, entry)
		k.sent++
		c.judge(entry, resp, err)
		resp, err = k.read(resp, err)
		if err == nil {
			c.budget.success()
			return resp, nil
		}
		if !c.again(k, err) {
			return nil, err
		}
	}
}

// judge notes what an attempt tells about its entry.
func (c *Client) judge(entry Entry, resp *http.Response, err error) {
	var body *BodyError
	switch {
	case err == nil && resp.Close:
		c.resolver.expire() // the entry may be leaving
	case err != nil && !errors.As(err, &body):
		c.resolver.avoid(entry.Address)
	}
}

// again decides on a repeat and prepares it.
func (c *Client) again(k *call, err error) bool {
	ctx := k.req.Context()
	if ctx.Err() != nil || k.sent >= c.opts.MaxAttempts || !k.replayable() {
		return false
	}
	var notRun *NotRunError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &notRun):
		if !worthRepeating(notRun.Status) || !c.budget.spend() {
			return false
		}
		c.resolver.expire()
		// It is certain that the operation never runs, so a new one may.
		k.operation, k.maybeRan = "", false
		return sleep(ctx, notRun.RetryAfter)
	case errors.As(err, &unknown):
		if !c.budget.spend() {
			return false
		}
		c.resolver.expire()
		k.maybeRan = true
		return true
	default:
		return false
	}
}

// worthRepeating leaves out refusals that a repeat meets again.
func worthRepeating(status int) bool {
	return status == 0 || status == http.StatusServiceUnavailable
}

// unresolved tells a call that was never sent from one that may have run.
func (k *call) unresolved(err error) error {
	if k.maybeRan {
		return &OutcomeUnknownError{Operation: k.operation, Reason: reasonNoEntry, Err: err}
	}
	return err
}

// read turns what came of an attempt into an answer or a typed error.
func (k *call) read(resp *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, k.transportError(err)
	}
	if !answeredByEntry(resp) {
		return resp, nil
	}
	k.answered++
	defer resp.Body.Close()
	detail := refusalDetail(resp.Body)
	reason := resp.Header.Get(headerReason)
	switch resp.Header.Get(headerOutcome) {
	case outcomeNotRun:
		if reason == reasonMismatch {
			return nil, &OperationMismatchError{Operation: k.operation, Detail: detail}
		}
		if k.maybeRan && !k.once {
			break
		}
		return nil, &NotRunError{Status: resp.StatusCode, Reason: reason, RetryAfter: retryAfter(resp), Detail: detail}
	case outcomeRan:
		if reason == reasonAnswerNotKept {
			return nil, &AnswerNotKeptError{Operation: k.operation}
		}
	}
	return nil, &OutcomeUnknownError{Operation: k.operation, Status: resp.StatusCode, Reason: reason, Detail: detail}
}

// transportError tells a request that never left from one that may have arrived.
func (k *call) transportError(err error) error {
	var body *BodyError
	if errors.As(err, &body) {
		return body
	}
	if notSent(err) && !k.maybeRan {
		return &NotRunError{Reason: reasonNoEntry, Err: err}
	}
	return &OutcomeUnknownError{Operation: k.operation, Reason: reasonNoAnswer, Err: err}
}

// refusal is the body of an entry's own answer.
type refusal struct {
	Detail string `json:"detail"`
}

func refusalDetail(body io.Reader) string {
	var r refusal
	if err := json.NewDecoder(io.LimitReader(body, maxRefusalBytes)).Decode(&r); err != nil {
		return ""
	}
	return r.Detail
}

func retryAfter(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
