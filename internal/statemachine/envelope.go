package statemachine

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// publishIDPattern keeps publish ids short, as the state keeps many of them.
var publishIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// publisherPattern matches "member" and "member/person".
var publisherPattern = regexp.MustCompile(`^[a-z0-9-]{1,63}(/[A-Za-z0-9@._-]{1,64})?$`)

// PublisherMember returns the member of a publisher "member/person".
func PublisherMember(publisher string) string {
	member, _, _ := strings.Cut(publisher, "/")
	return member
}

// CheckPublisher checks the form of a publisher. Its error is a *MalformedError.
func CheckPublisher(publisher string) error {
	if !publisherPattern.MatchString(publisher) {
		return &MalformedError{Detail: fmt.Sprintf("publisher %q: expected member or member/person", publisher)}
	}
	return nil
}

// checkEnvelope checks the form of a publish, except for its content, and returns
// its branch.
func checkEnvelope(p Publish) (tree.Branch, error) {
	if !publishIDPattern.MatchString(p.PublishID) {
		return "", &MalformedError{Detail: fmt.Sprintf("publish id %q", p.PublishID)}
	}
	if err := CheckPublisher(p.Publisher); err != nil {
		return "", err
	}
	branch, err := tree.ParseBranch(p.Branch)
	if err != nil {
		return "", &MalformedError{Detail: err.Error()}
	}
	switch {
	case p.Remove && (branch == tree.Root || p.Content != "" || p.BaseRevision == 0):
		return "", &MalformedError{Detail: "a removal needs a branch in force that is not the root, and no content"}
	case len(p.Children) > 0 && (branch != tree.Root || p.BaseRevision != 0):
		return "", &MalformedError{Detail: "only a first publish of the root may bring children"}
	default:
		return branch, nil
	}
}

// checkOwner returns why the publisher may not publish the branch, or "". The
// log doesn't authenticate publishers; the check only prevents a member from
// changing another member's branches by mistake.
func (s *State) checkOwner(b tree.Branch, p Publish, candidate *tree.Tree) string {
	member := PublisherMember(p.Publisher)
	if b != tree.Root {
		if member != b.Member() {
			return fmt.Sprintf("branch %s belongs to %s, not to %s", b, b.Member(), member)
		}
		return ""
	}
	members := candidate.Members
	if s.tree != nil {
		members = s.tree.Members
	}
	if !slices.Contains(members, member) {
		return fmt.Sprintf("%s is no member", member)
	}
	return ""
}
