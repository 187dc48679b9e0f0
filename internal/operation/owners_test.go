package operation

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// countingRunner answers each run with its number.
type countingRunner struct{ runs atomic.Int32 }

func (c *countingRunner) RunForwarded(_ context.Context, _ string, r *http.Request, body []byte) (Response, *outcome.Refusal) {
	c.runs.Add(1)
	return Response{Status: 201, Body: []byte(r.Method + " " + r.URL.Path + " " + string(body)), BodyKept: true}, nil
}

// owner serves a Table to peers on a real connection.
type owner struct {
	table   *Table
	runner  *countingRunner
	seals   *SealStore
	address string
	server  *peer.Server
}

func startOwner(t *testing.T) *owner {
	o := &owner{table: New(Options{}), runner: &countingRunner{}, seals: NewSealStore(), server: peer.NewServer()}
	if err := o.server.Register(peer.ReceiverOperation, NewReceiver(o.table, o.runner, o.seals)); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.address = l.Addr().String()
	go func() { _ = o.server.Serve(l) }()
	t.Cleanup(o.server.Close)
	return o
}

func newOwners(t *testing.T, o *owner) *OwnerClient {
	pool := peer.NewPool(peer.Options{})
	t.Cleanup(pool.Close)
	return NewOwnerClient(OwnerClientOptions{
		Client: pool,
		Address: func(incarnation string) (string, bool) {
			return o.address, incarnation == o.table.Incarnation()
		},
	})
}

func ask(t *testing.T, owners *OwnerClient, id ID, body []byte) (Response, *outcome.Refusal) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return owners.Forward(ctx, id, "anna", order(), body)
}

func order() *http.Request { return httptest.NewRequest("POST", "/orders?kit=3", nil) }

// beginOrder begins the operation with the request that ask sends.
func beginOrder(t *testing.T, table *Table, id ID) *Handle {
	t.Helper()
	call, refusal := table.Begin(id, "anna", NewFingerprint(order(), []byte("kit")))
	if refusal != nil || !call.MustRun() {
		t.Fatalf("not the owner: %v", refusal)
	}
	return call
}

func TestOwnerRunsOnceForWhoeverAsks(t *testing.T) {
	o := startOwner(t)
	id := mustID(t, o.table, 1)
	for range 3 {
		a, refusal := ask(t, newOwners(t, o), id, []byte("kit"))
		if refusal != nil || a.Status != 201 || string(a.Body) != "POST /orders kit" {
			t.Fatalf("%v %v", a, refusal)
		}
	}
	if _, refusal := ask(t, newOwners(t, o), id, []byte("other")); refusal == nil || refusal.Status != 422 {
		t.Errorf("another body: %v", refusal)
	}
	if n := o.runner.runs.Load(); n != 1 {
		t.Errorf("%d runs", n)
	}
}

// A streamed body can't be passed on. The owner settles the operation, so that
// the not-run holds when the stream reaches the owner after all.
func TestStreamIsSettledByTheOwner(t *testing.T) {
	o := startOwner(t)
	id := mustID(t, o.table, 1)
	_, refusal := ask(t, newOwners(t, o), id, nil)
	if refusal == nil || refusal.Outcome != outcome.NotRun {
		t.Fatalf("%v", refusal)
	}
	call, refusal := o.table.Begin(id, "anna", NewStreamFingerprint(order()))
	if refusal != nil || call.MustRun() {
		t.Fatalf("the owner would run it: %v", refusal)
	}
}

func TestUnreachableOwnerIsUnknown(t *testing.T) {
	o := startOwner(t)
	owners := newOwners(t, o)
	id := mustID(t, o.table, 1)
	o.server.Close()
	if _, refusal := ask(t, owners, id, []byte("kit")); refusal.Outcome != outcome.Unknown || refusal.Reason != outcome.ReasonOwnerUnreachable {
		t.Errorf("closed: %v", refusal)
	}
	id.Incarnation = NewIncarnation()
	if _, refusal := ask(t, owners, id, []byte("kit")); refusal.Outcome != outcome.Unknown || refusal.Reason != outcome.ReasonOwnerUnknown {
		t.Errorf("not in the view: %v", refusal)
	}
}

func TestSealTellsRanFromNotRun(t *testing.T) {
	o := startOwner(t)
	ran, refused, running, unseen := mustID(t, o.table, 1), mustID(t, o.table, 2), mustID(t, o.table, 3), mustID(t, o.table, 4)
	beginOrder(t, o.table, ran).Ran(Response{Status: 201, BodyKept: true})
	beginOrder(t, o.table, refused).NotRun(outcome.NewNotRun(503, outcome.ReasonQueueFull, "full"))
	beginOrder(t, o.table, running)
	seal := o.table.Seal()
	if _, refusal := o.table.Begin(unseen, "anna", Fingerprint{1}); refusal == nil || refusal.Outcome != outcome.NotRun {
		t.Errorf("a sealed table began an operation: %v", refusal)
	}
	owners := newOwners(t, o)
	if err := owners.opts.Seals.Add(seal.Record()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		id   ID
		want outcome.Outcome
	}{{ran, outcome.Ran}, {refused, outcome.NotRun}, {running, outcome.Unknown}, {unseen, outcome.NotRun}} {
		if _, refusal := ask(t, owners, c.id, []byte("kit")); refusal == nil || refusal.Outcome != c.want {
			t.Errorf("%v, want %s", refusal, c.want)
		}
	}
	if _, refusal := ask(t, owners, ran, []byte("other")); refusal.Reason != outcome.ReasonOperationMismatch {
		t.Errorf("another request with the id: %v", refusal)
	}
	future := unseen
	future.Epoch++
	if _, refusal := ask(t, owners, future, []byte("kit")); refusal.Outcome != outcome.Unknown {
		t.Errorf("future epoch: %v", refusal)
	}
}
