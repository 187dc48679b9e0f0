package tree

import (
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/jsonc"
)

// Document is the parsed document of one branch. Exactly one of its typed
// fields is set. It is immutable and safe for concurrent use.
type Document struct {
	// Branch is the branch that the document describes.
	Branch Branch
	// Content is the text as published, including comments.
	Content string

	Root    *RootDocument
	Member  *MemberDocument
	Service *ServiceDocument
	Rank    *RankDocument
	// Approvals is set for a member's approvals branch.
	Approvals *ApprovalsDocument

	source *jsonc.Document
}

// ParseDocument decodes the document of a branch and checks it by itself; Build
// checks it against the other branches. File is the file name in the findings.
// The Document is nil if there are findings.
func ParseDocument(branch Branch, file string, content []byte) (*Document, finding.List) {
	source, findings := jsonc.Parse(file, content)
	if source == nil {
		return nil, findings
	}
	d := &Document{Branch: branch, Content: string(content), source: source}
	findings = append(findings, source.Decode(d.newTypedDocument())...)
	findings = append(findings, excludeKnownPaths(d.checkValues(), findings)...)
	if len(findings) > 0 {
		return nil, findings.Sorted()
	}
	return d, nil
}

// excludeKnownPaths removes findings at paths that already have one in known, so
// that a value of the wrong type is not reported as empty too.
func excludeKnownPaths(found, known finding.List) finding.List {
	return slices.DeleteFunc(found, func(f finding.Finding) bool {
		return slices.ContainsFunc(known, func(k finding.Finding) bool { return k.Path == f.Path })
	})
}

// Diff returns the values that differ between two documents of a branch. Either
// may be nil. Differences in comments and layout are ignored.
func Diff(from, to *Document) []jsonc.Change {
	return jsonc.Diff(from.parsedSource(), to.parsedSource())
}

// NeedsVote reports whether the members must vote on a change of a branch. They
// vote on every value of the root and on the limits of every other branch. From
// is nil for a new branch, to is nil for a removed one.
func NeedsVote(from, to *Document) bool {
	if isRoot(from) || isRoot(to) {
		return len(Diff(from, to)) > 0
	}
	return from.limits() != to.limits()
}

func isRoot(d *Document) bool { return d != nil && d.Root != nil }

func (d *Document) parsedSource() *jsonc.Document {
	if d == nil {
		return nil
	}
	return d.source
}

// newTypedDocument sets the field for the kind of the branch to an empty document
// and returns it.
func (d *Document) newTypedDocument() any {
	switch d.Branch.Level() {
	case LevelRoot:
		d.Root = &RootDocument{}
		return d.Root
	case LevelMember:
		d.Member = &MemberDocument{}
		return d.Member
	case LevelService:
		d.Service = &ServiceDocument{}
		return d.Service
	case LevelApprovals:
		d.Approvals = &ApprovalsDocument{}
		return d.Approvals
	default:
		d.Rank = &RankDocument{}
		return d.Rank
	}
}

// checkValues checks the values that don't depend on other branches.
func (d *Document) checkValues() finding.List {
	switch {
	case d.Root != nil:
		return d.checkRoot()
	case d.Service != nil:
		return d.checkService()
	case d.Approvals != nil:
		return d.checkApprovals()
	default:
		return nil
	}
}

// limits returns the global limits that the branch itself sets.
func (d *Document) limits() LimitValues {
	switch {
	case d == nil:
		return LimitValues{}
	case d.Root != nil:
		return d.Root.Limits
	case d.Member != nil:
		return d.Member.Limits
	case d.Service != nil:
		return d.Service.Limits
	case d.Rank != nil:
		return d.Rank.Limits
	default:
		return LimitValues{}
	}
}

// budgets returns the budgets that the branch overrides.
func (d *Document) budgets() BudgetOverrides {
	switch {
	case d.Member != nil:
		return d.Member.Budgets
	case d.Service != nil:
		return d.Service.Budgets
	default:
		return BudgetOverrides{}
	}
}
