package tree

import (
	"maps"
	"os"
	"testing"
)

// FuzzDocument parses arbitrary text as the document of a branch of any level and
// builds the example tree with it.
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
			t.Fatalf("got document %v and findings %v, want exactly one of them", d, findings)
		}
		if d == nil {
			return
		}
		tr, findings := Build(example.With(d))
		if (tr == nil) == (len(findings) == 0) {
			t.Fatalf("got tree %v and findings %v, want exactly one of them", tr, findings)
		}
		if tr != nil {
			checkLimitsNested(t, tr)
		}
	})
}

// checkLimitsNested checks that no limit exceeds that of an enclosing scope.
func checkLimitsNested(t *testing.T, tr *Tree) {
	t.Helper()
	for _, inner := range tr.Limits {
		scope := inner.Scope
		for _, outer := range tr.Limits {
			encloses := outer.Covers(scope.Member, scope.Service, scope.Rank)
			if encloses && (exceeds(inner.CallsPerSecond, outer.CallsPerSecond) || exceeds(inner.ConcurrentCalls, outer.ConcurrentCalls)) {
				t.Errorf("limit %+v exceeds the enclosing limit %+v", inner, outer)
			}
		}
	}
}

func TestDocumentsAreNotChangedByWith(t *testing.T) {
	docs, _ := parseAll(t, validTree)
	before := maps.Clone(docs)
	d, _ := ParseDocument("/b", "b", []byte("{}"))
	docs.With(d)
	docs.Without("/a")
	if !maps.Equal(before, docs) {
		t.Errorf("With or Without changed the documents that it was called on")
	}
}
