package ctl

import (
	"context"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// PublishOptions are the options of Publish.
type PublishOptions struct {
	// Directory is the directory of branches.
	Directory string
	// Branch is the only branch to publish; empty publishes all that differ.
	Branch tree.Branch
	// Base is the revision of Branch that the change was made from; -1 means the
	// active one.
	Base int64
	// Wait waits until votes have passed and all live entries report the offset.
	Wait bool
	// DryRun returns the differences and publishes nothing.
	DryRun bool
	// Remove removes branches that are missing from the directory.
	Remove bool
}

// PublishResult is the result of Publish and Approve.
type PublishResult struct {
	Findings finding.List `json:"findings,omitempty"`
	Changes  []Change     `json:"changes"`
	// OnlyInForce are active branches that are missing from the directory and were
	// not removed.
	OnlyInForce []tree.Branch `json:"only_in_force,omitempty"`
	// Pending are changes that are already proposed and wait for a vote.
	Pending []Change `json:"pending,omitempty"`
	// Foreign are branches of other members that differ and were not published.
	Foreign []tree.Branch `json:"foreign,omitempty"`
	// Outdated are changes that were not published, as they would restore a
	// superseded content.
	Outdated []Change `json:"outdated,omitempty"`
	// Blocked are the findings of changes that are invalid until others are active.
	Blocked   finding.List            `json:"blocked,omitempty"`
	Decisions []statemachine.Decision `json:"decisions,omitempty"`
	// Votes are the results of the proposals that were waited for.
	Votes []statemachine.ProposalResult `json:"votes,omitempty"`
	// Offset is the offset of the state after the last decision.
	Offset  int64         `json:"offset"`
	Entries []EntryStatus `json:"entries,omitempty"`
}

func (r *PublishResult) text() []string {
	lines := r.differenceText()
	if len(lines) == 0 {
		lines = append(lines, "nothing differs from what is in force")
	}
	for _, d := range r.Decisions {
		lines = append(lines, decisionText(d)...)
	}
	for _, v := range r.Votes {
		lines = append(lines, proposalResultText(v))
	}
	return append(lines, entryText(r.Entries)...)
}

// differenceText describes the differences and which of them are not published.
func (r *PublishResult) differenceText() []string {
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, f.String())
	}
	for _, c := range r.Changes {
		lines = append(lines, c.text()...)
	}
	for _, c := range r.Pending {
		lines = append(lines, fmt.Sprintf("already proposed: %s waits for a vote as %s", c.Branch, c.Pending))
	}
	for _, b := range r.Foreign {
		lines = append(lines, fmt.Sprintf("not published: %s differs and belongs to %s", b, b.Member()))
	}
	for _, b := range r.OnlyInForce {
		lines = append(lines, fmt.Sprintf("only in force: %s (--remove takes it out)", b))
	}
	for _, c := range r.Outdated {
		lines = append(lines, fmt.Sprintf("out of date: %s holds a content that revision %d replaced; update the directory, or go back on purpose with --branch %s --base %d",
			c.Branch, c.BaseRevision, c.Branch, c.BaseRevision))
	}
	for _, f := range r.Blocked {
		lines = append(lines, "blocked until other changes are in force: "+f.String())
	}
	return lines
}

// Publish publishes the branches of the directory that differ from the active
// ones. The result is nil if the log could not be read.
func (c *Client) Publish(ctx context.Context, o PublishOptions) (*PublishResult, error) {
	docs, checked := checkDirectory(o.Directory)
	if len(checked.Findings) > 0 {
		return refuseFindings(checked.Findings)
	}
	r, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	initial := r.state.Tree() == nil
	if initial && o.Branch != "" {
		return nil, &RefusedError{Detail: "no tree is in force: the first publish brings the whole directory, so leave --branch out"}
	}
	if checked.Partial {
		if _, findings := tree.Build(r.state.Documents().Merge(docs)); len(findings) > 0 {
			return refuseFindings(findings)
		}
	}
	p := newPlan(docs, r.state, statemachine.PublisherMember(c.Publisher), o)
	result := p.result(r.state.Offset())
	if o.DryRun {
		return result, p.err()
	}
	if err := c.publishAll(ctx, r, p.publishes(initial, c.Publisher), result); err != nil {
		return result, err
	}
	if err := p.err(); err != nil {
		return result, err
	}
	if o.Wait {
		err = c.await(ctx, r, result)
	}
	return result, err
}

func refuseFindings(findings finding.List) (*PublishResult, error) {
	return &PublishResult{Findings: findings, Changes: []Change{}}, &RefusedError{Detail: fmt.Sprintf("%d findings", len(findings))}
}

// publishAll submits the publishes one after the other. It continues after a
// refused one, as branches are independent.
func (c *Client) publishAll(ctx context.Context, r *logReplayer, all []statemachine.Publish, result *PublishResult) error {
	refused := 0
	for _, p := range all {
		d, err := c.submit(ctx, r, p)
		if err != nil {
			return err
		}
		result.Decisions = append(result.Decisions, d)
		result.Offset = max(result.Offset, d.Offset)
		if !succeeded(d) {
			refused++
		}
	}
	if refused > 0 {
		return &RefusedError{Detail: fmt.Sprintf("%d of %d publishes", refused, len(all))}
	}
	return nil
}

func succeeded(d statemachine.Decision) bool {
	return d.Outcome == statemachine.Accepted || d.Outcome == statemachine.Proposed
}
