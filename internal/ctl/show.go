package ctl

import (
	"context"
	"fmt"
	"strings"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// ShowResult is the result of Show.
type ShowResult struct {
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
	Hash     string `json:"hash"`
	// Branches are the active branches, without their content unless one branch was
	// requested.
	Branches  []statemachine.ActiveBranch `json:"branches"`
	Proposals []PendingProposal           `json:"proposals"`

	withContent bool
}

// PendingProposal is a proposal with the members that approve it and the number of
// approvals that it needs.
type PendingProposal struct {
	statemachine.Proposal
	Approvals []string `json:"approvals"`
	Quorum    int      `json:"quorum"`
}

func (r *ShowResult) text() []string {
	if r.withContent {
		active := r.Branches[0]
		header := fmt.Sprintf("// %s revision %d, in force since offset %d, published by %s", active.Branch, active.Revision, active.Offset, active.Publisher)
		return []string{header, strings.TrimSuffix(active.Content, "\n")}
	}
	lines := []string{fmt.Sprintf("offset %d, revision %d, hash %.12s", r.Offset, r.Revision, r.Hash)}
	for _, active := range r.Branches {
		lines = append(lines, fmt.Sprintf("%s revision %d, offset %d, by %s", active.Branch, active.Revision, active.Offset, active.Publisher))
	}
	for _, p := range r.Proposals {
		lines = append(lines, fmt.Sprintf("pending %s on %s by %s: approved by %d of %d %v", p.ID, p.Branch, p.Publisher, len(p.Approvals), p.Quorum, p.Approvals))
		for _, change := range p.Changes {
			lines = append(lines, "  "+change)
		}
	}
	return lines
}

// Show returns all active branches without their content, or one with its content.
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
		active, ok := s.Branch(branch)
		if !ok {
			return nil, &RefusedError{Detail: fmt.Sprintf("branch %s is not in force", branch)}
		}
		result.Branches = append(result.Branches, active)
		result.withContent = true
		return result, nil
	}
	for _, active := range s.Branches() {
		active.Content = ""
		result.Branches = append(result.Branches, active)
	}
	return result, nil
}

// HistoryResult is the result of History.
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

// History returns the decision on each record that the log retains. If branch is
// set, it returns only records that published to that branch or closed a proposal
// on it.
func (c *Client) History(ctx context.Context, branch tree.Branch) (*HistoryResult, error) {
	r, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	result := &HistoryResult{Decisions: []statemachine.Decision{}}
	for _, d := range r.decisions {
		if branch == "" || affects(d, branch) {
			result.Decisions = append(result.Decisions, d)
		}
	}
	return result, nil
}

// affects reports whether the decision is on a publish to the branch or closed a
// proposal on it.
func affects(d statemachine.Decision, branch tree.Branch) bool {
	for _, s := range d.Closed {
		if s.Branch == branch {
			return true
		}
	}
	return d.Branch == branch
}
