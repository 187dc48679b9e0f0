package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var members = []string{"a", "b", "c"}

// entry is a process that applies the log independently. It loses its state when
// it is replaced.
type entry struct{ state *State }

// machine is the rapid state machine: a log with several operators and entries.
type machine struct {
	log      history
	oracle   *oracle
	oldest   int64 // oldest offset that has not expired
	snapshot []byte
	entries  []*entry
	hashes   map[int64]string  // state hash by offset
	sent     []json.RawMessage // published records, of which copies may still arrive
	requests []request
	views    []int64  // offset up to which each operator has read
	states   []*State // state by offset
}

func newMachine(t *testing.T) *machine {
	m := &machine{log: *newHistory(), oracle: newOracle(), hashes: map[int64]string{}, views: make([]int64, 3)}
	m.log.publishInitialTree(t, 2)
	m.states = []*State{m.log.state}
	for range 3 {
		m.entries = append(m.entries, &entry{state: Empty()})
	}
	return m
}

// append adds a record and compares its decision with the oracle's on the request.
// A nil request is a record that has no effect.
func (m *machine) append(t *rapid.T, data json.RawMessage, r *request) {
	before := m.log.state
	d := m.log.add(data)
	m.states = append(m.states, m.log.state)
	if r == nil {
		return
	}
	r.offset = d.Offset
	if accepted := m.oracle.apply(*r); accepted != (d.Outcome == Accepted) {
		t.Fatalf("accepted is %v by the oracle, but the decision is %s", accepted, d)
	}
	if d.Outcome == Accepted && d.Revision <= before.Revision() {
		t.Fatalf("accepted record has revision %d, not higher than %d before", d.Revision, before.Revision())
	}
}

// publish appends a publish that is based on an operator's possibly outdated view,
// and keeps the record for later copies.
func (m *machine) publish(t *rapid.T, r request, content, publisher string) {
	r.id = fmt.Sprintf("op-%d", len(m.requests))
	record := NewPublish(Publish{Branch: string(r.branch), BaseRevision: r.base, Content: content, Publisher: publisher, PublishID: r.id})
	data := encode(record)
	m.requests = append(m.requests, r)
	m.sent = append(m.sent, data)
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return // the request is lost; a copy may still arrive
	}
	m.append(t, data, &r)
}

// view returns the state that a random operator has read last; often the operator
// first reads to the end of the log.
func (m *machine) view(t *rapid.T) *State {
	i := rapid.IntRange(0, len(m.views)-1).Draw(t, "operator")
	if rapid.IntRange(0, 2).Draw(t, "read") > 0 {
		m.views[i] = m.log.state.Offset()
	}
	return m.states[m.views[i]]
}

func (m *machine) PublishLimit(t *rapid.T) {
	view := m.view(t)
	branch := rapid.SampledFrom([]tree.Branch{"/", "/a", "/b"}).Draw(t, "branch")
	limit := rapid.SampledFrom([]int{60, 70, 80, 90, 100}).Draw(t, "limit")
	active, _ := view.Branch(branch)
	r := request{branch: branch, base: active.Revision, value: value{limit: limit}}
	if branch == tree.Root {
		r.value.quorum = rapid.IntRange(1, 3).Draw(t, "quorum")
		m.publish(t, r, rootText(r.value.quorum, limit), "c")
		return
	}
	m.publish(t, r, limitText(limit), branch.Name())
}

func (m *machine) Approve(t *rapid.T) {
	view := m.view(t)
	member := rapid.SampledFrom(members).Draw(t, "member")
	branch := tree.ApprovalsBranch(member)
	active, _ := view.Branch(branch)
	r := request{branch: branch, base: active.Revision, member: member}
	for _, p := range view.Proposals() {
		if rapid.IntRange(0, 3).Draw(t, "yes") > 0 {
			r.approve = append(r.approve, p.ID)
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "in advance") == 0 {
		r.approve = append(r.approve, tree.ProposalID(m.log.state.Offset()+2))
	}
	m.publish(t, r, approvals(r.approve...), member)
}

func (m *machine) Copy(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	i := rapid.IntRange(0, len(m.sent)-1).Draw(t, "copy")
	r := m.requests[i]
	m.append(t, m.sent[i], &r)
}

func (m *machine) Noise(t *rapid.T) {
	text := rapid.SampledFrom([]string{`{"version":7,"kind":"publish"}`, `{"version":1,"kind":"merge"}`, `[1`, `{"version":1,"kind":"publish","publish":{"branch":"/x"}}`}).Draw(t, "noise")
	m.append(t, json.RawMessage(text), nil)
}

// Follow lets an entry apply some records. An entry whose next record has expired
// restores the snapshot first.
func (m *machine) Follow(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	if e.state.Offset()+1 < m.oldest {
		m.setState(t, e, m.restored(t))
	}
	upTo := rapid.Int64Range(e.state.Offset(), m.log.state.Offset()).Draw(t, "up to")
	for offset := e.state.Offset() + 1; offset <= upTo; offset++ {
		next, _ := e.state.Apply(offset, m.log.records[offset])
		m.setState(t, e, next)
	}
}

func (m *machine) FollowPeer(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	peer := rapid.SampledFrom(m.entries).Draw(t, "peer")
	if peer.state.Offset() > e.state.Offset() {
		m.setState(t, e, peer.state)
	}
}

func (m *machine) Reapply(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	offset := rapid.Int64Range(0, m.log.state.Offset()).Draw(t, "offset")
	if next, _ := e.state.Apply(offset, m.log.records[offset]); offset <= e.state.Offset() && next != e.state {
		t.Fatalf("record at offset %d was applied twice", offset)
	}
}

func (m *machine) Snapshot(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	if e.state.Offset() < m.oldest {
		t.Skip("older than the log")
	}
	data, err := json.Marshal(e.state)
	if err != nil {
		t.Fatal(err)
	}
	m.snapshot = data
	m.oldest = rapid.Int64Range(m.oldest, e.state.Offset()+1).Draw(t, "oldest")
}

func (m *machine) Replace(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	e.state = Empty()
}

func (m *machine) restored(t *rapid.T) *State {
	s, err := Restore(m.snapshot)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// setState replaces the state of an entry. It checks that the offset does not fall
// and that all entries have the same state at an offset.
func (m *machine) setState(t *rapid.T, e *entry, next *State) {
	if next.Offset() < e.state.Offset() {
		t.Fatalf("offset went back from %d to %d", e.state.Offset(), next.Offset())
	}
	e.state = next
	if known, ok := m.hashes[next.Offset()]; ok && known != next.Hash() {
		t.Fatalf("two different states at offset %d", next.Offset())
	}
	m.hashes[next.Offset()] = next.Hash()
}

// Check compares the state at the end of the log with the oracle.
func (m *machine) Check(t *rapid.T) {
	s := m.log.state
	m.setState(t, &entry{state: Empty()}, s)
	if s.Revision() != m.oracle.revision || len(s.Proposals()) != len(m.oracle.pending) {
		t.Fatalf("revision %d and %d pending proposals, want %d and %d", s.Revision(), len(s.Proposals()), m.oracle.revision, len(m.oracle.pending))
	}
	root := m.oracle.active[tree.Root]
	if s.Tree().Quorum != root.quorum {
		t.Fatalf("quorum %d, want %d", s.Tree().Quorum, root.quorum)
	}
	for _, l := range s.Tree().Limits {
		branch := tree.Root
		if l.Scope.Member != "" {
			branch = tree.MemberBranch(l.Scope.Member)
		}
		if l.CallsPerSecond != m.oracle.active[branch].limit || l.CallsPerSecond > root.limit {
			t.Fatalf("%s has limit %d, want %d", branch, l.CallsPerSecond, m.oracle.active[branch].limit)
		}
	}
}

func TestFoldAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t)
		rt.Repeat(rapid.StateMachineActions(m))
	})
}
