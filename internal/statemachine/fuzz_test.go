package statemachine

import (
	"encoding/json"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/seat"
)

// FuzzApply applies any record to a state with a tree and a pending proposal.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"version":1,"kind":"merge"}`))
	f.Add([]byte(encode(NewSeatClaim(seat.Claim{Seat: 1, Incarnation: "i", VM: "v"}))))
	f.Add([]byte(encode(NewPublish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a", PublishID: "x"}))))
	f.Add([]byte(encode(NewPublish(Publish{Branch: "/a/shop", Content: serviceText, Publisher: "a", PublishID: "x"}))))
	f.Add([]byte(encode(NewPublish(Publish{Branch: "/b/approvals", BaseRevision: 1, Content: approvals("p1"), Publisher: "b", PublishID: "x"}))))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := newHistory()
		h.publishInitialTree(t, 1)
		h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"})
		before := h.state
		hash := before.Hash()

		// Call apply, as Apply would recover from a panic.
		next, d := before.apply(2, data)
		again, _ := before.apply(2, data)
		if next.Hash() != again.Hash() || before.Hash() != hash {
			t.Errorf("applying the record twice gives different states, or changes the state before: %s", d)
		}
		if next.Offset() != 2 {
			t.Errorf("offset %d after the record, want 2", next.Offset())
		}
		if d.Outcome != Accepted && next.Revision() != before.Revision() {
			t.Errorf("revision changed to %d without acceptance: %s", next.Revision(), d)
		}
		snapshot, err := json.Marshal(next)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Restore(snapshot); err != nil {
			t.Errorf("snapshot after %s is not restored: %v", d, err)
		}
	})
}

// FuzzRestore restores any snapshot.
func FuzzRestore(f *testing.F) {
	h := newHistory()
	h.publishInitialTree(f, 1)
	h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"})
	good, err := json.Marshal(h.state)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"version":1,"state":{"offset":9,"branches":[{"branch":"/a/b","content":"{}"}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err == nil && s.Hash() == "" {
			t.Errorf("restored a state without a hash")
		}
	})
}
