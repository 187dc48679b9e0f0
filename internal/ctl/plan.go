package ctl

import (
	"fmt"
	"maps"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Change is a branch whose document differs from the active one.
type Change struct {
	Branch tree.Branch `json:"branch"`
	// BaseRevision is the active revision, or zero for a new branch.
	BaseRevision int64 `json:"base_revision"`
	// Remove reports that the branch is missing from the directory.
	Remove bool `json:"remove,omitempty"`
	// NeedsVote reports whether the members vote on the change.
	NeedsVote bool `json:"needs_vote,omitempty"`
	// Changes are the values that differ, one line each.
	Changes []string `json:"changes"`

	// Superseded reports that the content was active before: the directory is out of
	// date, and publishing it would undo later changes.
	Superseded bool `json:"replaced,omitempty"`
	// Pending is the id of a pending proposal of exactly this change.
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

// plan holds the changes of a publish, and the differences that it doesn't publish.
type plan struct {
	// changes are in an order in which the tree is valid after each of them.
	changes []Change
	// onlyActive are branches that are missing from the directory and are not removed.
	onlyActive []tree.Branch
	// pending are changes that are already proposed and wait for a vote.
	pending []Change
	// foreign are branches of other members that differ.
	foreign []tree.Branch
	// outdated are changes that would restore a superseded content.
	outdated []Change
	// blocked are the findings of changes that are invalid until others are active.
	blocked finding.List
}

// newPlan compares the documents with the active state. A member publishes the
// root and its own branches.
func newPlan(docs tree.Documents, state *statemachine.State, member string, o PublishOptions) plan {
	var p plan
	var wanted []Change
	initial := state.Tree() == nil
	for _, b := range allBranches(docs, state.Documents()) {
		if o.Branch != "" && b != o.Branch {
			continue
		}
		c, differs := compareBranch(b, docs[b], state)
		own := initial || b == tree.Root || b.Member() == member || b == o.Branch
		switch {
		case !differs, c.Remove && b == tree.Root:
		case !own:
			p.foreign = append(p.foreign, b)
		case c.Remove && !o.Remove:
			p.onlyActive = append(p.onlyActive, b)
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

// result returns the result before anything is published.
func (p plan) result(offset int64) *PublishResult {
	return &PublishResult{
		Changes:     append([]Change{}, p.changes...),
		Pending:     p.pending,
		Foreign:     p.foreign,
		OnlyInForce: p.onlyActive,
		Outdated:    p.outdated,
		Blocked:     p.blocked,
		Offset:      offset,
	}
}

// err returns an error if some of the differences can't be published.
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

// rebase sets the base revision of all changes. If base is negative, they keep the
// active revision.
func (p *plan) rebase(base int64) {
	if base < 0 {
		return
	}
	for i := range p.changes {
		p.changes[i].BaseRevision = base
	}
}

// compareBranch returns the change from the active document of a branch to doc,
// and whether they differ. Doc is nil if the branch is missing from the directory.
func compareBranch(b tree.Branch, doc *tree.Document, state *statemachine.State) (Change, bool) {
	current := state.Documents()[b]
	if doc != nil && current != nil && doc.Content == current.Content {
		return Change{}, false
	}
	active, _ := state.Branch(b)
	c := Change{
		Branch:       b,
		BaseRevision: active.Revision,
		Remove:       doc == nil,
		NeedsVote:    state.Tree() != nil && tree.NeedsVote(current, doc),
		Changes:      []string{},
		Superseded:   doc != nil && active.Superseded(doc.Content),
		document:     doc,
	}
	c.Pending = pendingID(state, c)
	for _, change := range tree.Diff(current, doc) {
		c.Changes = append(c.Changes, change.String())
	}
	return c, true
}

// order sorts the wanted changes so that each is valid when the earlier ones are
// applied: limits of the root are lowered after those of its children and raised
// before them. A change that needs a vote does not count as applied for later ones.
// Changes that do not become valid this way are blocked. If no tree is active, the
// order doesn't matter, as all changes are published together.
func (p *plan) order(wanted []Change, docs tree.Documents) {
	if docs[tree.Root] == nil {
		p.changes = wanted
		return
	}
	for len(wanted) > 0 {
		i := slices.IndexFunc(wanted, func(c Change) bool { return len(c.findingsAfter(docs)) == 0 })
		if i < 0 {
			break
		}
		c := wanted[i]
		wanted = slices.Delete(wanted, i, i+1)
		p.changes = append(p.changes, c)
		if !c.NeedsVote {
			docs = c.applyTo(docs)
		}
	}
	for _, c := range wanted {
		p.blocked = append(p.blocked, c.findingsAfter(docs)...)
	}
	p.blocked = p.blocked.Sorted()
}

// pendingID returns the id of the pending proposal of exactly this change, or "".
func pendingID(state *statemachine.State, c Change) string {
	for _, p := range state.Proposals() {
		same := p.Branch == c.Branch && p.BaseRevision == c.BaseRevision && p.Remove == c.Remove
		if same && (c.Remove || p.Content == c.document.Content) {
			return p.ID
		}
	}
	return ""
}

// findingsAfter returns the findings of the documents with the change applied.
func (c Change) findingsAfter(docs tree.Documents) finding.List {
	_, findings := tree.Build(c.applyTo(docs))
	return findings
}

func (c Change) applyTo(docs tree.Documents) tree.Documents {
	if c.Remove {
		return docs.Without(c.Branch)
	}
	return docs.With(c.document)
}

// publishes returns the records to append: one per branch, or one for the whole
// tree if none is active.
func (p plan) publishes(initial bool, publisher string) []statemachine.Publish {
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
	if initial && len(all) > 0 {
		return []statemachine.Publish{initialPublish(all)}
	}
	return all
}

// initialPublish combines the publishes of an initial tree into one. The first of
// them is the root.
func initialPublish(all []statemachine.Publish) statemachine.Publish {
	root := all[0]
	for _, p := range all[1:] {
		root.Children = append(root.Children, statemachine.Child{Branch: p.Branch, Content: p.Content})
	}
	return root
}
