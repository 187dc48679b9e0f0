package ctl

import (
	"context"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// await waits until the votes on the result's proposals are over and all live
// entries report the offset in force.
func (c *Client) await(ctx context.Context, r *reader, result *PublishResult) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for _, id := range result.proposals() {
		end, err := c.awaitVote(ctx, r, id)
		if err != nil {
			return err
		}
		result.Votes = append(result.Votes, end)
		result.Offset = max(result.Offset, end.Offset)
		if end.Outcome != statemachine.Accepted {
			return &RefusedError{Detail: settlementText(end)}
		}
	}
	return c.awaitEntries(ctx, result)
}

// proposals returns the proposals that the command made or found.
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

func (c *Client) awaitVote(ctx context.Context, r *reader, id string) (statemachine.ProposalResult, error) {
	for {
		if end, settled := r.state.ProposalResult(id); settled {
			return end, nil
		}
		if ctx.Err() != nil {
			return statemachine.ProposalResult{}, &RefusedError{Detail: fmt.Sprintf("proposal %s is still pending", id)}
		}
		pause(ctx, pollInterval)
		// An unreachable log is tried again until the timeout.
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
		pause(ctx, pollInterval)
	}
}
