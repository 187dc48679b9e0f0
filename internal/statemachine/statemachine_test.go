package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

func branchOf(text string) tree.Branch { return tree.Branch(text) }

func TestInitialTreeNeedsNoVoteAndLaterChangesOfTheRootDo(t *testing.T) {
	h := newHistory()
	if h.state.Tree() != nil || h.state.Offset() != -1 {
		t.Fatalf("the empty state has a tree, or an offset other than -1")
	}
	h.publishInitialTree(t, 2)
	if got := h.state.Tree().Quorum; got != 2 {
		t.Errorf("quorum %d, want 2", got)
	}
	d := h.publish(Publish{Branch: "/", BaseRevision: 1, Content: "// a comment\n" + rootText(2, 100), Publisher: "b"})
	if d.Outcome != Accepted {
		t.Errorf("changed comment: %+v, want accepted", d)
	}
	d = h.publish(Publish{Branch: "/", BaseRevision: 2, Content: rootText(2, 90), Publisher: "b"})
	if d.Outcome != Proposed || h.state.Tree().Limits[0].CallsPerSecond != 100 {
		t.Errorf("changed limit: %+v, want a proposal and the old limit of 100", d)
	}
}

func TestProposalTakesEffectWithTheQuorum(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	d := h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"})
	if d.Outcome != Proposed || d.Proposal != "p1" {
		t.Fatalf("proposal: %+v, want proposed as p1", d)
	}
	if d = h.approve("a", "p1"); d.Outcome != Accepted || len(d.Closed) != 0 {
		t.Fatalf("first approval: %+v, want accepted and nothing closed", d)
	}
	p, _ := h.state.Proposal("p1")
	if got := h.state.Approvals(p); !slices.Equal(got, []string{"a"}) {
		t.Errorf("approvals by %q, want by a", got)
	}
	if d = h.approve("c", "p1"); len(d.Closed) != 1 || d.Closed[0].Outcome != Accepted {
		t.Fatalf("second approval: %+v, want one accepted proposal", d)
	}
	active, _ := h.state.Branch("/a")
	if active.Content != limitText(70) || active.Revision != 4 || active.Offset != 3 {
		t.Errorf("active branch: %+v, want the proposed content with revision 4 and offset 3", active)
	}
	if !slices.Equal(active.Changes, []string{"~ limits.calls_per_second: 80 -> 70"}) {
		t.Errorf("changes %q, want that of the limit from 80 to 70", active.Changes)
	}
}

func TestWithdrawnAndForeignApprovalsDoNotCount(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"})
	h.approve("b", "p1")
	h.approve("b")
	if d := h.approve("c", "p1"); len(d.Closed) != 0 {
		t.Errorf("withdrawn approval counted: %+v", d)
	}
	d := h.publish(Publish{Branch: "/b/approvals", BaseRevision: 3, Content: approvals("p1"), Publisher: "a"})
	if d.Outcome != NotAllowed {
		t.Errorf("a published approvals of b: %+v, want not allowed", d)
	}
}

func TestNothingIsApprovedBeforeItIsProposed(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	h.approve("b", "p3")
	h.approve("c", "p3")
	d := h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"})
	if d.Proposal != "p3" {
		t.Fatalf("proposal: %+v, want id p3", d)
	}
	d = h.publish(Publish{Branch: "/a/shop", Content: serviceText, Publisher: "a"})
	if d.Outcome != Accepted || len(d.Closed) != 0 {
		t.Errorf("publish after approvals in advance: %+v, want accepted and nothing closed", d)
	}
}

func TestRaceIsSettledByTheLog(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	h.publish(Publish{Branch: "/a/shop", Content: serviceText, Publisher: "a/ann", PublishID: "first"})
	changed := strings.Replace(serviceText, "50", "60", 1)
	d := h.publish(Publish{Branch: "/a/shop", Content: changed, Publisher: "a/bob", PublishID: "second"})
	if d.Outcome != Conflict || d.Winner.PublishID != "first" || d.Winner.Publisher != "a/ann" || len(d.Winner.Changes) == 0 {
		t.Errorf("second publish: %+v with winner %+v, want a conflict with the first publish", d, d.Winner)
	}
	d = h.publish(Publish{Branch: "/a/shop", Content: changed, Publisher: "a/bob", PublishID: "second", BaseRevision: 2})
	if d.Outcome != Duplicate || d.First.Outcome != Conflict {
		t.Errorf("second copy of the conflicting publish: %+v, want a duplicate", d)
	}
	d = h.publish(Publish{Branch: "/a/shop", Content: changed, Publisher: "a/bob", BaseRevision: 2})
	if d.Outcome != Accepted {
		t.Errorf("rebased publish: %+v, want accepted", d)
	}
}

func TestProposalsOfABranchThatMovedOnAreConflicts(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 1)
	h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"})
	h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(60), Publisher: "a"})
	d := h.approve("b", "p2")
	if len(d.Closed) != 2 || d.Closed[0].Outcome != Accepted || d.Closed[1].Outcome != Conflict {
		t.Errorf("closed proposals: %+v, want one accepted and one conflict", d.Closed)
	}
	if result, ok := h.state.ProposalResult("p1"); !ok || result.Outcome != Conflict {
		t.Errorf("result of p1: %+v, want a conflict", result)
	}
}

func TestProposalThatNoLongerFitsIsInvalid(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 1)
	h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(95), Publisher: "a"})
	h.publish(Publish{Branch: "/", BaseRevision: 1, Content: rootText(1, 90), Publisher: "a"})
	h.approve("b", "p2")
	d := h.approve("c", "p1")
	if len(d.Closed) != 1 || d.Closed[0].Outcome != Invalid || !strings.Contains(d.Closed[0].Message, "95 is wider than 90") {
		t.Errorf("closed proposals: %+v, want one invalid as its limit is too wide", d.Closed)
	}
}

func TestInvalidPublishesKeepTheTree(t *testing.T) {
	h := newHistory()
	for _, c := range []struct {
		publish Publish
		want    Outcome
		message string
	}{
		{Publish{Branch: "/a", Content: "{}", Publisher: "a"}, Invalid, "the root comes first"},
		{Publish{Branch: "/", Content: rootText(9, 1), Publisher: "a"}, Invalid, "quorum"},
		{Publish{Branch: "/", Content: rootText(2, 1), Publisher: "z"}, NotAllowed, "z is no member"},
		{Publish{Branch: "/a", BaseRevision: 7, Content: "{}", Publisher: "a"}, Conflict, "not in force"},
		{Publish{Branch: "/A", Content: "{}", Publisher: "a"}, Malformed, "no branch"},
		{Publish{Branch: "/a", Content: "{}", Publisher: "A B"}, Malformed, "publisher"},
		{Publish{Branch: "/a", Content: "{}", Publisher: "a", PublishID: "#"}, Malformed, "publish id"},
		{Publish{Branch: "/", Remove: true, BaseRevision: 1, Publisher: "a"}, Malformed, "removal"},
		{Publish{Branch: "/a", Content: "{}", Publisher: "a", Children: []Child{{}}}, Malformed, "children"},
	} {
		d := h.publish(c.publish)
		if d.Outcome != c.want || !strings.Contains(d.Message+d.Findings.Error(), c.message) {
			t.Errorf("%+v: unexpected decision %s, findings %q", c.publish, d, d.Findings.Error())
		}
	}
	if h.state.Revision() != 0 || h.state.Tree() != nil {
		t.Errorf("refused publishes left revision %d or a tree, want revision 0 and none", h.state.Revision())
	}
}

func TestPendingProposalsAreBounded(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	for range maxPending {
		if d := h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"}); d.Outcome != Proposed {
			t.Fatal(d)
		}
	}
	if d := h.publish(Publish{Branch: "/a", BaseRevision: 1, Content: limitText(70), Publisher: "a"}); d.Outcome != Conflict {
		t.Errorf("one proposal too many on a branch: %s, want a conflict", d)
	}
	if d := h.publish(Publish{Branch: "/b", BaseRevision: 1, Content: limitText(70), Publisher: "b"}); d.Outcome != Proposed {
		t.Errorf("proposal on another branch: %s, want proposed", d)
	}
	h.state.proposals[0].Content = strings.Repeat("x", maxPendingBytes)
	if d := h.publish(Publish{Branch: "/b", BaseRevision: 1, Content: limitText(60), Publisher: "b"}); d.Outcome != Conflict {
		t.Errorf("proposal beyond the limit of pending content: %s, want a conflict", d)
	}
}

func TestOldReceiptsAreForgotten(t *testing.T) {
	h := newHistory()
	for i := range maxReceipts + 1 {
		h.publish(Publish{Branch: "/a", Content: "{}", Publisher: "a", PublishID: fmt.Sprint(i)})
	}
	if _, known := h.state.Receipt("0"); known || len(h.state.receipts) != maxReceipts {
		t.Errorf("%d receipts are kept, the oldest among them: %v, want no more than the bound", len(h.state.receipts), known)
	}
	if _, known := h.state.Receipt("1"); !known {
		t.Error("the receipt of publish 1 is missing, though within the bound")
	}
}

func TestRemoval(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	h.publish(Publish{Branch: "/a/shop", Content: serviceText, Publisher: "a"})
	if d := h.publish(Publish{Branch: "/a", BaseRevision: 1, Remove: true, Publisher: "a"}); d.Outcome != Invalid {
		t.Errorf("removal of a branch that has children: %s, want invalid", d)
	}
	if d := h.publish(Publish{Branch: "/a/shop", BaseRevision: 2, Remove: true, Publisher: "a"}); d.Outcome != Accepted {
		t.Errorf("removal of a service: %s, want accepted", d)
	}
	if len(h.state.Tree().Services) != 0 {
		t.Errorf("services %v after the removal, want none", h.state.Tree().Services)
	}
	if d := h.publish(Publish{Branch: "/a", BaseRevision: 1, Remove: true, Publisher: "a"}); d.Outcome == Accepted {
		t.Errorf("removal of a global limit without approvals: %s, want it not accepted", d)
	}
}

func TestOtherRecordsOnlyMoveTheOffset(t *testing.T) {
	for text, want := range map[string]Outcome{
		``:                                    Malformed,
		`null`:                                Malformed,
		`[]`:                                  Malformed,
		`{"version":2,"kind":"publish"}`:      Unsupported,
		`{"version":1,"kind":"merge"}`:        Malformed,
		`{"version":2,"kind":"merge"}`:        Unsupported,
		`{"version":1,"kind":"publish"}`:      Malformed,
		`{"version":0,"kind":"seat"}`:         Malformed,
		`{"version":1,"kind":"seat","x":1}`:   Malformed,
		`{"version":1,"kind":"seat"}{}`:       Malformed,
		strings.Repeat("[", MaxRecordBytes+1): Malformed,
		strings.Repeat("[", MaxRecordBytes):   Malformed,
		`{"version":1,"kind":"seat","seat":{"seat":0,"incarnation":"i","vm":"v"},"publish":{}}`: Malformed,
	} {
		h := newHistory()
		h.publishInitialTree(t, 2)
		before := h.state
		if d := h.add(json.RawMessage(text)); d.Outcome != want {
			t.Errorf("%.60s: %s, want %s", text, d, want)
		}
		if h.state.Offset() != 1 || h.state.Tree() != before.Tree() || h.state.Revision() != 1 {
			t.Errorf("%.60s: the tree or revision changed, or the offset is not 1", text)
		}
	}
}

func TestAppliedOffsetsAreIgnored(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	next, d := h.state.Apply(0, h.records[0])
	if next != h.state || d.Outcome != Stale {
		t.Errorf("offset 0 applied again: %s, want stale and the same state", d)
	}
}

func TestSeatsFollowClaims(t *testing.T) {
	h := newHistory()
	claim := encode(NewSeatClaim(seat.Claim{Seat: 3, Incarnation: "i1", VM: "v1"}))
	if d := h.add(claim); d.Outcome != Invalid {
		t.Errorf("claim without a tree: %s, want invalid", d)
	}
	h.publishInitialTree(t, 2)
	if d := h.add(claim); d.Outcome != Accepted {
		t.Errorf("first claim: %s, want accepted", d)
	}
	if d := h.add(claim); d.Outcome != Conflict {
		t.Errorf("second claim of the same seat: %s, want a conflict", d)
	}
	if got := h.state.Seats().HeldBy("i1"); !slices.Equal(got, []int{3}) {
		t.Errorf("i1 holds seats %v, want 3", got)
	}
}

func TestRestoreRefusesDamage(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	good, err := json.Marshal(h.state)
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Restore(good); err != nil || s.Hash() != h.state.Hash() {
		t.Fatalf("restore of an undamaged snapshot: error %v, or another hash", err)
	}
	for _, damage := range [][2]string{
		{`"version":1`, `"version":2`},
		{`"revision":1`, `"revision":2`},
		{`"quorum\": 2`, `"quorum\": 3`},
		{`"quorum\": 2`, `"quorum\": 99`},
		{`{`, `[`},
	} {
		bad := strings.Replace(string(good), damage[0], damage[1], 1)
		var damaged *SnapshotError
		if _, err := Restore([]byte(bad)); bad == string(good) || !errors.As(err, &damaged) {
			t.Errorf("snapshot with %q replaced: error %v, want a *SnapshotError", damage, err)
		}
	}
}

// A newer program must not start from the snapshot of an older program that
// skipped a record which the newer one supports.
func TestRestoreRefusesSnapshotsWithSkippedRecords(t *testing.T) {
	h := newHistory()
	h.publishInitialTree(t, 2)
	if skipped, incomplete := h.state.Skipped(); incomplete {
		t.Fatalf("complete state reports skipped records %+v", skipped)
	}
	h.add(json.RawMessage(`{"version":3,"kind":"merge"}`))
	h.add(json.RawMessage(`{"version":2,"kind":"merge"}`))
	skipped, _ := h.state.Skipped()
	if skipped != (SkippedVersion{Version: 2, Offset: 2}) {
		t.Errorf("skipped records %+v, want version 2 from offset 2", skipped)
	}
	data, err := json.Marshal(h.state)
	if err != nil {
		t.Fatal(err)
	}
	same, err := Restore(data)
	if err != nil || same.Hash() != h.state.Hash() {
		t.Errorf("restore by a program of the same version: error %v, or another hash", err)
	}
	newer := strings.Replace(string(data), `"lacks":{"version":2`, `"lacks":{"version":1`, 1)
	if _, err := Restore([]byte(newer)); err == nil || !strings.Contains(err.Error(), "leaves out records of version 1 from offset 2") {
		t.Errorf("restore by a newer program: error %v, want that records of version 1 are left out", err)
	}
}
