package cluster

import (
	"fmt"
	"math"
	"testing"
)

// assignmentView returns a view of members of which every tenth has the weight 0.8, the others 0.16.
func assignmentView(count int) *View {
	var members []LiveMember
	for i := range count {
		m := member(i, 3)
		m.Weight = 0.16
		if i%10 == 0 {
			m.Weight = 0.8
		}
		members = append(members, m)
	}
	return viewOf(members...)
}

// Members must own keys in proportion to their weights, so that small VMs answer few queries.
func TestAssignmentIsInProportionToWeights(t *testing.T) {
	a := assignmentView(50).Assignment()
	const keys = 20000
	owned := map[float64]int{}
	for i := range keys {
		owner, ok := a.Owner(AssignmentKey(fmt.Sprintf("tenant-%d", i/4), i%4))
		if !ok {
			t.Fatal("no owner")
		}
		owned[owner.weight]++
	}
	const want = keys * 5 * 0.8 / (5*0.8 + 45*0.16)
	if got := float64(owned[0.8]); math.Abs(got-want) > 0.05*want {
		t.Errorf("the strong members own %.0f of %d keys, want about %.0f", got, keys, want)
	}
}

// When a member goes, only its keys may move: a moved key has a new owner that starts empty.
func TestAssignmentMovesOnlyTheKeysOfALostMember(t *testing.T) {
	before := assignmentView(50)
	after := assignmentView(50)
	after.Live[7].Leaving = true
	after.liveHash, after.assignmentHash = 0, 0
	after.computeHashes()
	a, b := before.Assignment(), after.Assignment()
	if !a.Matches(before) || a.Matches(after) || !b.Matches(after) {
		t.Error("the assignments do not match their views only")
	}
	for i := range 2000 {
		key := AssignmentKey("tenant", i)
		old, _ := a.Owner(key)
		owner, _ := b.Owner(key)
		if owner.VM != old.VM && old.VM != before.Live[7].VM || owner.VM == before.Live[7].VM {
			t.Fatalf("key %d moved from %s to %s", i, old.VM, owner.VM)
		}
	}
}

// The assignment with the silent members must be that of before they became silent.
func TestAssignmentWithSilentMembers(t *testing.T) {
	all := assignmentView(20)
	part := viewOf(append([]LiveMember(nil), all.Live[:10]...)...)
	if part.AssignmentWithSilent() != nil {
		t.Error("an assignment with silent members where there are none")
	}
	part.Silent = append([]LiveMember(nil), all.Live[10:]...)
	a, b := all.Assignment(), part.AssignmentWithSilent()
	for i := range 200 {
		before, _ := a.Owner(AssignmentKey("tenant", i))
		if now, _ := b.Owner(AssignmentKey("tenant", i)); now.VM != before.VM {
			t.Fatalf("key %d is assigned to %s, want %s", i, now.VM, before.VM)
		}
	}
}

// Without a member that stays, nobody owns a key.
func TestNoOwnerWhereAllLeave(t *testing.T) {
	m := member(1, 2)
	m.Leaving = true
	if owner, ok := viewOf(m).Assignment().Owner(1); ok {
		t.Errorf("%s owns a key", owner.VM)
	}
}
