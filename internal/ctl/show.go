package ctl

import (
	"context"
	"fmt"
	"strings"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// ShowResult is the answer of Show.
type ShowResult struct {
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	// Branches are in force; without content unless one branch was asked for.
	Branches  []statemachine.ActiveBranch `json:"branches"`
	Proposals []PendingProposal           `json:"proposals"`

	withContent bool
}

// PendingProposal is a proposal and who approves it.
type PendingProposal struct {
	statemachine.Proposal
	Approvals []string `json:"approvals"`
	Quorum    int      `json:"quorum"`
}

func (r *ShowResult) text() []string {
	if r.withContent {
		f := r.Branches[0]
		head := fmt.Sprintf("// %s revision %d, in force since offset %d, published by %s", f.Branch, f.Revision, f.Offset, f.Publisher)
		return []string{head, strings.TrimSuffix(f.Content, "\n")}
	}
	lines := []string{fmt.Sprintf("offset %d, revision %d, hash %.12s", r.Offset, r.Revision, r.Hash)}
	for _, f := range r.Branches {
		lines = append(lines, fmt.Sprintf("%s revision %d, offset %d, by %s", f.Branch, f.Revision, f.Offset, f.Publisher))
	}
	for _, p := range r.Proposals {
		lines = append(lines, fmt.Sprintf("pending %s on %s by %s: approved by %d of %d %v", p.ID, p.Branch, p.Publisher, len(p.Approvals), p.Quorum, p.Approvals))
		for _, change := range p.Changes {
			lines = append(lines, "  "+change)
		}
	}
	return lines
}

// Show returns what is in force, for one branch with its content.
func (c *Client) Show(ctx context.Context, branch tree.Branch) (*ShowResult, error) {
	r, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	s := r.state
	result := &ShowResult{Offset: s.Offset(), Revision: s.Revision(), Hash: s.Hash(), Branches: []statemachine.ActiveBranch{}, Proposals: []PendingProposal{}}
	for _, p := range s.Proposals() {
		if branch == "" || p.Branch == branch {
			result.Proposals = append(result.Proposals, PendingProposal{Proposal: p, Approvals: s.Approvals(p), Quorum: s.Tree().Quorum})
		}
	}
	if branch != "" {
		f, ok := s.Branch(branch)
		if !ok {
			return nil, &RefusedError{Detail: fmt.Sprintf("branch %s is not in force", branch)}
		}
		result.Branches = append(result.Branches, f)
		result.withContent = true
		return result, nil
	}
	for _, f := range s.Branches() {
		f.Content = ""
		result.Branches = append(result.Branches, f)
	}
	return result, nil
}

// HistoryResult is the answer of History.
type HistoryResult struct {
	Decisions []statemachine.Decision `json:"decisions"`
}

func (r *HistoryResult) text() []string {
	var lines []string
	for _, d := range r.Decisions {
		lines = append(lines, decisionText(d)...)
	}
	return lines
}

// History returns what became of each record that the log keeps, or of those
// that published or settled one branch.
func (c *Client) History(ctx context.Context, branch tree.Branch) (*HistoryResult, error) {
	r, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	result := &HistoryResult{Decisions: []statemachine.Decision{}}
	for _, d := range r.decisions {
		if branch == "" || concerns(d, branch) {
			result.Decisions = append(result.Decisions, d)
		}
	}
	return result, nil
}

func concerns(d statemachine.Decision, branch tree.Branch) bool {
	for _, s := range d.Closed {
		if s.Branch == branch {
			return true
		}
	}
	return d.Branch == branch
}
