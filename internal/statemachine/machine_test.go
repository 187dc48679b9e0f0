package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

var members = []string{"a", "b", "c"}

// entry is a process that folds the log on its own. It keeps nothing when it
// is replaced.
type entry struct{ state *State }

// machine is a log with several operators and entries.
type machine struct {
	log      history
	oracle   *oracle
	oldest   int64 // records before it have expired
	snapshot []byte
	entries  []*entry
	hashes   map[int64]string
	sent     []json.RawMessage // records whose copies may still come
	requests []request
	views    []int64 // offsets up to which operators have read
	states   []*State
}

func newMachine(t *testing.T) *machine {
	m := &machine{log: *newHistory(), oracle: newOracle(), hashes: map[int64]string{}, views: make([]int64, 3)}
	m.log.found(t, 2)
	m.states = []*State{m.log.state}
	for range 3 {
		m.entries = append(m.entries, &entry{state: Empty()})
	}
	return m
}

// append adds a record, which the oracle sees as the request.
func (m *machine) append(t *rapid.T, data json.RawMessage, r *request) {
	before := m.log.state
	d := m.log.add(data)
	m.states = append(m.states, m.log.state)
	if r == nil {
		return
	}
	r.offset = d.Offset
	if accepted := m.oracle.apply(*r); accepted != (d.Outcome == Accepted) {
		t.Fatalf("accepted %v by the oracle, decision %s", accepted, d)
	}
	if d.Outcome == Accepted && d.Revision <= before.Revision() {
		t.Fatalf("revision %d after %d", d.Revision, before.Revision())
	}
}

// publish appends a publish based on what one operator has read, which may be
// old, and keeps the record for later copies.
func (m *machine) publish(t *rapid.T, r request, content, publisher string) {
	r.id = fmt.Sprintf("op-%d", len(m.requests))
	record := NewPublish(Publish{Branch: string(r.branch), BaseRevision: r.base, Content: content, Publisher: publisher, PublishID: r.id})
	data := encode(record)
	m.requests = append(m.requests, r)
	m.sent = append(m.sent, data)
	if rapid.IntRange(0, 9).Draw(t, "lost") == 0 {
		return // the request was lost on its way; a copy may still come
	}
	m.append(t, data, &r)
}

// view returns the state that an operator last read, and sometimes reads anew.
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
	f, _ := view.Branch(branch)
	r := request{branch: branch, base: f.Revision, value: value{limit: limit}}
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
	f, _ := view.Branch(branch)
	r := request{branch: branch, base: f.Revision, member: member}
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

// Follow lets an entry read some records; one that is behind the oldest kept
// record starts from the snapshot.
func (m *machine) Follow(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	if e.state.Offset()+1 < m.oldest {
		m.take(t, e, m.restored(t))
	}
	upTo := rapid.Int64Range(e.state.Offset(), m.log.state.Offset()).Draw(t, "up to")
	for offset := e.state.Offset() + 1; offset <= upTo; offset++ {
		next, _ := e.state.Apply(offset, m.log.records[offset])
		m.take(t, e, next)
	}
}

func (m *machine) FollowPeer(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	peer := rapid.SampledFrom(m.entries).Draw(t, "peer")
	if peer.state.Offset() > e.state.Offset() {
		m.take(t, e, peer.state)
	}
}

func (m *machine) Reapply(t *rapid.T) {
	e := rapid.SampledFrom(m.entries).Draw(t, "entry")
	offset := rapid.Int64Range(0, m.log.state.Offset()).Draw(t, "offset")
	if next, _ := e.state.Apply(offset, m.log.records[offset]); offset <= e.state.Offset() && next != e.state {
		t.Fatalf("offset %d was applied twice", offset)
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

// take swaps the state of an entry.
func (m *machine) take(t *rapid.T, e *entry, next *State) {
	if next.Offset() < e.state.Offset() {
		t.Fatalf("offset fell from %d to %d", e.state.Offset(), next.Offset())
	}
	e.state = next
	if known, ok := m.hashes[next.Offset()]; ok && known != next.Hash() {
		t.Fatalf("two states at offset %d", next.Offset())
	}
	m.hashes[next.Offset()] = next.Hash()
}

// Check compares the head of the log with the oracle.
func (m *machine) Check(t *rapid.T) {
	s := m.log.state
	m.take(t, &entry{state: Empty()}, s)
	if s.Revision() != m.oracle.revision || len(s.Proposals()) != len(m.oracle.pending) {
		t.Fatalf("revision %d and %d pending, want %d and %d", s.Revision(), len(s.Proposals()), m.oracle.revision, len(m.oracle.pending))
	}
	root := m.oracle.inForce[tree.Root]
	if s.Tree().Quorum != root.quorum {
		t.Fatalf("quorum %d, want %d", s.Tree().Quorum, root.quorum)
	}
	for _, l := range s.Tree().Limits {
		branch := tree.Root
		if l.Scope.Member != "" {
			branch = tree.MemberBranch(l.Scope.Member)
		}
		if l.CallsPerSecond != m.oracle.inForce[branch].limit || l.CallsPerSecond > root.limit {
			t.Fatalf("%s has limit %d, want %d", branch, l.CallsPerSecond, m.oracle.inForce[branch].limit)
		}
	}
}

func TestFoldAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(t)
		rt.Repeat(rapid.StateMachineActions(m))
	})
}
