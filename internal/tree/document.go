package tree

import (
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/jsonc"
)

// Document is the parsed document of one branch. Exactly one of its typed
// fields is set. It is immutable and safe for concurrent use.
type Document struct {
	// Branch is where the document belongs.
	Branch Branch
	// Content is the text as it was published, comments included.
	Content string

	Root    *RootDocument
	Member  *MemberDocument
	Service *ServiceDocument
	Rank    *RankDocument
	// Approvals is set in a member's branch of approvals.
	Approvals *ApprovalsDocument

	source *jsonc.Document
}

// ParseDocument decodes the document of a branch. File is the name that its
// findings carry. It sees only the document itself; Build checks it against
// the other branches. On findings the Document is nil.
func ParseDocument(branch Branch, file string, content []byte) (*Document, finding.List) {
	source, findings := jsonc.Parse(file, content)
	if source == nil {
		return nil, findings
	}
	d := &Document{Branch: branch, Content: string(content), source: source}
	findings = append(findings, source.Decode(d.allocate())...)
	findings = append(findings, without(d.checkValues(), findings)...)
	if len(findings) > 0 {
		return nil, findings.Sorted()
	}
	return d, nil
}

// without leaves out findings at places that have one already: a value of the
// wrong type is not also an empty one.
func without(found, known finding.List) finding.List {
	return slices.DeleteFunc(found, func(f finding.Finding) bool {
		return slices.ContainsFunc(known, func(k finding.Finding) bool { return k.Path == f.Path })
	})
}

// Diff lists the values that differ between two documents of a branch. Either
// may be nil. Comments and layout do not count.
func Diff(from, to *Document) []jsonc.Change {
	return jsonc.Diff(from.parsed(), to.parsed())
}

// NeedsVote reports whether the members vote on the change of a branch: any
// value of the root, and the limits of every other branch. Either document may
// be nil, for a branch that comes or goes.
func NeedsVote(from, to *Document) bool {
	if isRoot(from) || isRoot(to) {
		return len(Diff(from, to)) > 0
	}
	return from.limits() != to.limits()
}

func isRoot(d *Document) bool { return d != nil && d.Root != nil }

func (d *Document) parsed() *jsonc.Document {
	if d == nil {
		return nil
	}
	return d.source
}

func (d *Document) allocate() any {
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

// checkValues checks what needs no other branch.
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

// limits returns the voted limits of the branch itself.
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

// budgets returns the budgets that the branch narrows.
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
