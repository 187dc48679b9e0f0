package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/tailscale/hujson"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Approve publishes the approval of a pending proposal to the approvals branch of
// the publisher's member. If directory is set, the approval is also written to the
// branch's file there. If wait is set, it waits until the vote is over and all live
// entries report the new offset.
func (c *Client) Approve(ctx context.Context, id, directory string, wait bool) (*PublishResult, error) {
	if _, err := tree.ParseProposalID(id); err != nil {
		return nil, &UsageError{Detail: err.Error()}
	}
	r, err := c.load(ctx)
	if err != nil {
		return nil, err
	}
	result := &PublishResult{Offset: r.state.Offset(), Changes: []Change{}}
	content, err := c.addApproval(ctx, r, id, result)
	if err != nil {
		return result, err
	}
	if directory != "" {
		branch := tree.ApprovalsBranch(statemachine.PublisherMember(c.Publisher))
		if err := writeBranch(directory, branch, content); err != nil {
			return result, err
		}
	}
	if wait {
		return result, c.await(ctx, r, result)
	}
	return result, nil
}

// addApproval publishes the member's approvals with one added and returns their
// content. If another operator of the member published first, it adds the approval
// to the new content, as the two approvals don't exclude each other.
func (c *Client) addApproval(ctx context.Context, r *logReplayer, id string, result *PublishResult) (string, error) {
	member := statemachine.PublisherMember(c.Publisher)
	for {
		p, pending := r.state.Proposal(id)
		if !pending {
			return "", notPendingError(r.state, id)
		}
		if slices.Contains(r.state.Approvals(p), member) {
			return "", &RefusedError{Detail: fmt.Sprintf("%s already approves %s", member, id)}
		}
		publish, change, err := approval(r.state, member, id)
		if err != nil {
			return "", err
		}
		publish.Publisher = c.Publisher
		result.Changes = []Change{change}
		err = c.publishAll(ctx, r, []statemachine.Publish{publish}, result)
		last := len(result.Decisions) - 1
		if last < 0 || result.Decisions[last].Outcome != statemachine.Conflict {
			return publish.Content, err
		}
	}
}

func notPendingError(state *statemachine.State, id string) error {
	if vote, closed := state.ProposalResult(id); closed {
		return &RefusedError{Detail: proposalResultText(vote)}
	}
	return &RefusedError{Detail: fmt.Sprintf("no proposal %s is pending", id)}
}

// approval returns the publish that adds the id to the member's approvals.
func approval(state *statemachine.State, member, id string) (statemachine.Publish, Change, error) {
	branch := tree.ApprovalsBranch(member)
	current, _ := state.Branch(branch)
	ids := []string{id}
	if doc := state.Documents()[branch]; doc != nil {
		ids = append(slices.Clone(doc.Approvals.Approve), id)
	}
	content, err := withApprovals(current.Content, ids)
	if err != nil {
		return statemachine.Publish{}, Change{}, err
	}
	publish := statemachine.Publish{
		Branch:       string(branch),
		BaseRevision: current.Revision,
		Content:      content,
		PublishID:    newPublishID(),
	}
	change := Change{Branch: branch, BaseRevision: current.Revision, Changes: []string{"approve " + id}}
	return publish, change, nil
}

// withApprovals returns the content with the list of approvals replaced. Comments
// around the list are preserved.
func withApprovals(content string, ids []string) (string, error) {
	if content == "" {
		content = "{\n  \"approve\": []\n}\n"
	}
	value, err := hujson.Parse([]byte(content))
	if err != nil {
		return "", fmt.Errorf("parse approvals: %w", err)
	}
	list, err := json.Marshal(ids)
	if err != nil {
		return "", err
	}
	patch := fmt.Sprintf(`[{"op": "replace", "path": "/approve", "value": %s}]`, list)
	if err := value.Patch([]byte(patch)); err != nil {
		return "", fmt.Errorf("add approval: %w", err)
	}
	value.Format()
	return value.String(), nil
}

func writeBranch(directory string, branch tree.Branch, content string) error {
	file := filepath.Join(directory, filepath.FromSlash(branch.File()))
	const dirMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(filepath.Dir(file), dirMode); err != nil {
		return err
	}
	return os.WriteFile(file, []byte(content), fileMode)
}
