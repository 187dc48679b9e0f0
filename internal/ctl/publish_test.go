package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// harness holds a stand-in platform on loopback and a copy of the example tree.
type harness struct {
	t        *testing.T
	platform *standin.Server
	endpoint string
	dir      string
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	p := standin.New()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return &harness{t: t, platform: p, endpoint: server.URL, dir: copyTree(t)}
}

// run runs chestnutctl for a publisher, checks the exit code and returns the output.
func (h *harness) run(want ExitCode, publisher string, args ...string) string {
	h.t.Helper()
	args = append([]string{"--platform", h.endpoint, "--publisher", publisher, "--timeout", "3s"}, args...)
	out, code := run(h.t, args...)
	if code != want {
		h.t.Fatalf("%q: exit code %d, want %d\n%s", args, code, want, out)
	}
	return out
}

func (h *harness) contains(out string, parts ...string) {
	h.t.Helper()
	for _, part := range parts {
		if !strings.Contains(out, part) {
			h.t.Errorf("want %q in the output:\n%s", part, out)
		}
	}
}

func TestPublishOnlyWhatDiffers(t *testing.T) {
	h := newHarness(t)
	out := h.run(ExitOK, "glazenpot/ann", "publish", h.dir, "--dry-run")
	h.contains(out, "add / (revision 0 in force)", "add /tabloblan/booking")
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "offset 0: accepted / revision 1 by glazenpot/ann")
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "nothing differs")

	replaceInBranch(t, h.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	out = h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	h.contains(out, "change /glazenpot/shop (revision 1 in force)", "~ routes[2].timeout_ms: 2000 -> 1500", "accepted /glazenpot/shop revision 2")
	h.contains(h.run(ExitOK, "x", "show"), "offset 1, revision 2", "/glazenpot/shop revision 2, offset 1, by glazenpot/ann")
	h.contains(h.run(ExitOK, "x", "show", "--branch", "/glazenpot/shop"), `"timeout_ms": 1500`)
	h.contains(h.run(ExitRefused, "x", "show", "--branch", "/glazenpot/none"), "not in force")
}

func TestGlobalLimitTakesEffectWithTheQuorum(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot", "25000", "24000")
	out := h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	h.contains(out, "needs a vote", "proposed /glazenpot p1")
	h.contains(h.run(ExitOK, "x", "show"), "pending p1 on /glazenpot by glazenpot/ann: approved by 0 of 2", "25000 -> 24000")
	h.contains(h.run(ExitRefused, "x", "approve", "p9"), "no proposal p9 is pending")
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "already proposed: /glazenpot waits for a vote as p1")

	h.run(ExitOK, "glazenpot/bob", "approve", "p1", "--directory", h.dir)
	h.contains(h.run(ExitRefused, "glazenpot/bob", "approve", "p1"), "already approves")
	out = h.run(ExitOK, "tabloblan/cleo", "approve", "p1")
	h.contains(out, "proposal p1 on /glazenpot: accepted at offset 3")
	h.contains(h.run(ExitRefused, "glazenpot/bob", "approve", "p1"), "accepted at offset 3")
	h.contains(h.run(ExitOK, "x", "show", "--branch", "/glazenpot"), "24000", "revision 4")
	h.contains(h.run(ExitOK, "x", "history", "--branch", "/glazenpot"), "offset 1: proposed", "proposal p1 on /glazenpot: accepted")

	content, err := os.ReadFile(h.dir + "/glazenpot/approvals/branch.jsonc")
	if err != nil || !strings.Contains(string(content), `"p1"`) || !strings.Contains(string(content), "// The proposals") {
		t.Errorf("approvals file: error %v, want p1 and the original comment in\n%s", err, content)
	}
}

func TestWaitReportsAVoteThatDidNotPass(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot", "25000", "24000")
	out := h.run(ExitRefused, "glazenpot/ann", "publish", h.dir, "--wait", "--timeout", "300ms")
	h.contains(out, "proposal p1 is still pending")
}

func TestRefusals(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot/shop", `"timeout_ms": 1500`, `"timeout_ms": 1400`)
	out := h.run(ExitRefused, "glazenpot/bob", "publish", h.dir, "--branch", "/glazenpot/shop", "--base", "1")
	h.contains(out, "conflict /glazenpot/shop", "in force is revision 2 by glazenpot/ann", "~ routes[2].timeout_ms: 2000 -> 1500")
	h.contains(h.run(ExitOK, "tabloblan/cleo", "publish", h.dir), "not published: /glazenpot/shop differs and belongs to glazenpot")
	out = h.run(ExitRefused, "tabloblan/cleo", "publish", h.dir, "--branch", "/glazenpot/shop")
	h.contains(out, "not_allowed", "belongs to glazenpot, not to tabloblan")

	replaceInBranch(t, h.dir, "glazenpot/shop", `"rank": "lookups"`, `"rank": "pages"`)
	h.contains(h.run(ExitRefused, "glazenpot/ann", "publish", h.dir), `routes[2].rank: the root has no rank "pages"`)
}

// Publishing an outdated copy of the directory must not undo later changes.
func TestOutdatedDirectoryIsRefused(t *testing.T) {
	h := newHarness(t)
	old := copyTree(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)

	replaceInBranch(t, old, "glazenpot/intake", `"timeout_ms": 5000`, `"timeout_ms": 4000`)
	out := h.run(ExitRefused, "glazenpot/bob", "publish", old)
	h.contains(out, "out of date: /glazenpot/shop holds a content that revision 2 replaced", "accepted /glazenpot/intake revision 3")
	h.contains(h.run(ExitOK, "x", "show", "--branch", "/glazenpot/shop"), `"timeout_ms": 1500`)

	out = h.run(ExitOK, "glazenpot/bob", "publish", old, "--branch", "/glazenpot/shop", "--base", "2")
	h.contains(out, "accepted /glazenpot/shop revision 4")
}

// A member may keep a directory that holds only its own branches.
func TestDirectoryOfOneMember(t *testing.T) {
	h := newHarness(t)
	own := copyTree(t)
	for _, name := range []string{"branch.jsonc", "tabloblan"} {
		if err := os.RemoveAll(own + "/" + name); err != nil {
			t.Fatal(err)
		}
	}
	h.contains(h.run(ExitOK, "x", "check", own), "7 documents", "no root")
	// The root branch is missing: the first publish must include it.
	h.contains(h.run(ExitRefused, "glazenpot/ann", "publish", own), "missing: the root comes first")
	h.run(ExitOK, "tabloblan/cleo", "publish", h.dir)
	replaceInBranch(t, own, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", own, "--remove"), "accepted /glazenpot/shop revision 2")
	replaceInBranch(t, own, "glazenpot/shop", `"rank": "lookups"`, `"rank": "pages"`)
	h.contains(h.run(ExitRefused, "glazenpot/ann", "publish", own), `routes[2].rank: the root has no rank "pages"`)
	h.contains(h.run(ExitOK, "x", "show"), "/tabloblan/booking revision 1", "offset 1")
}

// A record that every entry would reject must not be appended.
func TestTooLargeInitialTreeIsNotAppended(t *testing.T) {
	h := newHarness(t)
	comment := "// " + strings.Repeat("x", 50<<10) + "\n"
	for i := range 22 {
		dir := fmt.Sprintf("%s/glazenpot/extra-%d", h.dir, i)
		if err := os.Mkdir(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		service := fmt.Sprintf(`{"hosts": ["x%d"], "connections_per_server": 1, "slots_per_server": 1,
"routes": [{"path_prefix": "/", "rank": "lookups", "max_body_bytes": 0, "timeout_ms": 1}]}`, i)
		if err := os.WriteFile(dir+"/branch.jsonc", []byte(comment+service), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	h.contains(h.run(ExitRefused, "glazenpot/ann", "publish", h.dir), "bytes are more than")
	h.contains(h.run(ExitOK, "x", "show"), "offset -1")
}

func TestStatusReportsTwoStatesAtOneOffset(t *testing.T) {
	entries := []EntryStatus{{Offset: 3, Hash: "a"}, {Offset: 4, Hash: "b"}, {Offset: 4, Hash: "b"}, {Offset: -1, Error: "down"}}
	if _, diverged := findDivergence(entries); diverged {
		t.Error("equal hashes at each offset were reported as a divergence")
	}
	if offset, diverged := findDivergence(append(entries, EntryStatus{Offset: 3, Hash: "c"})); !diverged || offset != 3 {
		t.Errorf("diverged %v at offset %d, want true at 3", diverged, offset)
	}
}

func TestRemovedBranches(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	if err := os.RemoveAll(h.dir + "/glazenpot/shop/uploads"); err != nil {
		t.Fatal(err)
	}
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "only in force: /glazenpot/shop/uploads")
	out := h.run(ExitOK, "glazenpot/ann", "publish", h.dir, "--remove")
	h.contains(out, "remove /glazenpot/shop/uploads", "accepted /glazenpot/shop/uploads revision 2")
}

func TestNarrowingTheRootComesAfterItsChildren(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "", "41000", "20000")
	replaceInBranch(t, h.dir, "glazenpot", "25000", "20000")
	out := h.run(ExitRefused, "glazenpot/ann", "publish", h.dir)
	h.contains(out, "proposed /glazenpot p1", "blocked until other changes are in force: glazenpot/branch.jsonc")
}

func TestLostAnswersApplyOnce(t *testing.T) {
	h := newHarness(t)
	h.platform.SetFaults(standin.Faults{LoseAppendResponses: 1, RepeatRecords: true, ReverseRecords: true})
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "accepted / revision 1")
	out := h.run(ExitOK, "x", "history", "--json")
	var history HistoryResult
	if err := json.Unmarshal([]byte(out), &history); err != nil || len(history.Decisions) != 1 {
		t.Errorf("history: error %v, %d decisions, want 1", err, len(history.Decisions))
	}
}

func TestUnreachablePlatform(t *testing.T) {
	h := newHarness(t)
	h.platform.SetFaults(standin.Faults{Down: true})
	h.run(ExitUnknown, "glazenpot/ann", "publish", h.dir, "--timeout", "300ms")
	h.run(ExitUnknown, "x", "show", "--timeout", "300ms")
	h.run(ExitUnknown, "x", "status", "--timeout", "300ms")
}

func TestWaitForEntries(t *testing.T) {
	h := newHarness(t)
	offset := 0
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"vm": "entry-1", "incarnation": "i", "offset": %d, "hash": "h", "revision": 1}`, offset)
		offset++
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	h.platform.SetVMs([]fleet.VM{
		{Name: "entry-1", Service: fleet.EntryService, State: fleet.Live, StatusAddress: address},
		{Name: "entry-2", Service: fleet.EntryService, State: fleet.Leaving, StatusAddress: "127.0.0.1:1"},
	})
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	out := h.run(ExitOK, "glazenpot/ann", "publish", h.dir, "--wait")
	h.contains(out, "entry entry-1 "+address+": offset 1")
	h.contains(h.run(ExitOK, "x", "status"), "entry entry-1")
	h.contains(h.run(ExitOK, "x", "status", address), "revision 1")
	h.run(ExitUnknown, "x", "status", "127.0.0.1:1")
}
