package statemachine

import (
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Outcome is what became of a record or a proposal. It is the tag of counters.
type Outcome string

const (
	// Accepted: in force from this offset on.
	Accepted Outcome = "accepted"
	// Proposed: waits for the approvals of the members.
	Proposed Outcome = "proposed"
	// Conflict: the branch changed since the base revision.
	Conflict Outcome = "conflict"
	// Invalid: the tree would not be valid; the findings say why.
	Invalid Outcome = "invalid"
	// NotAllowed: the branch belongs to another member.
	NotAllowed Outcome = "not_allowed"
	// Duplicate: a second copy of a publish, ignored.
	Duplicate Outcome = "duplicate"
	// Malformed: not a record; ignored.
	Malformed Outcome = "malformed"
	// Unsupported: a record of a newer version; ignored.
	Unsupported Outcome = "unsupported"
	// Stale: the offset was applied before; ignored.
	Stale Outcome = "stale"
)

// Decision is what became of one record.
type Decision struct {
	Offset  int64   `json:"offset"`
	Kind    Kind    `json:"kind,omitempty"`
	Outcome Outcome `json:"outcome"`
	// Branch, Publisher and PublishID are those of the record.
	Branch    tree.Branch `json:"branch,omitempty"`
	Publisher string      `json:"publisher,omitempty"`
	PublishID string      `json:"publish_id,omitempty"`
	// Revision is set when the record came in force.
	Revision int64 `json:"revision,omitempty"`
	// Proposal is the id of the proposal that the record made.
	Proposal string `json:"proposal,omitempty"`
	// Message says in one line why the record is not in force, or what became of
	// a seat.
	Message string `json:"message,omitempty"`
	// Findings are all problems of an invalid publish.
	Findings finding.List `json:"findings,omitempty"`
	// Winner is the publish that came first in a conflict.
	Winner *Winner `json:"winner,omitempty"`
	// First is the receipt of the first copy of a duplicate.
	First *Receipt `json:"first,omitempty"`
	// Changes are the values that the record changed, one a line.
	Changes []string `json:"changes,omitempty"`
	// Closed are the proposals that the record settled.
	Closed []ProposalResult `json:"settled,omitempty"`
}

// Winner is the publish that is in force in place of a conflicting one.
type Winner struct {
	Revision  int64  `json:"revision"`
	Offset    int64  `json:"offset"`
	Publisher string `json:"publisher"`
	PublishID string `json:"publish_id"`
	// Removed tells that the winner took the branch out or it never was.
	Removed bool `json:"removed,omitempty"`
	// Changes are the values that the winner changed, one a line.
	Changes []string `json:"changes,omitempty"`
}

// ProposalResult is the end of a proposal.
type ProposalResult struct {
	Proposal string      `json:"proposal"`
	Branch   tree.Branch `json:"branch"`
	// Outcome is Accepted, Conflict or Invalid.
	Outcome Outcome `json:"outcome"`
	// Offset is the offset of the record that settled the proposal.
	Offset int64 `json:"offset"`
	// Revision is set when the proposal came in force.
	Revision int64 `json:"revision,omitempty"`
	// Message says why it did not come in force.
	Message string `json:"message,omitempty"`
}

// Receipt is what a State remembers of a publish, to know a second copy.
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
