package operation

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// askTimeout bounds a question that names no time.
const askTimeout = 30 * time.Second

// Runner runs an operation that another entry passed on.
type Runner interface {
	// RunForwarded sends the request, whose body is body, and returns the server's
	// whole answer. A refusal says not-run only where that is certain.
	RunForwarded(ctx context.Context, caller string, r *http.Request, body []byte) (Response, *outcome.Refusal)
}

// Receiver answers other entries; register it under peer.ReceiverOperation.
type Receiver struct {
	table  *Table
	runner Runner
	seals  *SealStore
}

// NewReceiver returns the receiver of this entry's operations.
func NewReceiver(table *Table, runner Runner, seals *SealStore) *Receiver {
	return &Receiver{table: table, runner: runner, seals: seals}
}

// Ask runs an operation of this entry, joins its run, or returns what it came to.
func (v *Receiver) Ask(args *peer.AskArgs, reply *peer.AskReply) error {
	id, err := ParseID(args.ID)
	if err != nil {
		return err
	}
	timeout := askTimeout
	if args.TimeoutMs > 0 {
		timeout = time.Duration(args.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	*reply = toReply(v.answer(ctx, id, args))
	return nil
}

func (v *Receiver) answer(ctx context.Context, id ID, args *peer.AskArgs) (Response, *outcome.Refusal) {
	call, refusal := v.table.Begin(id, args.Caller, args.Fingerprint)
	if refusal != nil {
		return Response{}, refusal
	}
	if call.MustRun() {
		v.run(ctx, call, args)
	}
	return call.Wait(ctx)
}

// run settles the operation, whatever happens on the way.
func (v *Receiver) run(ctx context.Context, call *Handle, args *peer.AskArgs) {
	defer call.Unknown(outcome.NewUnknown(outcome.ReasonInternal, "the entry failed while it ran the operation"))
	if !args.HasRequest {
		call.NotRun(streamElsewhere())
		return
	}
	r, err := rebuild(&args.Request)
	if err != nil {
		call.NotRun(outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, err.Error()))
		return
	}
	answer, refusal := v.runner.RunForwarded(ctx, args.Caller, r, args.Request.Body)
	call.Complete(answer, refusal)
}

func streamElsewhere() *outcome.Refusal {
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOwnerUnreachable,
		"a streamed body is not passed on to the operation's owner; send it with a ticket of the entry that gets it")
}

// rebuild makes the caller's request anew.
func rebuild(q *peer.HTTPRequest) (*http.Request, error) {
	u, err := url.ParseRequestURI(q.URI)
	if err != nil {
		return nil, err
	}
	body := q.Body
	r := &http.Request{
		Method: q.Method, URL: u, RequestURI: q.URI, Host: q.Host, Header: q.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(body)),
		GetBody:       func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil },
	}
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Body, _ = r.GetBody()
	return r, nil
}

// Seal takes in what a stopping entry leaves behind.
func (v *Receiver) Seal(args *peer.SealArgs, _ *peer.SealReply) error {
	return v.seals.Add(args.Record)
}
