package operation

import (
	"context"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// ownerRetryAfter is the wait that a caller is asked for when an owner is unreachable.
const ownerRetryAfter = time.Second

// OwnerClientOptions configure an OwnerClient.
type OwnerClientOptions struct {
	// Client calls other entries.
	Client peer.Client
	// Address returns the peer address of a live incarnation.
	Address func(incarnation string) (address string, ok bool)
	// Seals are what stopped entries left behind.
	Seals *SealStore
}

// OwnerClient asks other entries about operations that are bound to them. It is safe
// for concurrent use.
type OwnerClient struct{ opts OwnerClientOptions }

// NewOwnerClient returns an OwnerClient that is ready for use.
func NewOwnerClient(opts OwnerClientOptions) *OwnerClient {
	if opts.Seals == nil {
		opts.Seals = NewSealStore()
	}
	return &OwnerClient{opts: opts}
}

// Forward returns what the operation came to at its owner, which runs it where it is
// new. A nil body says that the request streams its body and can't be passed on.
// Where the owner gives no answer the refusal is unknown and never not-run: even
// a question that was certainly not sent leaves open whether the owner ran the
// operation before.
func (o *OwnerClient) Forward(ctx context.Context, id ID, caller string, r *http.Request, body []byte) (Response, *outcome.Refusal) {
	question := newAsk(ctx, id, caller, r, body)
	sum := Fingerprint(question.Fingerprint).scoped(caller)
	if refusal, ok := o.opts.Seals.Lookup(id, sum); ok {
		return Response{}, refusal
	}
	address, ok := o.opts.Address(id.Incarnation)
	if !ok {
		return Response{}, outcome.NewUnknown(outcome.ReasonOwnerUnknown,
			"the entry that owns the operation is not known here; find out from the service whether it ran")
	}
	reply := &peer.AskReply{}
	err := o.opts.Client.Call(ctx, address, peer.MethodOperationAsk, question, reply)
	if err == nil {
		return fromReply(reply)
	}
	if refusal, ok := o.opts.Seals.Lookup(id, sum); ok {
		return Response{}, refusal
	}
	return Response{}, outcome.NewUnknown(outcome.ReasonOwnerUnreachable,
		"the entry that owns the operation gave no answer; repeat the request with the same id").WithRetryAfter(ownerRetryAfter)
}

func newAsk(ctx context.Context, id ID, caller string, r *http.Request, body []byte) *peer.AskArgs {
	ask := &peer.AskArgs{ID: id.String(), Caller: caller}
	if deadline, ok := ctx.Deadline(); ok {
		ask.TimeoutMs = max(1, time.Until(deadline).Milliseconds())
	}
	if body == nil {
		ask.Fingerprint = NewStreamFingerprint(r)
		return ask
	}
	ask.Fingerprint = NewFingerprint(r, body)
	ask.HasRequest = true
	ask.Request = peer.HTTPRequest{
		Method: r.Method,
		Host:   r.Host,
		URI:    r.URL.RequestURI(),
		Header: r.Header,
		Body:   body,
	}
	return ask
}

func fromReply(r *peer.AskReply) (Response, *outcome.Refusal) {
	if !r.Refused {
		a := r.Answer
		return Response{Status: a.Status, Header: a.Header, Body: a.Body, BodyKept: true, Server: a.Server}, nil
	}
	return Response{}, &outcome.Refusal{
		Outcome:    outcome.Outcome(r.Outcome),
		Reason:     outcome.Reason(r.Reason),
		Status:     r.Status,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Detail:     r.Detail,
	}
}

func toReply(a Response, refusal *outcome.Refusal) peer.AskReply {
	if refusal == nil {
		return peer.AskReply{
			Answer: peer.HTTPResponse{Status: a.Status, Header: a.Header, Body: a.Body, Server: a.Server},
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
