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

// begin fails the test unless the call belongs to the owner.
func begin(t *testing.T, table *Table, id ID) *Handle {
	t.Helper()
	c, refusal := table.Begin(id, "anna", Fingerprint{1})
	if refusal != nil || !c.MustRun() {
		t.Fatalf("not the owner: %v", refusal)
	}
	return c
}

func TestParseID(t *testing.T) {
	good := "00112233445566778899aabb:7.00112233445566778899aabbccddeeff"
	id, err := ParseID(good)
	if err != nil || id.String() != good || id.Epoch != 7 {
		t.Fatalf("%v, %v", id, err)
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
			t.Errorf("%q was read", bad)
		}
	}
}

func TestRepeatJoinsAndGetsTheKeptAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{})
		id := mustID(t, table, 1)
		owner := begin(t, table, id)
		joined := make(chan Response, 1)
		repeat, _ := table.Begin(id, "anna", Fingerprint{1})
		go func() { a, _ := repeat.Wait(context.Background()); joined <- a }()
		synctest.Wait()
		owner.Ran(Response{Status: 201, Body: []byte("order 7"), BodyKept: true})
		if a := <-joined; a.Status != 201 || string(a.Body) != "order 7" {
			t.Fatalf("joined %v", a)
		}
		later, _ := table.Begin(id, "anna", Fingerprint{1})
		if a, refusal := later.Wait(context.Background()); later.MustRun() || refusal != nil || string(a.Body) != "order 7" {
			t.Fatalf("later %v %v", a, refusal)
		}
	})
}

func TestNotRunSettlesForEver(t *testing.T) {
	table := New(Options{})
	id := mustID(t, table, 1)
	begin(t, table, id).NotRun(outcome.NewNotRun(503, outcome.ReasonQueueFull, "full"))
	repeat, _ := table.Begin(id, "anna", Fingerprint{1})
	_, refusal := repeat.Wait(context.Background())
	if repeat.MustRun() || refusal.Outcome != outcome.NotRun || refusal.Reason != outcome.ReasonQueueFull {
		t.Fatalf("%v", refusal)
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
			t.Errorf("%v: %v", c, refusal)
		}
	}
}

func TestDroppedAndFutureEpochsNeverRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{EpochLength: time.Second, EpochsKept: 3})
		old := mustID(t, table, 1)
		unused := mustID(t, table, 2)
		begin(t, table, old).Ran(Response{BodyKept: true})
		future := old
		future.Epoch = 1
		if _, refusal := table.Begin(future, "anna", Fingerprint{1}); refusal == nil || refusal.Outcome != outcome.Unknown {
			t.Errorf("future epoch: %v", refusal)
		}
		time.Sleep(3 * time.Second)
		for _, id := range []ID{old, unused} {
			_, refusal := table.Begin(id, "anna", Fingerprint{1})
			if refusal == nil || refusal.Reason != outcome.ReasonOperationDropped || refusal.Outcome != outcome.Unknown {
				t.Errorf("dropped epoch: %v", refusal)
			}
		}
		if table.Len() != 0 {
			t.Errorf("%d operations kept", table.Len())
		}
	})
}

// A full table refuses with not-run, which must hold when there is room again.
func TestFullTableKeepsItsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{EpochLength: time.Second, EpochsKept: 3, MaxOperations: 1})
		begin(t, table, mustID(t, table, 1))
		time.Sleep(2 * time.Second)
		refused := mustID(t, table, 2)
		if _, refusal := table.Begin(refused, "anna", Fingerprint{1}); refusal == nil || refusal.Reason != outcome.ReasonOperationTableFull {
			t.Fatalf("%v", refusal)
		}
		time.Sleep(time.Second) // the first epoch is dropped, so there is room
		if c, refusal := table.Begin(refused, "anna", Fingerprint{1}); refusal == nil || refusal.Outcome != outcome.NotRun {
			t.Fatalf("a refused operation began: %v %v", c, refusal)
		}
		begin(t, table, mustID(t, table, 3))
	})
}

func TestPackedAnswersComeBackWhole(t *testing.T) {
	for _, a := range []Response{
		{Status: 204, Header: http.Header{}, Body: []byte{}, BodyKept: true},
		{Status: 201, Server: "server 1", Body: []byte("\r\n\r\nbody\x00"), BodyKept: true, Header: http.Header{
			"Set-Cookie": {"a=1; Path=/", "b=2"}, "X-Empty": {""}, "Content-Type": {"text/plain; charset=utf-8"},
		}},
	} {
		if got := unpack(pack(&a)); !reflect.DeepEqual(got, a) {
			t.Errorf("got %+v, want %+v", got, a)
		}
	}
}

func TestKeptAnswersStayInTheirBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := New(Options{EpochLength: time.Second, MaxAnswerBytes: 110, MaxKeptBytes: 400})
		var ids []ID
		for n := byte(0); n < 6; n++ {
			id := mustID(t, table, n)
			begin(t, table, id).Ran(Response{Status: 200, Body: make([]byte, 100), BodyKept: true})
			ids = append(ids, id)
			if table.keptBytes > 400 {
				t.Fatalf("%d bytes kept", table.keptBytes)
			}
			time.Sleep(time.Second)
		}
		for n, id := range ids {
			c, _ := table.Begin(id, "anna", Fingerprint{1})
			_, refusal := c.Wait(context.Background())
			if kept := refusal == nil; kept != (n >= 4) {
				t.Errorf("answer %d kept: %v", n, kept)
			}
			if refusal != nil && (refusal.Outcome != outcome.Ran || refusal.Reason != outcome.ReasonAnswerNotKept) {
				t.Errorf("answer %d: %v", n, refusal)
			}
		}
	})
}
