package statemachine

import (
	"fmt"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// propose records the publish as a pending proposal until a quorum of the members
// approves it.
func (s *State) propose(d *Decision, p Publish) {
	if message := s.checkPending(d.Branch, p); message != "" {
		d.Outcome = Conflict
		d.Winner = s.winner(d.Branch)
		d.Message = message
		return
	}
	d.Outcome = Proposed
	d.Proposal = tree.ProposalID(d.Offset)
	d.Message = fmt.Sprintf("waits for the approval of %d members", s.tree.Quorum)
	s.proposals = append(slices.Clone(s.proposals), Proposal{
		ID:           d.Proposal,
		Offset:       d.Offset,
		Branch:       d.Branch,
		BaseRevision: p.BaseRevision,
		Content:      p.Content,
		Remove:       p.Remove,
		Publisher:    p.Publisher,
		PublishID:    p.PublishID,
		Changes:      d.Changes,
	})
}

// checkPending returns why no further proposal is accepted, or "". It bounds the
// size of the state.
func (s *State) checkPending(b tree.Branch, p Publish) string {
	pending, bytes := 0, len(p.Content)
	for _, other := range s.proposals {
		bytes += len(other.Content)
		if other.Branch == b {
			pending++
		}
	}
	switch {
	case pending >= maxPending:
		return fmt.Sprintf("%d proposals are pending on %s", pending, b)
	case bytes > maxPendingBytes:
		return fmt.Sprintf("pending proposals would hold more than %d bytes", maxPendingBytes)
	default:
		return ""
	}
}

// closeProposals closes proposals after a change of the tree, until none is ready.
// Proposals whose branch has changed meanwhile end as conflicts; those with a
// quorum are accepted in order of offset. The quorum is that of the active tree,
// so one accepted proposal may change the quorum for the next.
func (s *State) closeProposals(offset int64) []ProposalResult {
	var closed []ProposalResult
	for {
		i := slices.IndexFunc(s.proposals, s.ready)
		if i < 0 {
			return closed
		}
		p := s.proposals[i]
		s.proposals = slices.Concat(s.proposals[:i], s.proposals[i+1:])
		result := s.closeProposal(offset, p)
		s.closed = appendBounded(maxClosedProposals, s.closed, result)
		closed = append(closed, result)
	}
}

// ready reports whether the proposal is outdated or has its quorum.
func (s *State) ready(p Proposal) bool {
	return s.outdated(p) || len(s.Approvals(p)) >= s.tree.Quorum
}

// outdated reports whether the branch has changed since the proposal's base revision.
func (s *State) outdated(p Proposal) bool {
	return p.BaseRevision != s.branches[p.Branch].Revision
}

// closeProposal accepts a proposal or returns why it cannot be accepted.
func (s *State) closeProposal(offset int64, p Proposal) ProposalResult {
	result := ProposalResult{Proposal: p.ID, Branch: p.Branch, Offset: offset}
	if s.outdated(p) {
		result.Outcome = Conflict
		result.Message = conflictMessage(p.BaseRevision, s.branches[p.Branch].Revision)
		return result
	}
	c, findings := s.candidate(p.Branch, p.publish())
	if len(findings) > 0 {
		result.Outcome = Invalid
		result.Message = findings.Error()
		return result
	}
	result.Outcome = Accepted
	result.Revision = s.accept(offset, c)
	return result
}

func (p Proposal) publish() Publish {
	return Publish{
		Branch:       string(p.Branch),
		BaseRevision: p.BaseRevision,
		Content:      p.Content,
		Remove:       p.Remove,
		Publisher:    p.Publisher,
		PublishID:    p.PublishID,
	}
}
