package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Values of the outcome header.
const (
	outcomeRan    = "ran"
	outcomeNotRun = "not-run"
)

// Values of the reason header that the client handles specially. The client
// itself sets reasonEntryUnreachable and reasonNoAnswer.
const (
	reasonAnswerNotKept    = "answer_not_kept"
	reasonMismatch         = "operation_mismatch"
	reasonEntryUnreachable = "entry_unreachable"
	reasonNoAnswer         = "no_answer"
)

// maxRefusalBytes bounds the body read from a response that an entry itself generated.
const maxRefusalBytes = 64 << 10

// call is the state of one call across its attempts.
type call struct {
	req            *http.Request
	atMostOnce     bool
	operation      string // current operation id, if atMostOnce
	attempts       int    // attempts made
	entryResponses int    // attempts to which the entry itself responded, not a backend server
	maybeRan       bool   // an earlier attempt under the current id may have run
}

// host returns the service's host name, by which entries route the request.
func (k *call) host() string {
	if k.req.Host != "" {
		return k.req.Host
	}
	return k.req.URL.Host
}

// rewindBody sets a fresh copy of the body on a retry.
func (k *call) rewindBody(out *http.Request) error {
	if k.attempts == 0 || k.req.Body == nil || k.req.Body == http.NoBody {
		return nil
	}
	if k.req.GetBody == nil {
		return &BodyError{Err: errors.New("the request has a body but no GetBody")}
	}
	body, err := k.req.GetBody()
	if err != nil {
		return &BodyError{Err: err}
	}
	out.Body = body
	return nil
}

// hasReplayableBody reports whether the body, if any, can be sent again.
func (k *call) hasReplayableBody() bool {
	return k.req.Body == nil || k.req.Body == http.NoBody || k.req.GetBody != nil
}

// run makes attempts until one succeeds or must not be retried.
func (c *Client) run(k *call) (*http.Response, error) {
	ctx := k.req.Context()
	for {
		entries, err := c.resolver.candidates(ctx)
		if err != nil {
			return nil, k.resolveError(err)
		}
		entry := entries[k.entryResponses%len(entries)] // after a refusal, try the next entry
		if k.atMostOnce && k.operation == "" {
			k.operation = newOperation(entry.Ticket)
		}
		resp, err := c.send(ctx, k, entry)
		k.attempts++
		c.recordResult(entry, resp, err)
		resp, err = k.classify(resp, err)
		if err == nil {
			c.budget.recordSuccess()
			return resp, nil
		}
		if !c.prepareRetry(k, err) {
			return nil, err
		}
	}
}

// recordResult updates the resolver's view of the entry after an attempt.
func (c *Client) recordResult(entry Entry, resp *http.Response, err error) {
	var body *BodyError
	switch {
	case err == nil && resp.Close:
		c.resolver.expire() // the entry may be shutting down
	case err != nil && !errors.As(err, &body):
		c.resolver.deprioritize(entry.Address)
	}
}

// prepareRetry reports whether to retry after err. If so, it takes a token from the
// retry budget, updates the call and waits as long as the entry asked for.
func (c *Client) prepareRetry(k *call, err error) bool {
	ctx := k.req.Context()
	if ctx.Err() != nil || k.attempts >= c.opts.MaxAttempts || !k.hasReplayableBody() {
		return false
	}
	var notRun *NotRunError
	var unknown *OutcomeUnknownError
	switch {
	case errors.As(err, &notRun):
		if !isRetryableStatus(notRun.Status) || !c.budget.take() {
			return false
		}
		c.resolver.expire()
		// The operation will never run, so a new one may take its place.
		k.operation, k.maybeRan = "", false
		return sleep(ctx, notRun.RetryAfter)
	case errors.As(err, &unknown):
		if !c.budget.take() {
			return false
		}
		c.resolver.expire()
		k.maybeRan = true
		return true
	default:
		return false
	}
}

// isRetryableStatus excludes refusals that a retry would meet again. Status zero
// means that no entry was reached.
func isRetryableStatus(status int) bool {
	return status == 0 || status == http.StatusServiceUnavailable
}

// resolveError returns the error of a call for which no entry could be resolved:
// the outcome is unknown if an earlier attempt may have run.
func (k *call) resolveError(err error) error {
	if k.maybeRan {
		return &OutcomeUnknownError{Operation: k.operation, Reason: reasonEntryUnreachable, Err: err}
	}
	return err
}

// classify turns the result of an attempt into a response from a backend server
// or a typed error.
func (k *call) classify(resp *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, k.transportError(err)
	}
	if !isEntryResponse(resp) {
		return resp, nil
	}
	k.entryResponses++
	defer resp.Body.Close()
	detail := refusalDetail(resp.Body)
	reason := resp.Header.Get(headerReason)
	switch resp.Header.Get(headerOutcome) {
	case outcomeNotRun:
		if reason == reasonMismatch {
			return nil, &OperationMismatchError{Operation: k.operation, Detail: detail}
		}
		if k.maybeRan && !k.atMostOnce {
			// Without an operation id, this says nothing about earlier attempts.
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

// transportError returns the error of an attempt without a response. Only a failed
// dial proves that the request did not arrive, and only if no earlier attempt may
// have run.
func (k *call) transportError(err error) error {
	var body *BodyError
	if errors.As(err, &body) {
		return body
	}
	if notSent(err) && !k.maybeRan {
		return &NotRunError{Reason: reasonEntryUnreachable, Err: err}
	}
	return &OutcomeUnknownError{Operation: k.operation, Reason: reasonNoAnswer, Err: err}
}

// refusal is the body of a response that the entry itself generated.
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
