package statemachine

import "chestnutrouter.example/chestnutrouter/internal/tree"

// oracle is the reference model. It computes the expected active values without
// documents: each branch is one limit, and the root also has the quorum.
type oracle struct {
	revision int64
	active   map[tree.Branch]value
	pending  []request
	seen     map[string]bool             // publish ids
	approved map[string]map[string]int64 // proposal -> member -> offset of the approval
	bases    map[string]int64            // member -> revision of its approvals
}

type value struct {
	limit, quorum int
	revision      int64
}

type request struct {
	id      string
	offset  int64
	branch  tree.Branch
	base    int64
	value   value
	approve []string // set in a request for approvals
	member  string
}

func newOracle() *oracle {
	o := &oracle{revision: 1, active: map[tree.Branch]value{"/": {100, 2, 1}}, seen: map[string]bool{}, approved: map[string]map[string]int64{}, bases: map[string]int64{}}
	for _, m := range members {
		o.active[tree.MemberBranch(m)] = value{80, 0, 1}
		o.bases[m] = 1
	}
	return o
}

// apply applies the request and reports whether it is accepted immediately, without
// approvals.
func (o *oracle) apply(r request) bool {
	if o.seen[r.id] {
		return false
	}
	o.seen[r.id] = true
	if r.branch.Level() == tree.LevelApprovals {
		return o.approve(r)
	}
	if r.base != o.active[r.branch].revision || !o.fits(r) {
		return false
	}
	current := o.active[r.branch]
	if r.value.limit == current.limit && r.value.quorum == current.quorum {
		o.activate(r)
		o.closeProposals()
		return true
	}
	count := 0
	for _, p := range o.pending {
		if p.branch == r.branch {
			count++
		}
	}
	if count < maxPending {
		o.pending = append(o.pending, r)
	}
	return false
}

func (o *oracle) approve(r request) bool {
	if r.base != o.bases[r.member] {
		return false
	}
	o.revision++
	o.bases[r.member] = o.revision
	for _, voters := range o.approved {
		delete(voters, r.member)
	}
	for _, id := range r.approve {
		if o.approved[id] == nil {
			o.approved[id] = map[string]int64{}
		}
		o.approved[id][r.member] = r.offset
	}
	o.closeProposals()
	return true
}

// fits reports whether no limit would exceed that of the root.
func (o *oracle) fits(r request) bool {
	if r.branch != tree.Root {
		return r.value.limit <= o.active[tree.Root].limit
	}
	for _, m := range members {
		if o.active[tree.MemberBranch(m)].limit > r.value.limit {
			return false
		}
	}
	return true
}

func (o *oracle) activate(r request) {
	o.revision++
	r.value.revision = o.revision
	o.active[r.branch] = r.value
}

func (o *oracle) closeProposals() {
	for i := 0; i < len(o.pending); i++ {
		p := o.pending[i]
		stale := p.base != o.active[p.branch].revision
		votes := 0
		for _, offset := range o.approved[tree.ProposalID(p.offset)] {
			if offset > p.offset {
				votes++
			}
		}
		if !stale && votes < o.active[tree.Root].quorum {
			continue
		}
		o.pending = append(o.pending[:i:i], o.pending[i+1:]...)
		if !stale && o.fits(p) {
			o.activate(p)
		}
		i = -1 // start over: the change may make an earlier proposal ready
	}
}
