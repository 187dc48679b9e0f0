package ctl

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// CheckResult is the answer of Check.
type CheckResult struct {
	// Documents is the number of documents that were read.
	Documents int `json:"documents"`
	// Partial tells that there is no root, so that the branches were checked
	// each by itself.
	Partial  bool         `json:"partial,omitempty"`
	Findings finding.List `json:"findings"`
}

func (r *CheckResult) text() []string {
	var lines []string
	for _, f := range r.Findings {
		lines = append(lines, f.String())
	}
	switch {
	case len(lines) > 0:
		return lines
	case r.Partial:
		return []string{fmt.Sprintf("%d documents, no findings in each by itself; there is no root to check them against", r.Documents)}
	default:
		return []string{fmt.Sprintf("%d documents, no findings", r.Documents)}
	}
}

// Check checks a directory of branches or one file. A file in a directory of
// branches is checked together with its parents; any other file is taken for a
// root. A branch, when named, says whose document the file is.
func Check(path string, branch tree.Branch) (*CheckResult, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, &UsageError{Detail: err.Error()}
	}
	var r *CheckResult
	switch {
	case info.IsDir():
		_, r = checkDirectory(path)
	case branch != "":
		r = checkAlone(path, branch)
	default:
		r = checkFile(path)
	}
	if r.Findings == nil {
		r.Findings = finding.List{}
	}
	if len(r.Findings) > 0 {
		return r, &RefusedError{Detail: fmt.Sprintf("%d findings", len(r.Findings))}
	}
	return r, nil
}

// checkDirectory reads and checks all branches. A directory without a root is
// that of one member, whose branches are checked each by itself. The documents
// are complete only when there are no findings.
func checkDirectory(dir string) (tree.Documents, *CheckResult) {
	docs, findings := tree.ReadFS(os.DirFS(dir), filepath.ToSlash(dir))
	partial := docs[tree.Root] == nil && len(docs) > 0
	if len(findings) == 0 && !partial {
		_, findings = tree.Build(docs)
	}
	return docs, &CheckResult{Documents: len(docs), Partial: partial, Findings: findings.Sorted()}
}

func checkAlone(path string, branch tree.Branch) *CheckResult {
	_, findings := parseFile(path, branch)
	return &CheckResult{Documents: 1, Findings: findings.Sorted()}
}

func parseFile(path string, branch tree.Branch) (*tree.Document, finding.List) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, finding.List{{File: path, Message: err.Error()}}
	}
	return tree.ParseDocument(branch, path, content)
}

// checkFile checks a file and the parents above it.
func checkFile(path string) *CheckResult {
	r := &CheckResult{}
	docs := make(tree.Documents)
	dir, branch := placeOf(path)
	for {
		file := path
		if r.Documents > 0 {
			file = filepath.Join(dir, filepath.FromSlash(branch.File()))
		}
		d, findings := parseFile(file, branch)
		r.Documents++
		r.Findings = append(r.Findings, findings...)
		docs[branch] = d
		if branch == tree.Root {
			break
		}
		branch = branch.Parent()
	}
	if len(r.Findings) == 0 {
		_, r.Findings = tree.Build(docs)
	}
	r.Findings = r.Findings.Sorted()
	return r
}

// placeOf returns the directory of branches that holds the file and the file's
// branch: the directory is the highest of those above that have a file of a
// branch without a gap. A file of another name is a root.
func placeOf(path string) (dir string, branch tree.Branch) {
	full, err := filepath.Abs(path)
	dir = filepath.Dir(full)
	if err != nil || filepath.Base(full) != tree.FileName {
		return dir, tree.Root
	}
	names := ""
	branch = tree.Root
	for range int(tree.LevelRank) {
		parent := filepath.Dir(dir)
		if _, err := os.Stat(filepath.Join(parent, tree.FileName)); errors.Is(err, fs.ErrNotExist) {
			break
		}
		names = "/" + filepath.Base(dir) + names
		b, err := tree.ParseBranch(names)
		if err != nil {
			break
		}
		dir, branch = parent, b
	}
	return dir, branch
}
