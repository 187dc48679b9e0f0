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

// countingRunner counts the runs and echoes the request.
type countingRunner struct{ runs atomic.Int32 }

func (c *countingRunner) RunForwarded(_ context.Context, _ string, r *http.Request, body []byte) (Response, *outcome.Refusal) {
	c.runs.Add(1)
	return Response{Status: 201, Body: []byte(r.Method + " " + r.URL.Path + " " + string(body)), BodyStored: true}, nil
}

// testOwner serves a Table to peers on a real connection.
type testOwner struct {
	table   *Table
	runner  *countingRunner
	seals   *SealStore
	address string
	server  *peer.Server
}

func startOwner(t *testing.T) *testOwner {
	o := &testOwner{table: New(Options{}), runner: &countingRunner{}, seals: NewSealStore(), server: peer.NewServer()}
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

func newOwnerClient(t *testing.T, o *testOwner) *OwnerClient {
	pool := peer.NewPool(peer.Options{})
	t.Cleanup(pool.Close)
	return NewOwnerClient(OwnerClientOptions{
		Client: pool,
		Address: func(incarnation string) (string, bool) {
			return o.address, incarnation == o.table.Incarnation()
		},
	})
}

func forwardOrder(t *testing.T, client *OwnerClient, id ID, body []byte) (Response, *outcome.Refusal) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return client.Forward(ctx, id, "anna", newOrderRequest(), body)
}

func newOrderRequest() *http.Request { return httptest.NewRequest("POST", "/orders?kit=3", nil) }

// beginOrder begins the operation with the request that forwardOrder sends.
func beginOrder(t *testing.T, table *Table, id ID) *Handle {
	t.Helper()
	handle, refusal := table.Begin(id, "anna", NewFingerprint(newOrderRequest(), []byte("kit")))
	if refusal != nil || !handle.MustRun() {
		t.Fatalf("Begin: got refusal %v, want a handle that must run the operation", refusal)
	}
	return handle
}

func TestOwnerRunsOnceForAllClients(t *testing.T) {
	o := startOwner(t)
	id := mustID(t, o.table, 1)
	for range 3 {
		resp, refusal := forwardOrder(t, newOwnerClient(t, o), id, []byte("kit"))
		if refusal != nil || resp.Status != 201 || string(resp.Body) != "POST /orders kit" {
			t.Fatalf("got response %v, refusal %v; want status 201 and the echoed request", resp, refusal)
		}
	}
	if _, refusal := forwardOrder(t, newOwnerClient(t, o), id, []byte("other")); refusal == nil || refusal.Status != 422 {
		t.Errorf("same id with another body: got refusal %v, want status 422", refusal)
	}
	if n := o.runner.runs.Load(); n != 1 {
		t.Errorf("got %d runs, want 1", n)
	}
}

// A streamed body can't be forwarded. The owner completes the operation as
// not-run, so that this still holds if the stream reaches the owner later.
func TestStreamIsSettledByTheOwner(t *testing.T) {
	o := startOwner(t)
	id := mustID(t, o.table, 1)
	_, refusal := forwardOrder(t, newOwnerClient(t, o), id, nil)
	if refusal == nil || refusal.Outcome != outcome.NotRun {
		t.Fatalf("streamed request: got refusal %v, want outcome not-run", refusal)
	}
	handle, refusal := o.table.Begin(id, "anna", NewStreamFingerprint(newOrderRequest()))
	if refusal != nil || handle.MustRun() {
		t.Fatalf("the owner would run the operation or refuses it with %v; want the stored refusal", refusal)
	}
}

func TestUnreachableOwnerIsUnknown(t *testing.T) {
	o := startOwner(t)
	client := newOwnerClient(t, o)
	id := mustID(t, o.table, 1)
	o.server.Close()
	if _, refusal := forwardOrder(t, client, id, []byte("kit")); refusal.Outcome != outcome.Unknown || refusal.Reason != outcome.ReasonOwnerUnreachable {
		t.Errorf("closed owner: got refusal %v, want unknown with reason owner_unreachable", refusal)
	}
	id.Incarnation = NewIncarnation()
	if _, refusal := forwardOrder(t, client, id, []byte("kit")); refusal.Outcome != outcome.Unknown || refusal.Reason != outcome.ReasonOwnerUnknown {
		t.Errorf("owner not in the view: got refusal %v, want unknown with reason owner_unknown", refusal)
	}
}

func TestSealTellsRanFromNotRun(t *testing.T) {
	o := startOwner(t)
	ran, refused, running, unseen := mustID(t, o.table, 1), mustID(t, o.table, 2), mustID(t, o.table, 3), mustID(t, o.table, 4)
	beginOrder(t, o.table, ran).Ran(Response{Status: 201, BodyStored: true})
	beginOrder(t, o.table, refused).NotRun(outcome.NewNotRun(503, outcome.ReasonQueueFull, "full"))
	beginOrder(t, o.table, running)
	seal := o.table.Seal()
	if _, refusal := o.table.Begin(unseen, "anna", Fingerprint{1}); refusal == nil || refusal.Outcome != outcome.NotRun {
		t.Errorf("Begin on a sealed table: got refusal %v, want outcome not-run", refusal)
	}
	client := newOwnerClient(t, o)
	if err := client.opts.Seals.Add(seal.Record()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		id   ID
		want outcome.Outcome
	}{{ran, outcome.Ran}, {refused, outcome.NotRun}, {running, outcome.Unknown}, {unseen, outcome.NotRun}} {
		if _, refusal := forwardOrder(t, client, c.id, []byte("kit")); refusal == nil || refusal.Outcome != c.want {
			t.Errorf("got refusal %v, want outcome %s", refusal, c.want)
		}
	}
	if _, refusal := forwardOrder(t, client, ran, []byte("other")); refusal.Reason != outcome.ReasonOperationMismatch {
		t.Errorf("another request with the same id: got refusal %v, want reason operation_mismatch", refusal)
	}
	future := unseen
	future.Epoch++
	if _, refusal := forwardOrder(t, client, future, []byte("kit")); refusal.Outcome != outcome.Unknown {
		t.Errorf("future epoch: got refusal %v, want outcome unknown", refusal)
	}
}
