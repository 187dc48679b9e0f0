package ctl

import (
	"fmt"
	"maps"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Change is a branch whose document differs from what is in force.
type Change struct {
	Branch tree.Branch `json:"branch"`
	// BaseRevision is the revision in force, and zero for a new branch.
	BaseRevision int64 `json:"base_revision"`
	// Remove tells that the directory lacks the branch.
	Remove bool `json:"remove,omitempty"`
	// NeedsVote tells that the members vote on the change.
	NeedsVote bool `json:"needs_vote,omitempty"`
	// Changes are the values that differ, one a line.
	Changes []string `json:"changes"`

	// Superseded tells that the content was in force before: the directory is out
	// of date, and publishing it would undo what came after.
	Superseded bool `json:"replaced,omitempty"`
	// Pending is the id of a proposal of just this change.
	Pending string `json:"pending,omitempty"`

	document *tree.Document
}

func (c Change) text() []string {
	action := "change"
	switch {
	case c.Remove:
		action = "remove"
	case c.BaseRevision == 0:
		action = "add"
	}
	vote := ""
	if c.NeedsVote {
		vote = ", needs a vote"
	}
	lines := []string{fmt.Sprintf("%s %s (revision %d in force%s)", action, c.Branch, c.BaseRevision, vote)}
	for _, change := range c.Changes {
		lines = append(lines, "  "+change)
	}
	if len(c.Changes) == 0 {
		lines = append(lines, "  comments or layout only")
	}
	return lines
}

// plan is what a publish would do.
type plan struct {
	// changes are in an order in which each leaves a valid tree.
	changes []Change
	// onlyInForce are branches that the directory lacks and that stay.
	onlyInForce []tree.Branch
	// pending are changes that wait for a vote already.
	pending []Change
	// foreign are branches of other members that differ.
	foreign []tree.Branch
	// outdated are changes that would bring back a replaced content.
	outdated []Change
	// blocked are changes that are not valid before others are in force.
	blocked finding.List
}

// newPlan compares the documents with the state in force for a member, who
// publishes the root and its own branches.
func newPlan(docs tree.Documents, state *statemachine.State, member string, o PublishOptions) plan {
	var p plan
	var wanted []Change
	founding := state.Tree() == nil
	for _, b := range allBranches(docs, state.Documents()) {
		if o.Branch != "" && b != o.Branch {
			continue
		}
		c, differs := compare(b, docs[b], state)
		own := founding || b == tree.Root || b.Member() == member || b == o.Branch
		switch {
		case !differs, c.Remove && b == tree.Root:
		case !own:
			p.foreign = append(p.foreign, b)
		case c.Remove && !o.Remove:
			p.onlyInForce = append(p.onlyInForce, b)
		case c.Pending != "":
			p.pending = append(p.pending, c)
		case c.Superseded && o.Base < 0:
			p.outdated = append(p.outdated, c)
		default:
			wanted = append(wanted, c)
		}
	}
	p.order(wanted, state.Documents())
	p.rebase(o.Base)
	return p
}

// result returns what the plan shows before anything is published.
func (p plan) result(offset int64) *PublishResult {
	return &PublishResult{
		Changes:     append([]Change{}, p.changes...),
		Pending:     p.pending,
		Foreign:     p.foreign,
		OnlyInForce: p.onlyInForce,
		Outdated:    p.outdated,
		Blocked:     p.blocked,
		Offset:      offset,
	}
}

// err says what of the difference cannot be published.
func (p plan) err() error {
	switch {
	case len(p.outdated) > 0:
		return &RefusedError{Detail: "the directory is out of date"}
	case len(p.blocked) > 0:
		return &RefusedError{Detail: "some changes are not valid before others are in force"}
	default:
		return nil
	}
}

func allBranches(a, b tree.Documents) []tree.Branch {
	branches := slices.Collect(maps.Keys(a))
	branches = slices.AppendSeq(branches, maps.Keys(b))
	slices.Sort(branches)
	return slices.Compact(branches)
}

// rebase sets the revision that the changes were made from; a negative one
// leaves what is in force.
func (p *plan) rebase(base int64) {
	if base < 0 {
		return
	}
	for i := range p.changes {
		p.changes[i].BaseRevision = base
	}
}

func compare(b tree.Branch, doc *tree.Document, state *statemachine.State) (Change, bool) {
	current := state.Documents()[b]
	if doc != nil && current != nil && doc.Content == current.Content {
		return Change{}, false
	}
	f, _ := state.Branch(b)
	c := Change{
		Branch:       b,
		BaseRevision: f.Revision,
		Remove:       doc == nil,
		NeedsVote:    state.Tree() != nil && tree.NeedsVote(current, doc),
		Changes:      []string{},
		Superseded:   doc != nil && f.Superseded(doc.Content),
		document:     doc,
	}
	c.Pending = pendingID(state, c)
	for _, change := range tree.Diff(current, doc) {
		c.Changes = append(c.Changes, change.String())
	}
	return c, true
}

// order puts changes first that are valid on top of what is in force then: a
// root is narrowed after its children and widened before them. A change that
// needs a vote is not in force for those after it. Without a tree in force all
// changes come at once.
func (p *plan) order(wanted []Change, docs tree.Documents) {
	if docs[tree.Root] == nil {
		p.changes = wanted
		return
	}
	for len(wanted) > 0 {
		i := slices.IndexFunc(wanted, func(c Change) bool { return len(c.findingsOn(docs)) == 0 })
		if i < 0 {
			break
		}
		c := wanted[i]
		wanted = slices.Delete(wanted, i, i+1)
		p.changes = append(p.changes, c)
		if !c.NeedsVote {
			docs = c.on(docs)
		}
	}
	for _, c := range wanted {
		p.blocked = append(p.blocked, c.findingsOn(docs)...)
	}
	p.blocked = p.blocked.Sorted()
}

// pendingID returns the proposal that asks for just this change, or "".
func pendingID(state *statemachine.State, c Change) string {
	for _, p := range state.Proposals() {
		same := p.Branch == c.Branch && p.BaseRevision == c.BaseRevision && p.Remove == c.Remove
		if same && (c.Remove || p.Content == c.document.Content) {
			return p.ID
		}
	}
	return ""
}

// findingsOn returns what is wrong with the change on top of the documents.
func (c Change) findingsOn(docs tree.Documents) finding.List {
	_, findings := tree.Build(c.on(docs))
	return findings
}

func (c Change) on(docs tree.Documents) tree.Documents {
	if c.Remove {
		return docs.Without(c.Branch)
	}
	return docs.With(c.document)
}

// publishes returns the records that carry out the plan: one a branch, or one
// for the whole tree where none is in force.
func (p plan) publishes(founding bool, publisher string) []statemachine.Publish {
	var all []statemachine.Publish
	for _, c := range p.changes {
		publish := statemachine.Publish{
			Branch:       string(c.Branch),
			BaseRevision: c.BaseRevision,
			Remove:       c.Remove,
			Publisher:    publisher,
			PublishID:    newPublishID(),
		}
		if c.document != nil {
			publish.Content = c.document.Content
		}
		all = append(all, publish)
	}
	if founding && len(all) > 0 {
		return []statemachine.Publish{foundingPublish(all)}
	}
	return all
}

// foundingPublish joins the publishes of a first tree; the root comes first.
func foundingPublish(all []statemachine.Publish) statemachine.Publish {
	root := all[0]
	for _, p := range all[1:] {
		root.Children = append(root.Children, statemachine.Child{Branch: p.Branch, Content: p.Content})
	}
	return root
}
