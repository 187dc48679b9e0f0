package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const exampleTree = "../../examples/tree"

// run runs chestnutctl in this process and returns its output and exit code.
func run(t *testing.T, args ...string) (string, ExitCode) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Main(t.Context(), args, &stdout, &stderr)
	return stdout.String() + stderr.String(), code
}

func TestCheckPrintsEveryFindingWithPosition(t *testing.T) {
	out, code := run(t, "check", "testdata/three-faults.jsonc")
	if code != ExitRefused {
		t.Errorf("exit code %d, want 1", code)
	}
	goldie.New(t).Assert(t, "three-faults", []byte(out))
}

func TestCheckOfTheExampleTree(t *testing.T) {
	for _, path := range []string{
		exampleTree,
		exampleTree + "/branch.jsonc",
		exampleTree + "/glazenpot/shop/payments/branch.jsonc",
		exampleTree + "/tabloblan/approvals/branch.jsonc",
	} {
		if out, code := run(t, "check", path); code != ExitOK {
			t.Errorf("check %s: exit code %d, want 0\n%s", path, code, out)
		}
	}
}

func TestCheckOfAFileReadsItsParents(t *testing.T) {
	dir := copyTree(t)
	replaceInBranch(t, dir, "glazenpot/shop/payments", `"calls_per_second": 400`, `"calls_per_second": 30000`)
	file := filepath.Join(dir, "glazenpot/shop/payments/branch.jsonc")
	out, code := run(t, "check", file)
	if code != ExitRefused || !strings.Contains(out, file+":5:35: limits.calls_per_second: 30000 is wider than 20000 of /glazenpot/shop") {
		t.Errorf("exit code %d, want 1 with the finding that 30000 exceeds 20000\n%s", code, out)
	}
	if out, code := run(t, "check", file, "--branch", "/glazenpot/shop/payments"); code != ExitOK {
		t.Errorf("file checked by itself: exit code %d, want 0\n%s", code, out)
	}
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{
		{},
		{"check", "no-such-file"},
		{"show"},
		{"publish", exampleTree, "--platform", "http://127.0.0.1:1"},
		{"publish", exampleTree, "--platform", "http://127.0.0.1:1", "--publisher", "glazenpot", "--base", "3"},
		{"approve", "17", "--platform", "http://127.0.0.1:1", "--publisher", "glazenpot"},
		{"show", "--branch", "glazenpot", "--platform", "http://127.0.0.1:1"},
	} {
		if out, code := run(t, args...); code != ExitUsage {
			t.Errorf("%q: exit code %d, want 2\n%s", args, code, out)
		}
	}
}

// copyTree copies the example tree to a temporary directory and returns that.
func copyTree(t *testing.T) string {
	t.Helper()
	return copyDirectory(t, exampleTree)
}

func copyDirectory(t *testing.T, source string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "tree")
	if err := os.CopyFS(dir, os.DirFS(source)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// replaceInBranch replaces the first occurrence of a text in the file of a branch.
func replaceInBranch(t *testing.T, dir, branch, from, to string) {
	t.Helper()
	file := filepath.Join(dir, branch, "branch.jsonc")
	content, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(content), from, to, 1)
	if changed == string(content) {
		t.Fatalf("%s does not contain %q", file, from)
	}
	if err := os.WriteFile(file, []byte(changed), 0o644); err != nil {
		t.Fatal(err)
	}
}
