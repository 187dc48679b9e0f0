package operation

import (
	"context"
	"net/http"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

func mustID(t *testing.T, table *Table, n byte) ID {
	t.Helper()
	id, err := ParseID(table.Ticket() + ".000000000000000000000000000000" + string("0123456789"[n/10]) + string("0123456789"[n%10]))
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// begin begins a new operation and fails the test unless the handle must run it.
func begin(t *testing.T, table *Table, id ID) *Handle {
	t.Helper()
	handle, refusal := table.Begin(id, "anna", Fingerprint{1})
	if refusal != nil || !handle.MustRun() {
		t.Fatalf("Begin: got refusal %v, want a handle that must run the operation", refusal)
	}
	return handle
}

func TestParseID(t *testing.T) {
	good := "00112233445566778899aabb:7.00112233445566778899aabbccddeeff"
	id, err := ParseID(good)
	if err != nil || id.String() != good || id.Epoch != 7 {
		t.Fatalf("parsing a valid id: got %v, error %v; want the same id with epoch 7", id, err)
	}
	for _, bad := range []string{
		"", "x", "00112233445566778899aabb.00112233445566778899aabbccddeeff",
		"00112233445566778899aabb:07.00112233445566778899aabbccddeeff",
		"00112233445566778899aabb:-1.00112233445566778899aabbccddeeff",
		"00112233445566778899aabb:4294967296.00112233445566778899aabbccddeeff",
		"00112233445566778899AABB:7.00112233445566778899aabbccddeeff",
		"00112233445566778899aabb:7.00112233445566778899aabbccddee",
		"00112233445566778899aabb:7.00112233445566778899aabbccddeeff.1",
	} {
		if _, err := ParseID(bad); err == nil {
			t.Errorf("ParseID(%q) returned no error", bad)
		}
	}
}

func TestRetryJoinsAndGetsTheStoredResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{})
		id := mustID(t, table, 1)
		first := begin(t, table, id)
		joined := make(chan Response, 1)
		retry, _ := table.Begin(id, "anna", Fingerprint{1})
		go func() { resp, _ := retry.Wait(context.Background()); joined <- resp }()
		synctest.Wait()
		first.Ran(Response{Status: 201, Body: []byte("order 7"), BodyStored: true})
		if resp := <-joined; resp.Status != 201 || string(resp.Body) != "order 7" {
			t.Fatalf("request that joined the run: got response %v, want status 201 and body \"order 7\"", resp)
		}
		later, _ := table.Begin(id, "anna", Fingerprint{1})
		if resp, refusal := later.Wait(context.Background()); later.MustRun() || refusal != nil || string(resp.Body) != "order 7" {
			t.Fatalf("request after the run: got response %v, refusal %v; want body \"order 7\" without a second run", resp, refusal)
		}
	})
}

func TestNotRunIsFinal(t *testing.T) {
	table := New(Options{})
	id := mustID(t, table, 1)
	begin(t, table, id).NotRun(outcome.NewNotRun(503, outcome.ReasonQueueFull, "full"))
	retry, _ := table.Begin(id, "anna", Fingerprint{1})
	_, refusal := retry.Wait(context.Background())
	if retry.MustRun() || refusal.Outcome != outcome.NotRun || refusal.Reason != outcome.ReasonQueueFull {
		t.Fatalf("retry: got refusal %v, want not-run with reason queue_full", refusal)
	}
}

func TestMismatchOfRequestOrCaller(t *testing.T) {
	table := New(Options{})
	id := mustID(t, table, 1)
	begin(t, table, id)
	for _, c := range []struct {
		caller string
		fp     Fingerprint
	}{{"anna", Fingerprint{2}}, {"bert", Fingerprint{1}}} {
		if _, refusal := table.Begin(id, c.caller, c.fp); refusal == nil || refusal.Status != 422 {
			t.Errorf("%v: got refusal %v, want status 422", c, refusal)
		}
	}
}

func TestDroppedAndFutureEpochsNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{EpochLength: time.Second, RetainedEpochs: 3})
		old := mustID(t, table, 1)
		unused := mustID(t, table, 2)
		begin(t, table, old).Ran(Response{BodyStored: true})
		future := old
		future.Epoch = 1
		if _, refusal := table.Begin(future, "anna", Fingerprint{1}); refusal == nil || refusal.Outcome != outcome.Unknown {
			t.Errorf("future epoch: got refusal %v, want outcome unknown", refusal)
		}
		time.Sleep(3 * time.Second)
		for _, id := range []ID{old, unused} {
			_, refusal := table.Begin(id, "anna", Fingerprint{1})
			if refusal == nil || refusal.Reason != outcome.ReasonOperationDropped || refusal.Outcome != outcome.Unknown {
				t.Errorf("dropped epoch: got refusal %v, want unknown with reason operation_dropped", refusal)
			}
		}
		if table.Len() != 0 {
			t.Errorf("table retains %d operations, want 0", table.Len())
		}
	})
}

// A full table refuses new operations as not-run. This must stay true when there
// is room again, so a retry must not run.
func TestFullTableKeepsItsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{EpochLength: time.Second, RetainedEpochs: 3, MaxOperations: 1})
		begin(t, table, mustID(t, table, 1))
		time.Sleep(2 * time.Second)
		refused := mustID(t, table, 2)
		if _, refusal := table.Begin(refused, "anna", Fingerprint{1}); refusal == nil || refusal.Reason != outcome.ReasonOperationTableFull {
			t.Fatalf("full table: got refusal %v, want reason operation_table_full", refusal)
		}
		time.Sleep(time.Second) // the first epoch is dropped, so there is room
		if handle, refusal := table.Begin(refused, "anna", Fingerprint{1}); refusal == nil || refusal.Outcome != outcome.NotRun {
			t.Fatalf("retry of a refused operation: got handle %v, refusal %v; want outcome not-run", handle, refusal)
		}
		begin(t, table, mustID(t, table, 3))
	})
}

func TestEncodedResponsesComeBackComplete(t *testing.T) {
	for _, resp := range []Response{
		{Status: 204, Header: http.Header{}, Body: []byte{}, BodyStored: true},
		{Status: 201, Server: "server 1", Body: []byte("\r\n\r\nbody\x00"), BodyStored: true, Header: http.Header{
			"Set-Cookie": {"a=1; Path=/", "b=2"}, "X-Empty": {""}, "Content-Type": {"text/plain; charset=utf-8"},
		}},
	} {
		if got := decodeResponse(encodeResponse(&resp)); !reflect.DeepEqual(got, resp) {
			t.Errorf("got %+v, want %+v", got, resp)
		}
	}
}

func TestStoredResponsesStayInTheirBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{EpochLength: time.Second, MaxResponseBytes: 110, MaxStoredBytes: 400})
		var ids []ID
		for n := byte(0); n < 6; n++ {
			id := mustID(t, table, n)
			begin(t, table, id).Ran(Response{Status: 200, Body: make([]byte, 100), BodyStored: true})
			ids = append(ids, id)
			if table.storedBytes > 400 {
				t.Fatalf("stored responses take %d bytes, want at most 400", table.storedBytes)
			}
			time.Sleep(time.Second)
		}
		for n, id := range ids {
			handle, _ := table.Begin(id, "anna", Fingerprint{1})
			_, refusal := handle.Wait(context.Background())
			if kept := refusal == nil; kept != (n >= 4) {
				t.Errorf("response %d stored: got %v, want only responses 4 and 5 stored", n, kept)
			}
			if refusal != nil && (refusal.Outcome != outcome.Ran || refusal.Reason != outcome.ReasonAnswerNotKept) {
				t.Errorf("response %d: got refusal %v, want ran with reason answer_not_kept", n, refusal)
			}
		}
	})
}
