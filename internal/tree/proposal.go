package tree

import (
	"fmt"
	"strconv"
	"strings"
)

// proposalPrefix starts the id of a proposal; the offset of its record follows.
const proposalPrefix = "p"

// ProposalIDError tells that a text is no id of a proposal.
type ProposalIDError struct{ Text string }

// Error names the text and the expected form.
func (e *ProposalIDError) Error() string {
	return fmt.Sprintf("%q is no proposal: expected p and a number, such as p17", e.Text)
}

// ProposalID returns the id of the proposal that was published at the offset.
func ProposalID(offset int64) string {
	return proposalPrefix + strconv.FormatInt(offset, 10)
}

// ParseProposalID returns the offset at which the proposal was published.
func ParseProposalID(id string) (int64, error) {
	offset, err := strconv.ParseInt(strings.TrimPrefix(id, proposalPrefix), 10, 64)
	if err != nil || offset < 0 || ProposalID(offset) != id {
		return 0, &ProposalIDError{Text: id}
	}
	return offset, nil
}
