package tree

import (
	"fmt"
	"path"
	"regexp"
	"strings"
)

// FileName is the name of each branch's file in the operators' directory.
const FileName = "branch.jsonc"

// approvalsName is the reserved last path segment of a member's approvals branch.
const approvalsName = "approvals"

// Branch is the path of one branch of the tree: "/" is the root, "/glazenpot" a
// member, "/glazenpot/shop" a service, "/glazenpot/shop/payments" a rank
// (priority class) and "/glazenpot/approvals" the member's approvals of proposals.
type Branch string

// Root is the branch whose settings apply to the whole co-operative.
const Root Branch = "/"

// Level is the kind of a branch. It determines the fields of its document.
type Level int

// Levels of the tree, from the root down.
const (
	LevelRoot Level = iota
	LevelMember
	LevelService
	LevelRank
	// LevelApprovals is a sibling of a member's services.
	LevelApprovals
)

// BranchError reports a text that is not a valid branch path.
type BranchError struct{ Text string }

// Error returns the text and the expected form.
func (e *BranchError) Error() string {
	return fmt.Sprintf("%q is no branch: expected /, /member, /member/approvals, /member/service or /member/service/rank, in lower case", e.Text)
}

// namePattern restricts names to what is valid in host names, file names and
// metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// ParseBranch parses the path of a branch. Its error is a *BranchError.
func ParseBranch(text string) (Branch, error) {
	if text == string(Root) {
		return Root, nil
	}
	rest, ok := strings.CutPrefix(text, "/")
	names := strings.Split(rest, "/")
	if !ok || len(names) > int(LevelRank) {
		return "", &BranchError{Text: text}
	}
	for _, name := range names {
		if !namePattern.MatchString(name) {
			return "", &BranchError{Text: text}
		}
	}
	if len(names) == int(LevelRank) && names[1] == approvalsName {
		return "", &BranchError{Text: text}
	}
	return Branch(text), nil
}

// MemberBranch returns the branch of a member.
func MemberBranch(member string) Branch { return Root + Branch(member) }

// ApprovalsBranch returns the approvals branch of a member.
func ApprovalsBranch(member string) Branch {
	return MemberBranch(member) + "/" + approvalsName
}

// Level returns the kind of the branch.
func (b Branch) Level() Level {
	if b == Root {
		return LevelRoot
	}
	level := Level(strings.Count(string(b), "/"))
	if level == LevelService && b.Name() == approvalsName {
		return LevelApprovals
	}
	return level
}

// Parent returns the branch that b inherits from; the root is its own parent.
func (b Branch) Parent() Branch {
	return b[:max(strings.LastIndexByte(string(b), '/'), len(Root))]
}

// Name returns the last segment of the path, or "" for the root.
func (b Branch) Name() string {
	return string(b[strings.LastIndexByte(string(b), '/')+1:])
}

// Member returns the member that owns the branch, or "" for the root.
func (b Branch) Member() string { return b.Scope().Member }

// Scope returns the calls that a limit of the branch applies to.
func (b Branch) Scope() Scope {
	var s Scope
	rest := strings.TrimPrefix(string(b), "/")
	s.Member, rest, _ = strings.Cut(rest, "/")
	s.Service, s.Rank, _ = strings.Cut(rest, "/")
	return s
}

// File returns the path of the branch's file within the operators' directory.
func (b Branch) File() string {
	return path.Join(strings.TrimPrefix(string(b), "/"), FileName)
}
