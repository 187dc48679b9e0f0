package cluster

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"
)

// startQueryNode starts a node whose handler answers with the question and its VM.
func (w network) startQueryNode(t *testing.T, i int) *Node {
	t.Helper()
	n := w.startMember(i, 1, 1)
	n.HandleQueries(TopicAllowance, func(question []byte) []byte {
		return append(append([]byte(nil), question...), n.options.Self.VM...)
	})
	t.Cleanup(n.stop)
	return n.Node
}

func queryFor(n *Node, to *Node, wait time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return n.Query(ctx, LiveMember{Member: to.options.Self}, TopicAllowance, []byte("q"))
}

// A query gets the answer of the member that was asked, also if that is the asking one.
func TestQueryIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		a, b := w.startQueryNode(t, 1), w.startQueryNode(t, 2)
		for _, to := range []*Node{b, a} {
			got, err := queryFor(a, to, time.Second)
			if want := append([]byte("q"), to.options.Self.VM...); err != nil || !bytes.Equal(got, want) {
				t.Errorf("got %q, error %v, want %q", got, err, want)
			}
		}
	})
}

// A lost answer ends the query with its context, and an answer that arrives later must not be
// taken for that of another query.
func TestLostAnswerEndsTheQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		a, b := w.startQueryNode(t, 1), w.startQueryNode(t, 2)
		w.SetDrop(func(from, _ netip.AddrPort) bool { return from == b.options.Self.DatagramAddress })
		if _, err := queryFor(a, b, 50*time.Millisecond); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got error %v, want a deadline", err)
		}
		a.handleAnswer(b.options.Self.DatagramAddress, encodeQuery(kindAnswer, TopicAllowance, 7, []byte("late"))[1:])
		a.queries.mu.Lock()
		defer a.queries.mu.Unlock()
		if len(a.queries.open) != 0 {
			t.Errorf("%d queries are still open", len(a.queries.open))
		}
	})
}

// Only the member that was asked may answer.
func TestAnswerOfAnotherMemberIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		a, b := w.startQueryNode(t, 1), w.startQueryNode(t, 2)
		id, q := a.openQuery(b.options.Self.DatagramAddress, TopicAllowance)
		a.handleAnswer(memoryAddress(3), encodeQuery(kindAnswer, TopicAllowance, id, []byte("x"))[1:])
		a.handleAnswer(b.options.Self.DatagramAddress, encodeQuery(kindAnswer, TopicFreshness, id, []byte("x"))[1:])
		if len(q.answer) != 0 {
			t.Error("an answer of another member or topic was delivered")
		}
		for _, malformed := range [][]byte{{kindQuestion}, {kindAnswer, 1, 2}} {
			a.receive(memoryAddress(3), malformed)
		}
		if _, err := a.Query(context.Background(), LiveMember{}, TopicAllowance, make([]byte, maxQueryBytes+1)); !errors.Is(err, ErrQueryTooLarge) {
			t.Errorf("got error %v, want %v", err, ErrQueryTooLarge)
		}
	})
}
