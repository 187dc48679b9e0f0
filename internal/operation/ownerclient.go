package operation

import (
	"context"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// ownerRetryAfter is the Retry-After of a refusal because the owner is unreachable.
const ownerRetryAfter = time.Second

// OwnerClientOptions configure an OwnerClient.
type OwnerClientOptions struct {
	// Client calls other entries.
	Client peer.Client
	// Address returns the peer address of a live incarnation.
	Address func(incarnation string) (address string, ok bool)
	// Seals holds the final records of stopped entries; nil makes an empty store.
	Seals *SealStore
}

// OwnerClient forwards requests to the entries that own their operations. It is
// safe for concurrent use.
type OwnerClient struct{ opts OwnerClientOptions }

// NewOwnerClient returns an OwnerClient that is ready for use.
func NewOwnerClient(opts OwnerClientOptions) *OwnerClient {
	if opts.Seals == nil {
		opts.Seals = NewSealStore()
	}
	return &OwnerClient{opts: opts}
}

// Forward sends the request to the operation's owner and returns the outcome. The
// owner runs the operation if it is new. A nil body means that the request
// streams its body, which can't be forwarded. If the owner does not reply, the
// outcome is Unknown and never NotRun: even if this call was certainly not sent,
// the owner may have run the operation for an earlier request.
func (o *OwnerClient) Forward(ctx context.Context, id ID, caller string, r *http.Request, body []byte) (Response, *outcome.Refusal) {
	args := newAskArgs(ctx, id, caller, r, body)
	scoped := Fingerprint(args.Fingerprint).Scoped(caller)
	if refusal, ok := o.opts.Seals.Lookup(id, scoped); ok {
		return Response{}, refusal
	}
	address, ok := o.opts.Address(id.Incarnation)
	if !ok {
		return Response{}, outcome.NewUnknown(outcome.ReasonOwnerUnknown,
			"the entry that owns the operation is not known here; find out from the service whether it ran")
	}
	reply := &peer.AskReply{}
	err := o.opts.Client.Call(ctx, address, peer.MethodOperationAsk, args, reply)
	if err == nil {
		return fromReply(reply)
	}
	if refusal, ok := o.opts.Seals.Lookup(id, scoped); ok {
		return Response{}, refusal
	}
	return Response{}, outcome.NewUnknown(outcome.ReasonOwnerUnreachable,
		"the entry that owns the operation gave no answer; repeat the request with the same id").WithRetryAfter(ownerRetryAfter)
}

func newAskArgs(ctx context.Context, id ID, caller string, r *http.Request, body []byte) *peer.AskArgs {
	args := &peer.AskArgs{ID: id.String(), Caller: caller}
	if deadline, ok := ctx.Deadline(); ok {
		args.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
	if body == nil {
		args.Fingerprint = NewStreamFingerprint(r)
		return args
	}
	args.Fingerprint = NewFingerprint(r, body)
	args.HasRequest = true
	args.Request = peer.HTTPRequest{
		Method: r.Method,
		Host:   r.Host,
		URI:    r.URL.RequestURI(),
		Header: r.Header,
		Body:   body,
	}
	return args
}

func fromReply(r *peer.AskReply) (Response, *outcome.Refusal) {
	if !r.Refused {
		resp := r.Answer
		return Response{Status: resp.Status, Header: resp.Header, Body: resp.Body, BodyStored: true, Server: resp.Server}, nil
	}
	return Response{}, &outcome.Refusal{
		Outcome:    outcome.Outcome(r.Outcome),
		Reason:     outcome.Reason(r.Reason),
		Status:     r.Status,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Detail:     r.Detail,
	}
}

func toReply(resp Response, refusal *outcome.Refusal) peer.AskReply {
	if refusal == nil {
		return peer.AskReply{
			Answer: peer.HTTPResponse{Status: resp.Status, Header: resp.Header, Body: resp.Body, Server: resp.Server},
		}
	}
	return peer.AskReply{
		Refused:      true,
		Outcome:      string(refusal.Outcome),
		Reason:       string(refusal.Reason),
		Status:       refusal.Status,
		RetryAfterMs: refusal.RetryAfter.Milliseconds(),
		Detail:       refusal.Detail,
	}
}
