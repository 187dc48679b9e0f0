package statemachine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// maxReceipts is how many publishes are remembered to know second copies.
	maxReceipts = 1024
	// maxSettled is how many settled proposals are remembered for operators.
	maxSettled = 64
	// maxPending is the most pending proposals of one branch.
	maxPending = 8
	// maxPendingBytes is the most content of all pending proposals.
	maxPendingBytes = 1 << 20
	// maxEarlier is how many replaced contents of a branch are remembered.
	maxEarlier = 8
)

// ActiveBranch is one branch as it is in force.
type ActiveBranch struct {
	Branch tree.Branch `json:"branch"`
	// Revision is the tree's revision since which the content is in force.
	Revision int64 `json:"revision"`
	// Offset is the record that brought the content in force: its own, or the
	// approval that completed the quorum.
	Offset    int64  `json:"offset"`
	Publisher string `json:"publisher"`
	PublishID string `json:"publish_id"`
	Content   string `json:"content"`
	// Changes are the values that differ from the revision before, one a line.
	Changes []string `json:"changes,omitempty"`
	// ReplacedDigests are the digests of the contents that were replaced last. They show
	// that a directory is out of date when its content is one of them.
	ReplacedDigests []string `json:"earlier,omitempty"`
}

// Superseded reports whether the content was in force and has been replaced.
func (f ActiveBranch) Superseded(content string) bool {
	return slices.Contains(f.ReplacedDigests, digest(content))
}

// digest returns a short digest of a content.
func digest(content string) string {
	const digestBytes = 6
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:digestBytes])
}

// Proposal is a publish that waits for approvals.
type Proposal struct {
	ID           string      `json:"id"`
	Offset       int64       `json:"offset"`
	Branch       tree.Branch `json:"branch"`
	BaseRevision int64       `json:"base_revision"`
	Content      string      `json:"content,omitempty"`
	Remove       bool        `json:"remove,omitempty"`
	Publisher    string      `json:"publisher"`
	PublishID    string      `json:"publish_id"`
	Changes      []string    `json:"changes,omitempty"`
}

// SkippedVersion says that a state leaves out records of a newer version.
type SkippedVersion struct {
	// Version is the lowest version of those records.
	Version int `json:"version"`
	// Offset is the first record of that version.
	Offset int64 `json:"offset"`
}

// State is the state in force at an offset. It is immutable and safe for
// concurrent use.
type State struct {
	offset    int64
	revision  int64
	branches  map[tree.Branch]ActiveBranch
	docs      tree.Documents
	tree      *tree.Tree
	proposals []Proposal
	settled   []ProposalResult
	receipts  []Receipt
	seats     seat.Table
	lacks     *SkippedVersion
	// hash is computed when it is first asked for.
	hash *lazyHash
}

type lazyHash struct {
	once sync.Once
	text string
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{offset: -1, hash: &lazyHash{}}
}

// Offset returns the highest applied offset, -1 before the first.
func (s *State) Offset() int64 { return s.offset }

// Revision returns the number of accepted changes of the tree.
func (s *State) Revision() int64 { return s.revision }

// Tree returns the effective tree, nil until a root is in force.
func (s *State) Tree() *tree.Tree { return s.tree }

// Seats returns who holds the shares of the voted limits.
func (s *State) Seats() seat.Table { return s.seats }

// Skipped returns which records of a newer version the state leaves out, and
// false where it is whole.
func (s *State) Skipped() (SkippedVersion, bool) {
	if s.lacks == nil {
		return SkippedVersion{}, false
	}
	return *s.lacks, true
}

// Branch returns a branch in force.
func (s *State) Branch(b tree.Branch) (ActiveBranch, bool) {
	f, ok := s.branches[b]
	return f, ok
}

// Branches returns all branches in force, parents before their children.
func (s *State) Branches() []ActiveBranch {
	all := slices.Collect(maps.Values(s.branches))
	slices.SortFunc(all, func(a, b ActiveBranch) int { return cmp.Compare(a.Branch, b.Branch) })
	return all
}

// Documents returns the parsed documents in force. The caller must not change it.
func (s *State) Documents() tree.Documents { return s.docs }

// Proposals returns the pending proposals in order of offset.
func (s *State) Proposals() []Proposal { return slices.Clone(s.proposals) }

// Proposal returns a pending proposal.
func (s *State) Proposal(id string) (Proposal, bool) {
	i := slices.IndexFunc(s.proposals, func(p Proposal) bool { return p.ID == id })
	if i < 0 {
		return Proposal{}, false
	}
	return s.proposals[i], true
}

// ProposalResult returns the end of a proposal that was settled not long ago.
func (s *State) ProposalResult(id string) (ProposalResult, bool) {
	i := slices.IndexFunc(s.settled, func(x ProposalResult) bool { return x.Proposal == id })
	if i < 0 {
		return ProposalResult{}, false
	}
	return s.settled[i], true
}

// Receipt returns what became of a publish that was applied not long ago.
func (s *State) Receipt(publishID string) (Receipt, bool) {
	i := slices.IndexFunc(s.receipts, func(r Receipt) bool { return r.PublishID == publishID })
	if i < 0 {
		return Receipt{}, false
	}
	return s.receipts[i], true
}

// Approvals returns the members in force that approve the proposal, in the
// order of the root. An approval names an earlier record, so that nothing can
// be approved before it was proposed.
func (s *State) Approvals(p Proposal) []string {
	if s.tree == nil {
		return nil
	}
	var approving []string
	for _, member := range s.tree.Members {
		branch := tree.ApprovalsBranch(member)
		doc := s.docs[branch]
		if doc == nil || s.branches[branch].Offset <= p.Offset {
			continue
		}
		if slices.Contains(doc.Approvals.Approve, p.ID) {
			approving = append(approving, member)
		}
	}
	return approving
}

// clone returns a copy to which the record at the offset is applied. Its maps
// and slices are shared and must be replaced, never changed in place.
func (s *State) clone(offset int64) *State {
	next := *s
	next.offset = offset
	next.hash = &lazyHash{}
	return &next
}

// lastOf returns a copy of the last n elements with one more at the end.
func lastOf[T any](n int, all []T, one T) []T {
	start := max(0, len(all)+1-n)
	kept := make([]T, 0, len(all)-start+1)
	kept = append(kept, all[start:]...)
	return append(kept, one)
}
