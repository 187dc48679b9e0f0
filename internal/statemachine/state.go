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
	// maxReceipts is how many receipts are kept to detect duplicate publishes.
	maxReceipts = 1024
	// maxClosedProposals is how many results of proposals are kept for operators.
	maxClosedProposals = 64
	// maxPending bounds the pending proposals of one branch.
	maxPending = 8
	// maxPendingBytes bounds the content of all pending proposals, in bytes.
	maxPendingBytes = 1 << 20
	// maxReplacedDigests is how many digests of replaced contents a branch keeps.
	maxReplacedDigests = 8
)

// ActiveBranch is one branch as it is currently active.
type ActiveBranch struct {
	Branch tree.Branch `json:"branch"`
	// Revision is the tree revision since which the content has been active.
	Revision int64 `json:"revision"`
	// Offset is the offset of the record that activated the content: its own
	// publish, or the approval that completed the quorum.
	Offset    int64  `json:"offset"`
	Publisher string `json:"publisher"`
	PublishID string `json:"publish_id"`
	Content   string `json:"content"`
	// Changes lists the values that differ from the previous content, one per line.
	Changes []string `json:"changes,omitempty"`
	// ReplacedDigests holds the digests of the last replaced contents. An operator's
	// working copy whose content is among them is out of date.
	ReplacedDigests []string `json:"earlier,omitempty"`
}

// Superseded reports whether the content was active once and has been replaced.
func (a ActiveBranch) Superseded(content string) bool {
	return slices.Contains(a.ReplacedDigests, digest(content))
}

// digest returns a short digest of a content.
func digest(content string) string {
	const digestBytes = 6
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:digestBytes])
}

// Proposal is a publish that is pending until enough members approve it.
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

// SkippedVersion describes the records of a newer version that a state skipped.
type SkippedVersion struct {
	// Version is the lowest version of those records.
	Version int `json:"version"`
	// Offset is the offset of the first record of that version.
	Offset int64 `json:"offset"`
}

// State is the result of applying all records up to an offset. It is immutable
// and safe for concurrent use.
type State struct {
	offset    int64
	revision  int64
	branches  map[tree.Branch]ActiveBranch
	docs      tree.Documents
	tree      *tree.Tree
	proposals []Proposal
	closed    []ProposalResult
	receipts  []Receipt
	seats     seat.Table
	skipped   *SkippedVersion
	// hash is computed on first use.
	hash *lazyHash
}

type lazyHash struct {
	once sync.Once
	hex  string
}

// Empty returns the state before the first record.
func Empty() *State {
	return &State{offset: -1, hash: &lazyHash{}}
}

// Offset returns the highest applied offset, -1 before the first.
func (s *State) Offset() int64 { return s.offset }

// Revision returns the number of accepted changes of the tree.
func (s *State) Revision() int64 { return s.revision }

// Tree returns the effective tree, nil until a root is active.
func (s *State) Tree() *tree.Tree { return s.tree }

// Seats returns the holders of the seats, which are shares of the global limits.
func (s *State) Seats() seat.Table { return s.seats }

// Skipped returns the version of the records that the state skipped because they
// are newer than this program, and false if it skipped none.
func (s *State) Skipped() (SkippedVersion, bool) {
	if s.skipped == nil {
		return SkippedVersion{}, false
	}
	return *s.skipped, true
}

// Branch returns an active branch, and false if the branch is not active.
func (s *State) Branch(b tree.Branch) (ActiveBranch, bool) {
	active, ok := s.branches[b]
	return active, ok
}

// Branches returns all active branches, parents before their children.
func (s *State) Branches() []ActiveBranch {
	all := slices.Collect(maps.Values(s.branches))
	slices.SortFunc(all, func(a, b ActiveBranch) int { return cmp.Compare(a.Branch, b.Branch) })
	return all
}

// Documents returns the active documents, parsed. The caller must not change the map.
func (s *State) Documents() tree.Documents { return s.docs }

// Proposals returns the pending proposals in order of offset.
func (s *State) Proposals() []Proposal { return slices.Clone(s.proposals) }

// Proposal returns a pending proposal, and false if there is none of that id.
func (s *State) Proposal(id string) (Proposal, bool) {
	i := slices.IndexFunc(s.proposals, func(p Proposal) bool { return p.ID == id })
	if i < 0 {
		return Proposal{}, false
	}
	return s.proposals[i], true
}

// ProposalResult returns the result of a recently closed proposal. Only the last
// maxClosedProposals results are kept.
func (s *State) ProposalResult(id string) (ProposalResult, bool) {
	i := slices.IndexFunc(s.closed, func(result ProposalResult) bool { return result.Proposal == id })
	if i < 0 {
		return ProposalResult{}, false
	}
	return s.closed[i], true
}

// Receipt returns the receipt of a recently applied publish. Only the last
// maxReceipts receipts are kept.
func (s *State) Receipt(publishID string) (Receipt, bool) {
	i := slices.IndexFunc(s.receipts, func(r Receipt) bool { return r.PublishID == publishID })
	if i < 0 {
		return Receipt{}, false
	}
	return s.receipts[i], true
}

// Approvals returns the active members that approve the proposal, in the order of
// the root. An approval counts only if it was published after the proposal, so
// that nothing can be approved in advance.
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

// clone returns a copy at another offset, to which a record can be applied. The
// copy shares its maps and slices with s; replace them, never change them in place.
func (s *State) clone(offset int64) *State {
	next := *s
	next.offset = offset
	next.hash = &lazyHash{}
	return &next
}

// appendBounded returns a copy of all with the item appended, bounded to the last
// n elements.
func appendBounded[T any](n int, all []T, item T) []T {
	start := max(0, len(all)+1-n)
	kept := make([]T, 0, len(all)-start+1)
	kept = append(kept, all[start:]...)
	return append(kept, item)
}
