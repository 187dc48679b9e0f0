package statemachine

import (
	"fmt"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// propose keeps the publish until the members approve it.
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

// checkPending returns why no further proposal is kept, or "". It bounds the
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

// settle ends proposals after a change of the tree, until none is ready: those
// whose branch has moved on are conflicts, and those with a quorum come in
// force in order of offset. The quorum is that of the tree in force, which a
// proposal may change for the next.
func (s *State) settle(offset int64) []ProposalResult {
	var settled []ProposalResult
	for {
		i := slices.IndexFunc(s.proposals, s.ready)
		if i < 0 {
			return settled
		}
		p := s.proposals[i]
		s.proposals = slices.Concat(s.proposals[:i], s.proposals[i+1:])
		end := s.end(offset, p)
		s.settled = lastOf(maxSettled, s.settled, end)
		settled = append(settled, end)
	}
}

func (s *State) ready(p Proposal) bool {
	return s.outdated(p) || len(s.Approvals(p)) >= s.tree.Quorum
}

func (s *State) outdated(p Proposal) bool {
	return p.BaseRevision != s.branches[p.Branch].Revision
}

// end brings a proposal in force or says why not.
func (s *State) end(offset int64, p Proposal) ProposalResult {
	e := ProposalResult{Proposal: p.ID, Branch: p.Branch, Offset: offset}
	if s.outdated(p) {
		e.Outcome = Conflict
		e.Message = conflictMessage(p.BaseRevision, s.branches[p.Branch].Revision)
		return e
	}
	c, findings := s.candidate(p.Branch, p.publish())
	if len(findings) > 0 {
		e.Outcome = Invalid
		e.Message = findings.Error()
		return e
	}
	e.Outcome = Accepted
	e.Revision = s.accept(offset, c)
	return e
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
