package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// directClient calls a lender in the same process with a latency of 3 ms.
type directClient struct{ lender *Limiter }

func (c directClient) Call(_ context.Context, _, _ string, args, reply any) error {
	time.Sleep(3 * time.Millisecond)
	return c.lender.Receiver().Lend(args.(*peer.BorrowRequest), reply.(*peer.BorrowReply))
}

// newBorrower runs a Limiter without a seat. It can borrow from a lender that holds
// the only seat.
func newBorrower(t *testing.T, callsPerSecond int) *Limiter {
	t.Helper()
	lender := newSeated(t, Options{Incarnation: "a"}, callsPerSecond, 1000)
	contact := &ContactTracker{}
	b := New(Options{
		Incarnation: "b",
		Client:      contact.Client(directClient{lender}),
		LastContact: contact.Last,
		Peers:       func() []Peer { return []Peer{{Incarnation: "a"}} },
	})
	b.SetTree(testTree(callsPerSecond, 1000, 1))
	b.SetSeats(seated(t, "a"))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return b
}

func TestFirstCallOfAnEntryWithoutSeatIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBorrower(t, 1000)
		if _, refusal := b.Acquire(t.Context(), "m", "s", "lookups"); refusal != nil {
			t.Errorf("got refusal %v although a peer has units to lend, want admission", refusal)
		}
	})
}

func TestExhaustedLimitIsRefusedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBorrower(t, 1)
		var refused, longest time.Duration
		for range 4 {
			start := time.Now()
			if _, refusal := b.Acquire(t.Context(), "m", "s", "lookups"); refusal != nil {
				refused++
			}
			longest = max(longest, time.Since(start))
		}
		if refused == 0 || longest > maxAcquireWait {
			t.Errorf("%d of 4 calls refused under a limit of one, longest wait %v; want some refused within maxAcquireWait", refused, longest)
		}
	})
}
