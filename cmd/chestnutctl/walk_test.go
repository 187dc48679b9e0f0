package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/ctl"
	"chestnutrouter.example/chestnutrouter/internal/proctest"
)

// walk is a fleet of entry processes and the directory of an operator.
type walk struct {
	t       *testing.T
	fleet   *proctest.Fleet
	entries []*proctest.Entry
	dir     string
}

func newWalk(t *testing.T, entries int) *walk {
	t.Helper()
	dir := t.TempDir()
	binaries, err := proctest.Build(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	w := &walk{t: t, fleet: proctest.NewFleet(dir, binaries), dir: copyTree(t)}
	t.Cleanup(w.fleet.Close)
	for i := range entries {
		e, err := w.fleet.StartEntry(fmt.Sprint("entry-", i), "zone-a")
		if err != nil {
			t.Fatal(err)
		}
		w.entries = append(w.entries, e)
	}
	return w
}

// run runs chestnutctl for a publisher; it must succeed.
func (w *walk) run(publisher string, args ...string) string {
	w.t.Helper()
	out, err := w.fleet.RunCtl(w.t.Context(), append([]string{"--publisher", publisher}, args...)...)
	if err != nil {
		w.t.Fatal(err)
	}
	return out
}

// edit replaces a text in the root of a member's branch.
func (w *walk) edit(branch, from, to string) {
	w.t.Helper()
	file := filepath.Join(w.dir, branch, "branch.jsonc")
	content, err := os.ReadFile(file)
	if err != nil {
		w.t.Fatal(err)
	}
	changed := strings.Replace(string(content), from, to, 1)
	if err := os.WriteFile(file, []byte(changed), 0o644); err != nil || changed == string(content) {
		w.t.Fatalf("edit %s: %v", file, err)
	}
}

// proposal returns the only pending proposal.
func (w *walk) proposal() string {
	w.t.Helper()
	var shown ctl.ShowResult
	if err := json.Unmarshal([]byte(w.run("x", "show", "--json")), &shown); err != nil || len(shown.Proposals) != 1 {
		w.t.Fatalf("%v: proposals %v", err, shown.Proposals)
	}
	return shown.Proposals[0].ID
}

// TestOperatorsWalk publishes, votes and looks at the result on real entries.
func TestOperatorsWalk(t *testing.T) {
	w := newWalk(t, 3)
	out := w.run("glazenpot/ann", "publish", w.dir, "--wait")
	if strings.Count(out, "entry entry-") != len(w.entries) {
		t.Errorf("not all entries reported:\n%s", out)
	}

	w.edit("glazenpot", "25000", "24000")
	w.run("glazenpot/ann", "publish", w.dir)
	id := w.proposal()
	w.run("glazenpot/ann", "approve", id, "--directory", w.dir, "--wait")
	out = w.run("tabloblan/cleo", "approve", id, "--wait")
	if !strings.Contains(out, "proposal "+id+" on /glazenpot: accepted") {
		t.Errorf("not accepted:\n%s", out)
	}
	if out = w.run("x", "show", "--branch", "/glazenpot"); !strings.Contains(out, "24000") {
		t.Errorf("not in force:\n%s", out)
	}
	w.run("x", "status")
}

// TestWaitNamesAFrozenEntry shows that --wait tells when an entry has not the
// change in force, and that it has once it goes on.
func TestWaitNamesAFrozenEntry(t *testing.T) {
	w := newWalk(t, 2)
	w.run("glazenpot/ann", "publish", w.dir, "--wait")
	if err := w.entries[1].Pause(); err != nil {
		t.Fatal(err)
	}
	w.edit("glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	_, err := w.fleet.RunCtl(t.Context(), "--publisher", "glazenpot/ann", "publish", w.dir, "--wait", "--timeout", "3s")
	if err == nil || !strings.Contains(err.Error(), "exit status 3") || !strings.Contains(err.Error(), "1 of 2 live entries have not reported it") {
		t.Errorf("got %v", err)
	}
	if err := w.entries[1].Resume(); err != nil {
		t.Fatal(err)
	}
	w.run("glazenpot/ann", "publish", w.dir, "--wait")
}
