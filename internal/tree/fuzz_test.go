package tree

import (
	"maps"
	"os"
	"testing"
)

// FuzzDocument parses any text as the document of any level and builds the
// example tree with it.
func FuzzDocument(f *testing.F) {
	example, findings := ReadFS(os.DirFS("../../examples/tree"), "")
	if len(findings) > 0 {
		f.Fatal(findings)
	}
	branches := example.Branches()
	for i, b := range branches {
		f.Add(i, example[b].Content)
	}
	f.Fuzz(func(t *testing.T, n int, content string) {
		branch := branches[uint(n)%uint(len(branches))]
		d, findings := ParseDocument(branch, branch.File(), []byte(content))
		if (d == nil) == (len(findings) == 0) {
			t.Fatalf("document %v with findings %v", d, findings)
		}
		if d == nil {
			return
		}
		tr, findings := Build(example.With(d))
		if (tr == nil) == (len(findings) == 0) {
			t.Fatalf("tree %v with findings %v", tr, findings)
		}
		if tr != nil {
			checkNested(t, tr)
		}
	})
}

// checkNested checks that no limit is wider than one of a scope around it.
func checkNested(t *testing.T, tr *Tree) {
	t.Helper()
	for _, inner := range tr.Limits {
		s := inner.Scope
		for _, outer := range tr.Limits {
			around := outer.Covers(s.Member, s.Service, s.Rank)
			if around && (wider(inner.CallsPerSecond, outer.CallsPerSecond) || wider(inner.ConcurrentCalls, outer.ConcurrentCalls)) {
				t.Errorf("%+v is wider than %+v", inner, outer)
			}
		}
	}
}

func TestDocumentsAreNotChangedByWith(t *testing.T) {
	docs, _ := parseAll(t, small)
	before := maps.Clone(docs)
	d, _ := ParseDocument("/b", "b", []byte("{}"))
	docs.With(d)
	docs.Without("/a")
	if !maps.Equal(before, docs) {
		t.Errorf("documents changed")
	}
}
