package statemachine

import (
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Outcome is the result of a record or a proposal. It is also the value of a
// metric label.
type Outcome string

const (
	// Accepted: active from this offset on.
	Accepted Outcome = "accepted"
	// Proposed: pending until a quorum of the members approves it.
	Proposed Outcome = "proposed"
	// Conflict: the branch changed since the base revision, too much is pending, or
	// the seat has another holder.
	Conflict Outcome = "conflict"
	// Invalid: the resulting tree would not be valid, for the reasons in the
	// findings, or the seat claim is not valid.
	Invalid Outcome = "invalid"
	// NotAllowed: the branch belongs to another member, or the publisher is no member.
	NotAllowed Outcome = "not_allowed"
	// Duplicate: the publish id was decided on before; ignored.
	Duplicate Outcome = "duplicate"
	// Malformed: not a well-formed record; ignored.
	Malformed Outcome = "malformed"
	// Unsupported: a record of a newer version; ignored.
	Unsupported Outcome = "unsupported"
	// Stale: the offset was applied before; ignored.
	Stale Outcome = "stale"
)

// Decision is the result of applying one record.
type Decision struct {
	Offset  int64   `json:"offset"`
	Kind    Kind    `json:"kind,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Branch, Publisher and PublishID are copied from the record.
	Branch    tree.Branch `json:"branch,omitempty"`
	Publisher string      `json:"publisher,omitempty"`
	PublishID string      `json:"publish_id,omitempty"`
	// Revision is set if the record was accepted.
	Revision int64 `json:"revision,omitempty"`
	// Proposal is the id of the proposal that the record created.
	Proposal string `json:"proposal,omitempty"`
	// Message explains in one line why the record is not active, or describes an
	// accepted seat claim.
	Message string `json:"message,omitempty"`
	// Findings lists all problems of an invalid publish.
	Findings finding.List `json:"findings,omitempty"`
	// Winner is the publish that is active at the branch, set in a conflict.
	Winner *Winner `json:"winner,omitempty"`
	// First is the receipt of the first copy of a duplicate.
	First *Receipt `json:"first,omitempty"`
	// Changes lists the values that the record changes, one per line.
	Changes []string `json:"changes,omitempty"`
	// Closed lists the proposals that the record closed.
	Closed []ProposalResult `json:"settled,omitempty"`
}

// Winner is the publish that is active in place of a conflicting one.
type Winner struct {
	Revision  int64  `json:"revision"`
	Offset    int64  `json:"offset"`
	Publisher string `json:"publisher"`
	PublishID string `json:"publish_id"`
	// Removed reports that the branch was removed or never existed.
	Removed bool `json:"removed,omitempty"`
	// Changes lists the values that the winner changed, one per line.
	Changes []string `json:"changes,omitempty"`
}

// ProposalResult is the final outcome of a proposal.
type ProposalResult struct {
	Proposal string      `json:"proposal"`
	Branch   tree.Branch `json:"branch"`
	// Outcome is Accepted, Conflict or Invalid.
	Outcome Outcome `json:"outcome"`
	// Offset is the offset of the record that closed the proposal.
	Offset int64 `json:"offset"`
	// Revision is set if the proposal was accepted.
	Revision int64 `json:"revision,omitempty"`
	// Message explains why it was not accepted.
	Message string `json:"message,omitempty"`
}

// Receipt is the part of a publish that a State keeps, to detect duplicates.
type Receipt struct {
	PublishID string  `json:"publish_id"`
	Offset    int64   `json:"offset"`
	Outcome   Outcome `json:"outcome"`
}

// String returns the decision in one line.
func (d Decision) String() string {
	text := fmt.Sprintf("%d %s", d.Offset, d.Outcome)
	if d.Branch != "" {
		text += " " + string(d.Branch)
	}
	if d.Message != "" {
		text += ": " + d.Message
	}
	return text
}
