package cluster

import (
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// minWeight is the least weight of a member in an Assignment, so that a member whose CPU quota
// is not known gets a share too.
const minWeight = 0.01

// Assignee is a member to which keys are assigned.
type Assignee struct {
	// VM is the name of the member's VM.
	VM string
	// Address is where it receives datagrams.
	Address netip.AddrPort

	vmHash uint64
	weight float64
}

// LiveMember returns the member as Node.Query takes it.
func (a *Assignee) LiveMember() LiveMember {
	return LiveMember{Member: Member{VM: a.VM, DatagramAddress: a.Address}}
}

// Assignment assigns keys to the members of a view that are not leaving, in proportion to their
// weights (rendezvous hashing). It is immutable.
type Assignment struct {
	members        []Assignee // by VM
	assignmentHash uint32
}

// Assignment returns the assignment over the members of the view. It should be kept as long as
// Matches reports true.
func (v *View) Assignment() *Assignment {
	a := &Assignment{assignmentHash: v.assignmentHash, members: make([]Assignee, 0, len(v.Live))}
	for i := range v.Live {
		if m := &v.Live[i]; !m.Leaving {
			a.members = append(a.members, Assignee{
				VM: m.VM, Address: m.DatagramAddress, vmHash: m.nameHash(), weight: max(m.Weight, minWeight),
			})
		}
	}
	return a
}

// AssignmentWithSilent returns the assignment as if the silent members were live, nil if there are
// none.
func (v *View) AssignmentWithSilent() *Assignment {
	if len(v.Silent) == 0 {
		return nil
	}
	all := *v
	all.Live = append(append([]LiveMember(nil), v.Live...), v.Silent...)
	return all.Assignment()
}

// NewView returns a view of the members, which must be sorted by VM, of which that many more
// are missing.
func NewView(live []LiveMember, missing int) *View {
	v := &View{Live: live, Known: len(live) + missing, Missing: missing}
	for i := range v.Live {
		v.Live[i].idHash = idHashOf(v.Live[i].Member)
	}
	v.computeHashes()
	return v
}

// Matches reports whether the assignment is that of the view.
func (a *Assignment) Matches(v *View) bool { return a.assignmentHash == v.assignmentHash }

// Owner returns the member to which the key is assigned, or false if all are leaving. The member
// must not be changed.
func (a *Assignment) Owner(key uint64) (*Assignee, bool) {
	var best *Assignee
	bestScore := 0.0
	for i := range a.members {
		m := &a.members[i]
		if s := m.score(key); best == nil || s > bestScore {
			best, bestScore = m, s
		}
	}
	return best, best != nil
}

// score returns the member's rendezvous score. The probability that a member has the highest
// score is in proportion to its weight.
func (a *Assignee) score(key uint64) float64 {
	const mantissa = 53 // bits of a float64
	uniform := (float64(score(a.vmHash, key)>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -a.weight / math.Log(uniform)
}

// AssignmentKey returns the key of a name and an index for Assignment.Owner.
func AssignmentKey(name string, index int) uint64 {
	const odd = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return xxhash.Sum64String(name) + uint64(index)*odd
}
