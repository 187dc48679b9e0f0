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

// defaultForwardTimeout bounds a forwarded request that has no timeout.
const defaultForwardTimeout = 30 * time.Second

// Runner runs an operation that another entry forwarded.
type Runner interface {
	// RunForwarded sends the request with the given body to a backend server and
	// returns the complete response. A refusal has the outcome NotRun only if
	// the request certainly did not run.
	RunForwarded(ctx context.Context, caller string, r *http.Request, body []byte) (Response, *outcome.Refusal)
}

// Receiver serves the net/rpc calls of other entries. Register it under
// peer.ReceiverOperation.
type Receiver struct {
	table  *Table
	runner Runner
	seals  *SealStore
}

// NewReceiver returns a Receiver for the operations that this entry owns.
func NewReceiver(table *Table, runner Runner, seals *SealStore) *Receiver {
	return &Receiver{table: table, runner: runner, seals: seals}
}

// Ask runs an operation of this entry, joins its run if it is in progress, or
// returns its outcome. The error is an *InvalidIDError.
func (r *Receiver) Ask(args *peer.AskArgs, reply *peer.AskReply) error {
	id, err := ParseID(args.ID)
	if err != nil {
		return err
	}
	timeout := defaultForwardTimeout
	if args.TimeoutMs > 0 {
		timeout = time.Duration(args.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	*reply = toReply(r.runOrJoin(ctx, id, args))
	return nil
}

func (r *Receiver) runOrJoin(ctx context.Context, id ID, args *peer.AskArgs) (Response, *outcome.Refusal) {
	handle, refusal := r.table.Begin(id, args.Caller, args.Fingerprint)
	if refusal != nil {
		return Response{}, refusal
	}
	if handle.MustRun() {
		r.run(ctx, handle, args)
	}
	return handle.Wait(ctx)
}

// run runs the operation and always completes it, also if the runner panics.
func (r *Receiver) run(ctx context.Context, handle *Handle, args *peer.AskArgs) {
	defer handle.Unknown(outcome.NewUnknown(outcome.ReasonInternal, "the entry failed while it ran the operation"))
	if !args.HasRequest {
		handle.NotRun(streamNotForwarded())
		return
	}
	request, err := rebuildRequest(&args.Request)
	if err != nil {
		handle.NotRun(outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, err.Error()))
		return
	}
	resp, refusal := r.runner.RunForwarded(ctx, args.Caller, request, args.Request.Body)
	handle.Complete(resp, refusal)
}

func streamNotForwarded() *outcome.Refusal {
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOwnerUnreachable,
		"a streamed body is not passed on to the operation's owner; send it with a ticket of the entry that gets it")
}

// rebuildRequest returns the caller's original request.
func rebuildRequest(req *peer.HTTPRequest) (*http.Request, error) {
	u, err := url.ParseRequestURI(req.URI)
	if err != nil {
		return nil, err
	}
	body := req.Body
	r := &http.Request{
		Method: req.Method, URL: u, RequestURI: req.URI, Host: req.Host, Header: req.Header,
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

// Seal adds the seal of a stopping entry. The error is a *SealError.
func (r *Receiver) Seal(args *peer.SealArgs, _ *peer.SealReply) error {
	return r.seals.Add(args.Record)
}
