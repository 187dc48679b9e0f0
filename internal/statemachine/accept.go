package statemachine

import (
	"fmt"
	"maps"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// maxChanges bounds the changed values that are listed for a branch.
	maxChanges = 16
	// maxChangeBytes is the length above which a listed change is shortened.
	maxChangeBytes = 160
)

// candidate is the tree that results from applying one publish, before it is accepted.
type candidate struct {
	publish Publish
	changed []tree.Branch
	docs    tree.Documents
	tree    *tree.Tree
}

// candidate parses a publish and checks the whole tree that results from it.
func (s *State) candidate(b tree.Branch, p Publish) (candidate, finding.List) {
	c := candidate{publish: p, changed: []tree.Branch{b}, docs: s.docs}
	var findings finding.List
	if p.Remove {
		c.docs = c.docs.Without(b)
	} else {
		findings = c.add(b, p.Content)
	}
	for _, child := range p.Children {
		findings = append(findings, c.addChild(child)...)
	}
	if len(findings) > 0 {
		return c, findings
	}
	c.tree, findings = tree.Build(c.docs)
	return c, findings
}

func (c *candidate) add(b tree.Branch, content string) finding.List {
	d, findings := tree.ParseDocument(b, b.File(), []byte(content))
	if d != nil {
		c.docs = c.docs.With(d)
	}
	return findings
}

func (c *candidate) addChild(child Child) finding.List {
	b, err := tree.ParseBranch(child.Branch)
	if err != nil {
		return finding.List{{File: tree.Root.File(), Message: err.Error()}}
	}
	if slices.Contains(c.changed, b) {
		return finding.List{{File: b.File(), Message: "duplicate branch"}}
	}
	c.changed = append(c.changed, b)
	return c.add(b, child.Content)
}

// accept makes the candidate the active tree and returns its revision.
func (s *State) accept(offset int64, c candidate) int64 {
	s.revision++
	branches := maps.Clone(s.branches)
	if branches == nil {
		branches = make(map[tree.Branch]ActiveBranch)
	}
	for _, b := range c.changed {
		doc := c.docs[b]
		if doc == nil {
			delete(branches, b)
			continue
		}
		branches[b] = ActiveBranch{
			Branch:          b,
			Revision:        s.revision,
			Offset:          offset,
			Publisher:       c.publish.Publisher,
			PublishID:       c.publish.PublishID,
			Content:         doc.Content,
			Changes:         changeLines(s.docs[b], doc),
			ReplacedDigests: replacedDigests(s.branches[b]),
		}
	}
	s.branches = branches
	s.docs = c.docs
	s.tree = c.tree
	s.seats = s.seats.Resize(offset, c.tree.Seats)
	return s.revision
}

// replacedDigests returns the digests of a branch's replaced contents, with that
// of the content that is being replaced as the last.
func replacedDigests(current ActiveBranch) []string {
	if current.Revision == 0 {
		return nil
	}
	return appendBounded(maxReplacedDigests, current.ReplacedDigests, digest(current.Content))
}

// changeLines lists the changed values for operators, bounded in number and length.
func changeLines(from, to *tree.Document) []string {
	changes := tree.Diff(from, to)
	var lines []string
	for i, change := range changes {
		if i == maxChanges {
			lines = append(lines, fmt.Sprintf("and %d more", len(changes)-maxChanges))
			break
		}
		lines = append(lines, shorten(change.String()))
	}
	return lines
}

// shorten truncates a long line by characters and marks it with an ellipsis.
func shorten(line string) string {
	if len(line) <= maxChangeBytes {
		return line
	}
	runes := []rune(line)
	return string(runes[:min(len(runes), maxChangeBytes)]) + "..."
}
