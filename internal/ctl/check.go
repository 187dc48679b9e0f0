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

// CheckResult is the result of Check.
type CheckResult struct {
	// Documents is the number of documents read.
	Documents int `json:"documents"`
	// Partial reports that there is no root, so that each branch was checked by
	// itself only.
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
// branches is checked together with its parents; any other file is checked as a
// root. If branch is set, the file is checked by itself as the document of that
// branch. The error is a *UsageError if path can't be accessed and a *RefusedError
// if there are findings.
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
		r = checkSingleFile(path, branch)
	default:
		r = checkFileWithParents(path)
	}
	if r.Findings == nil {
		r.Findings = finding.List{}
	}
	if len(r.Findings) > 0 {
		return r, &RefusedError{Detail: fmt.Sprintf("%d findings", len(r.Findings))}
	}
	return r, nil
}

// checkDirectory reads and checks all branches. A directory without a root belongs
// to one member; each of its branches is checked by itself. The documents are
// complete only if there are no findings.
func checkDirectory(dir string) (tree.Documents, *CheckResult) {
	docs, findings := tree.ReadFS(os.DirFS(dir), filepath.ToSlash(dir))
	partial := docs[tree.Root] == nil && len(docs) > 0
	if len(findings) == 0 && !partial {
		_, findings = tree.Build(docs)
	}
	return docs, &CheckResult{Documents: len(docs), Partial: partial, Findings: findings.Sorted()}
}

func checkSingleFile(path string, branch tree.Branch) *CheckResult {
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

// checkFileWithParents checks a file together with its parent branches.
func checkFileWithParents(path string) *CheckResult {
	r := &CheckResult{}
	docs := make(tree.Documents)
	dir, branch := locateBranch(path)
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

// locateBranch returns the root directory of the tree that contains the file, and
// the file's branch. It goes up while the parent directory has a branch file. A
// file with a name other than tree.FileName is a root.
func locateBranch(path string) (dir string, branch tree.Branch) {
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
