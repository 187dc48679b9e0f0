package quota

import (
	"context"
	"math/rand/v2"
	"net"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// seated returns a seat table in which the incarnation holds the only seat.
func seated(t *testing.T, incarnation string) seat.Table {
	t.Helper()
	table, err := seat.Table{}.Apply(0, seat.Claim{Incarnation: incarnation, VM: "v"}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func newSeated(t *testing.T, opts Options, rate, calls int) *Limiter {
	t.Helper()
	if opts.LastContact == nil {
		opts.LastContact = time.Now
	}
	l := New(opts)
	l.SetTree(testTree(rate, calls, 1))
	l.SetSeats(seated(t, "a"))
	return l
}

func TestRefusals(t *testing.T) {
	tests := []struct {
		name        string
		rate, calls int
		reason      outcome.Reason
	}{
		{"rate", 2, 100, outcome.ReasonLimitRate},
		{"concurrent", 100, 2, outcome.ReasonLimitConcurrent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newSeated(t, Options{Incarnation: "a"}, test.rate, test.calls)
				for range 2 {
					if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal != nil {
						t.Fatal(refusal)
					}
				}
				_, refusal := l.TryAcquire("m", "s", "lookups")
				if refusal == nil || refusal.Status != 429 || refusal.Outcome != outcome.NotRun ||
					refusal.Reason != test.reason || refusal.RetryAfter < time.Second {
					t.Errorf("got refusal %+v, want status 429, not run, the limit's reason, Retry-After >= 1s", refusal)
				}
			})
		})
	}
}

func TestReleaseCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSeated(t, Options{Incarnation: "a"}, 100, 2)
		first, _ := l.TryAcquire("m", "s", "lookups")
		l.TryAcquire("m", "s", "lookups")
		first()
		first()
		if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal != nil {
			t.Error(refusal)
		}
		if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal == nil {
			t.Error("a second release of the same call freed another unit")
		}
	})
}

func TestLimiterUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSeated(t, Options{Incarnation: "a"}, 10, 5)
		l.TryAcquire("m", "s", "lookups")
		want := []LimitUsage{
			{Kind: "calls_per_second", Limit: 10, Own: 10, InUse: 1},
			{Kind: "concurrent_calls", Limit: 5, Own: 5, InUse: 1},
			{Scope: tree.Scope{Member: "m"}, Kind: "calls_per_second", Limit: 11, Own: 11, InUse: 1},
		}
		if got := l.Usage(); !reflect.DeepEqual(got, want) {
			t.Errorf("got usage %+v, want one call in use of each of the three limits", got)
		}
	})
}

// TestCounters makes the Limiter increment each of its counters.
func TestCounters(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	now := time.Now()
	lastContact := now
	l := newSeated(t, Options{
		Incarnation: "without a seat", Scope: scope, Client: unreachableClient{},
		Now:         func() time.Time { return now },
		LastContact: func() time.Time { return lastContact },
		Peers:       func() []Peer { return []Peer{{Incarnation: "b"}} },
	}, 1, 10)
	for range 3 {
		l.TryAcquire("m", "s", "lookups")
	}
	for _, o := range l.plan(rand.New(rand.NewPCG(1, 2))) {
		l.send(t.Context(), o)
	}
	l.clock.wall -= time.Hour
	now = now.Add(time.Millisecond)
	l.TryAcquire("m", "s", "lookups")
	if err := l.Receiver().Lend(&peer.BorrowRequest{Lender: "other"}, &peer.BorrowReply{}); err == nil {
		t.Error("a borrow request for another entry got no error")
	}
	counted := scope.Snapshot().Counters()
	for _, name := range []string{CounterRequests, CounterRequestsFailed, CounterLendRefused, CounterFenced, CounterClockGaps} {
		if c := counted[name+"+"]; c == nil || c.Value() == 0 {
			t.Errorf("%s was not counted", name)
		}
	}
}

// unreachableClient fails all calls as unreachable.
type unreachableClient struct{}

func (unreachableClient) Call(context.Context, string, string, any, any) error {
	return &peer.UnreachableError{}
}

func TestCallsOutsideEveryLimitAreFree(t *testing.T) {
	l := New(Options{Incarnation: "a"})
	if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal != nil {
		t.Error(refusal)
	}
}

// TestSuspendedVMIsNoticed advances the wall clock but not the monotonic clock, as
// after a suspension of the VM during which the monotonic clock stood still. Without
// detection, the entry would admit calls from seats that were reassigned meanwhile.
func TestSuspendedVMIsNoticed(t *testing.T) {
	lastContact := time.Now()
	now := lastContact
	l := newSeated(t, Options{
		Incarnation: "a",
		Now:         func() time.Time { return now },
		LastContact: func() time.Time { return lastContact },
	}, 10, 10)
	if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal != nil {
		t.Fatal(refusal)
	}
	// Makes the wall clock appear to have jumped ahead since the last reading.
	l.clock.wall -= time.Hour
	now = now.Add(time.Millisecond)
	if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal == nil {
		t.Error("call admitted after the wall clock jumped ahead of the monotonic clock")
	}
	lastContact = now.Add(time.Millisecond)
	now = lastContact
	if _, refusal := l.TryAcquire("m", "s", "lookups"); refusal != nil {
		t.Error(refusal)
	}
}

// TestBorrowOverTCP checks that an entry without a seat can borrow over net/rpc.
func TestBorrowOverTCP(t *testing.T) {
	lender := newSeated(t, Options{Incarnation: "a"}, 1000, 1000)
	server := peer.NewServer()
	if err := server.Register(ReceiverName, lender.Receiver()); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Close()

	pool := peer.NewPool(peer.Options{})
	defer pool.Close()
	contact := &ContactTracker{}
	borrower := New(Options{
		Incarnation: "b",
		Client:      contact.Client(pool),
		LastContact: contact.Last,
		Peers:       func() []Peer { return []Peer{{Incarnation: "a", Address: listener.Addr().String()}} },
	})
	borrower.SetTree(testTree(1000, 1000, 1))
	borrower.SetSeats(seated(t, "a"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		borrower.Run(ctx)
	}()
	for {
		if _, refusal := borrower.TryAcquire("m", "s", "lookups"); refusal == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
}
