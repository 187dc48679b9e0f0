package tree

import (
	"io/fs"
	"path"
	"strings"

	"chestnutrouter.example/chestnutrouter/internal/finding"
)

// ReadFS reads the documents of a directory in which each branch has a file
// branch.jsonc. Prefix is prepended to the file names in findings. Documents
// with findings are omitted. Hidden directories are skipped.
func ReadFS(fsys fs.FS, prefix string) (Documents, finding.List) {
	docs := make(Documents)
	var found finding.List
	_ = fs.WalkDir(fsys, ".", func(name string, entry fs.DirEntry, err error) error {
		file := path.Join(prefix, name)
		if err != nil {
			found = append(found, finding.Finding{File: file, Message: err.Error()})
			return nil
		}
		if entry.IsDir() {
			return skipHidden(name)
		}
		if path.Base(name) != FileName {
			return nil
		}
		d, findings := readDocument(fsys, name, file)
		found = append(found, findings...)
		if d != nil {
			docs[d.Branch] = d
		}
		return nil
	})
	return docs, found.Sorted()
}

func skipHidden(name string) error {
	if name != "." && strings.HasPrefix(path.Base(name), ".") {
		return fs.SkipDir
	}
	return nil
}

func readDocument(fsys fs.FS, name, file string) (*Document, finding.List) {
	branch, err := ParseBranch("/" + strings.TrimPrefix(path.Dir(name), "."))
	if err != nil {
		return nil, finding.List{{File: file, Message: err.Error()}}
	}
	content, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, finding.List{{File: file, Message: err.Error()}}
	}
	return ParseDocument(branch, file, content)
}
