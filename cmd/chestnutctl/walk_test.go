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

// fleetHarness holds a fleet of entry processes and an operator's directory.
type fleetHarness struct {
	t       *testing.T
	fleet   *proctest.Fleet
	entries []*proctest.Entry
	dir     string
}

func newFleetHarness(t *testing.T, entries int) *fleetHarness {
	t.Helper()
	dir := t.TempDir()
	binaries, err := proctest.Build(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	h := &fleetHarness{t: t, fleet: proctest.NewFleet(dir, binaries), dir: copyTree(t)}
	t.Cleanup(h.fleet.Close)
	for i := range entries {
		e, err := h.fleet.StartEntry(fmt.Sprint("entry-", i), "zone-a")
		if err != nil {
			t.Fatal(err)
		}
		h.entries = append(h.entries, e)
	}
	return h
}

// run runs chestnutctl for a publisher and fails the test if it fails.
func (h *fleetHarness) run(publisher string, args ...string) string {
	h.t.Helper()
	out, err := h.fleet.RunCtl(h.t.Context(), append([]string{"--publisher", publisher}, args...)...)
	if err != nil {
		h.t.Fatal(err)
	}
	return out
}

// replaceInBranch replaces the first occurrence of a text in the file of a branch.
func (h *fleetHarness) replaceInBranch(branch, from, to string) {
	h.t.Helper()
	file := filepath.Join(h.dir, branch, "branch.jsonc")
	content, err := os.ReadFile(file)
	if err != nil {
		h.t.Fatal(err)
	}
	changed := strings.Replace(string(content), from, to, 1)
	if err := os.WriteFile(file, []byte(changed), 0o644); err != nil || changed == string(content) {
		h.t.Fatalf("edit %s: error %v, or the text to replace was not found", file, err)
	}
}

// pendingProposal returns the only pending pendingProposal.
func (h *fleetHarness) pendingProposal() string {
	h.t.Helper()
	var shown ctl.ShowResult
	if err := json.Unmarshal([]byte(h.run("x", "show", "--json")), &shown); err != nil || len(shown.Proposals) != 1 {
		h.t.Fatalf("show: error %v, proposals %v, want exactly one", err, shown.Proposals)
	}
	return shown.Proposals[0].ID
}

// TestOperatorsWalk publishes, votes and checks the result with entry processes.
func TestOperatorsWalk(t *testing.T) {
	h := newFleetHarness(t, 3)
	out := h.run("glazenpot/ann", "publish", h.dir, "--wait")
	if strings.Count(out, "entry entry-") != len(h.entries) {
		t.Errorf("want a status line of each of the 3 entries:\n%s", out)
	}

	h.replaceInBranch("glazenpot", "25000", "24000")
	h.run("glazenpot/ann", "publish", h.dir)
	id := h.pendingProposal()
	h.run("glazenpot/ann", "approve", id, "--directory", h.dir, "--wait")
	out = h.run("tabloblan/cleo", "approve", id, "--wait")
	if !strings.Contains(out, "proposal "+id+" on /glazenpot: accepted") {
		t.Errorf("want the proposal accepted:\n%s", out)
	}
	if out = h.run("x", "show", "--branch", "/glazenpot"); !strings.Contains(out, "24000") {
		t.Errorf("want the active /glazenpot to contain 24000:\n%s", out)
	}
	h.run("x", "status")
}

// TestWaitNamesAPausedEntry pauses an entry during a publish with --wait. The
// command must report that the entry has not applied the change. After the entry
// has resumed, another publish with --wait must succeed.
func TestWaitNamesAPausedEntry(t *testing.T) {
	h := newFleetHarness(t, 2)
	h.run("glazenpot/ann", "publish", h.dir, "--wait")
	if err := h.entries[1].Pause(); err != nil {
		t.Fatal(err)
	}
	h.replaceInBranch("glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	_, err := h.fleet.RunCtl(t.Context(), "--publisher", "glazenpot/ann", "publish", h.dir, "--wait", "--timeout", "3s")
	if err == nil || !strings.Contains(err.Error(), "exit status 3") || !strings.Contains(err.Error(), "1 of 2 live entries have not reported it") {
		t.Errorf("got error %v, want exit status 3 and that 1 of 2 live entries have not reported the offset", err)
	}
	if err := h.entries[1].Resume(); err != nil {
		t.Fatal(err)
	}
	h.run("glazenpot/ann", "publish", h.dir, "--wait")
}
