package tree

import (
	"fmt"
	"strconv"
	"strings"
)

// proposalPrefix is the prefix of a proposal's id, which is followed by the offset
// of its record.
const proposalPrefix = "p"

// ProposalIDError reports a text that is not a valid proposal id.
type ProposalIDError struct{ Text string }

// Error returns the text and the expected form.
func (e *ProposalIDError) Error() string {
	return fmt.Sprintf("%q is no proposal: expected p and a number, such as p17", e.Text)
}

// ProposalID returns the id of the proposal published at the offset.
func ProposalID(offset int64) string {
	return proposalPrefix + strconv.FormatInt(offset, 10)
}

// ParseProposalID returns the offset at which the proposal was published. Its
// error is a *ProposalIDError.
func ParseProposalID(id string) (int64, error) {
	offset, err := strconv.ParseInt(strings.TrimPrefix(id, proposalPrefix), 10, 64)
	if err != nil || offset < 0 || ProposalID(offset) != id {
		return 0, &ProposalIDError{Text: id}
	}
	return offset, nil
}
