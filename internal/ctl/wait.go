package ctl

import (
	"context"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// await waits until the votes on the result's proposals are over and all live
// entries report the result's offset. It returns a *RefusedError if a proposal did
// not pass.
func (c *Client) await(ctx context.Context, r *logReplayer, result *PublishResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for _, id := range result.proposals() {
		vote, err := c.awaitVote(ctx, r, id)
		if err != nil {
			return err
		}
		result.Votes = append(result.Votes, vote)
		result.Offset = max(result.Offset, vote.Offset)
		if vote.Outcome != statemachine.Accepted {
			return &RefusedError{Detail: proposalResultText(vote)}
		}
	}
	return c.awaitEntries(ctx, result)
}

// proposals returns the ids of the proposals that the command created or found
// pending.
func (r *PublishResult) proposals() []string {
	var ids []string
	for _, c := range r.Pending {
		ids = append(ids, c.Pending)
	}
	for _, d := range r.Decisions {
		if d.Outcome == statemachine.Proposed {
			ids = append(ids, d.Proposal)
		}
	}
	return ids
}

// awaitVote waits until the proposal is closed and returns its result.
func (c *Client) awaitVote(ctx context.Context, r *logReplayer, id string) (statemachine.ProposalResult, error) {
	for {
		if vote, closed := r.state.ProposalResult(id); closed {
			return vote, nil
		}
		if ctx.Err() != nil {
			return statemachine.ProposalResult{}, &RefusedError{Detail: fmt.Sprintf("proposal %s is still pending", id)}
		}
		sleep(ctx, pollInterval)
		// A failed read is retried until the timeout.
		_ = r.catchUp(ctx)
	}
}

// awaitEntries polls the live entries until each reports the offset.
func (c *Client) awaitEntries(ctx context.Context, result *PublishResult) error {
	for {
		entries, err := c.entryStatuses(ctx)
		if err == nil {
			result.Entries = entries
		}
		behind := 0
		for _, e := range entries {
			if e.Error != "" || e.Offset < result.Offset {
				behind++
			}
		}
		if err == nil && behind == 0 {
			return nil
		}
		if ctx.Err() != nil {
			detail := fmt.Sprintf("offset %d is in the log; %d of %d live entries have not reported it", result.Offset, behind, len(entries))
			return &UnknownError{Detail: detail, Err: err}
		}
		sleep(ctx, pollInterval)
	}
}
