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

// bench is a stand-in platform on loopback and a copy of the example tree.
type bench struct {
	t        *testing.T
	platform *standin.Server
	endpoint string
	dir      string
}

func newBench(t *testing.T) *bench {
	t.Helper()
	p := standin.New()
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return &bench{t: t, platform: p, endpoint: server.URL, dir: copyTree(t)}
}

// run runs chestnutctl for a publisher and checks the exit code.
func (b *bench) run(want ExitCode, publisher string, args ...string) string {
	b.t.Helper()
	args = append([]string{"--platform", b.endpoint, "--publisher", publisher, "--timeout", "3s"}, args...)
	out, code := run(b.t, args...)
	if code != want {
		b.t.Fatalf("%q: exit code %d, want %d\n%s", args, code, want, out)
	}
	return out
}

func (b *bench) contains(out string, parts ...string) {
	b.t.Helper()
	for _, part := range parts {
		if !strings.Contains(out, part) {
			b.t.Errorf("%q is not in\n%s", part, out)
		}
	}
}

func TestPublishOnlyWhatDiffers(t *testing.T) {
	b := newBench(t)
	out := b.run(ExitOK, "glazenpot/ann", "publish", b.dir, "--dry-run")
	b.contains(out, "add / (revision 0 in force)", "add /tabloblan/booking")
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "offset 0: accepted / revision 1 by glazenpot/ann")
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "nothing differs")

	edit(t, b.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	out = b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	b.contains(out, "change /glazenpot/shop (revision 1 in force)", "~ routes[2].timeout_ms: 2000 -> 1500", "accepted /glazenpot/shop revision 2")
	b.contains(b.run(ExitOK, "x", "show"), "offset 1, revision 2", "/glazenpot/shop revision 2, offset 1, by glazenpot/ann")
	b.contains(b.run(ExitOK, "x", "show", "--branch", "/glazenpot/shop"), `"timeout_ms": 1500`)
	b.contains(b.run(ExitRefused, "x", "show", "--branch", "/glazenpot/none"), "not in force")
}

func TestVotedLimitComesInForceWithTheQuorum(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot", "25000", "24000")
	out := b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	b.contains(out, "needs a vote", "proposed /glazenpot p1")
	b.contains(b.run(ExitOK, "x", "show"), "pending p1 on /glazenpot by glazenpot/ann: approved by 0 of 2", "25000 -> 24000")
	b.contains(b.run(ExitRefused, "x", "approve", "p9"), "no proposal p9 is pending")
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "already proposed: /glazenpot waits for a vote as p1")

	b.run(ExitOK, "glazenpot/bob", "approve", "p1", "--directory", b.dir)
	b.contains(b.run(ExitRefused, "glazenpot/bob", "approve", "p1"), "already approves")
	out = b.run(ExitOK, "tabloblan/cleo", "approve", "p1")
	b.contains(out, "proposal p1 on /glazenpot: accepted at offset 3")
	b.contains(b.run(ExitRefused, "glazenpot/bob", "approve", "p1"), "accepted at offset 3")
	b.contains(b.run(ExitOK, "x", "show", "--branch", "/glazenpot"), "24000", "revision 4")
	b.contains(b.run(ExitOK, "x", "history", "--branch", "/glazenpot"), "offset 1: proposed", "proposal p1 on /glazenpot: accepted")

	content, err := os.ReadFile(b.dir + "/glazenpot/approvals/branch.jsonc")
	if err != nil || !strings.Contains(string(content), `"p1"`) || !strings.Contains(string(content), "// The proposals") {
		t.Errorf("approvals in the directory: %v\n%s", err, content)
	}
}

func TestWaitReportsAVoteThatDidNotPass(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot", "25000", "24000")
	out := b.run(ExitRefused, "glazenpot/ann", "publish", b.dir, "--wait", "--timeout", "300ms")
	b.contains(out, "proposal p1 is still pending")
}

func TestRefusals(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot/shop", `"timeout_ms": 1500`, `"timeout_ms": 1400`)
	out := b.run(ExitRefused, "glazenpot/bob", "publish", b.dir, "--branch", "/glazenpot/shop", "--base", "1")
	b.contains(out, "conflict /glazenpot/shop", "in force is revision 2 by glazenpot/ann", "~ routes[2].timeout_ms: 2000 -> 1500")
	b.contains(b.run(ExitOK, "tabloblan/cleo", "publish", b.dir), "not published: /glazenpot/shop differs and belongs to glazenpot")
	out = b.run(ExitRefused, "tabloblan/cleo", "publish", b.dir, "--branch", "/glazenpot/shop")
	b.contains(out, "not_allowed", "belongs to glazenpot, not to tabloblan")

	edit(t, b.dir, "glazenpot/shop", `"rank": "lookups"`, `"rank": "pages"`)
	b.contains(b.run(ExitRefused, "glazenpot/ann", "publish", b.dir), `routes[2].rank: the root has no rank "pages"`)
}

// An old checkout must not undo what others published.
func TestOutdatedDirectoryIsRefused(t *testing.T) {
	b := newBench(t)
	old := copyTree(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)

	edit(t, old, "glazenpot/intake", `"timeout_ms": 5000`, `"timeout_ms": 4000`)
	out := b.run(ExitRefused, "glazenpot/bob", "publish", old)
	b.contains(out, "out of date: /glazenpot/shop holds a content that revision 2 replaced", "accepted /glazenpot/intake revision 3")
	b.contains(b.run(ExitOK, "x", "show", "--branch", "/glazenpot/shop"), `"timeout_ms": 1500`)

	out = b.run(ExitOK, "glazenpot/bob", "publish", old, "--branch", "/glazenpot/shop", "--base", "2")
	b.contains(out, "accepted /glazenpot/shop revision 4")
}

// A member may keep its own branches alone.
func TestDirectoryOfOneMember(t *testing.T) {
	b := newBench(t)
	own := copyTree(t)
	for _, name := range []string{"branch.jsonc", "tabloblan"} {
		if err := os.RemoveAll(own + "/" + name); err != nil {
			t.Fatal(err)
		}
	}
	b.contains(b.run(ExitOK, "x", "check", own), "7 documents", "no root")
	b.contains(b.run(ExitRefused, "glazenpot/ann", "publish", own), "missing: the root comes first")
	b.run(ExitOK, "tabloblan/cleo", "publish", b.dir)
	edit(t, own, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", own, "--remove"), "accepted /glazenpot/shop revision 2")
	edit(t, own, "glazenpot/shop", `"rank": "lookups"`, `"rank": "pages"`)
	b.contains(b.run(ExitRefused, "glazenpot/ann", "publish", own), `routes[2].rank: the root has no rank "pages"`)
	b.contains(b.run(ExitOK, "x", "show"), "/tabloblan/booking revision 1", "offset 1")
}

// A record that no entry would take is not appended.
func TestTooLargeAFoundingIsNotAppended(t *testing.T) {
	b := newBench(t)
	comment := "// " + strings.Repeat("x", 50<<10) + "\n"
	for i := range 22 {
		dir := fmt.Sprintf("%s/glazenpot/extra-%d", b.dir, i)
		if err := os.Mkdir(dir, 0o755); err != nil {
			t.Fatal(err)
		}
		service := fmt.Sprintf(`{"hosts": ["x%d"], "connections_per_server": 1, "slots_per_server": 1,
"routes": [{"path_prefix": "/", "rank": "lookups", "max_body_bytes": 0, "timeout_ms": 1}]}`, i)
		if err := os.WriteFile(dir+"/branch.jsonc", []byte(comment+service), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b.contains(b.run(ExitRefused, "glazenpot/ann", "publish", b.dir), "bytes are more than")
	b.contains(b.run(ExitOK, "x", "show"), "offset -1")
}

func TestStatusReportsTwoStatesAtOneOffset(t *testing.T) {
	entries := []EntryStatus{{Offset: 3, Hash: "a"}, {Offset: 4, Hash: "b"}, {Offset: 4, Hash: "b"}, {Offset: -1, Error: "down"}}
	if _, split := splitAt(entries); split {
		t.Error("equal states are a split")
	}
	if offset, split := splitAt(append(entries, EntryStatus{Offset: 3, Hash: "c"})); !split || offset != 3 {
		t.Errorf("split %v at %d", split, offset)
	}
}

func TestRemovedBranches(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	if err := os.RemoveAll(b.dir + "/glazenpot/shop/uploads"); err != nil {
		t.Fatal(err)
	}
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "only in force: /glazenpot/shop/uploads")
	out := b.run(ExitOK, "glazenpot/ann", "publish", b.dir, "--remove")
	b.contains(out, "remove /glazenpot/shop/uploads", "accepted /glazenpot/shop/uploads revision 2")
}

func TestNarrowingTheRootComesAfterItsChildren(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "", "41000", "20000")
	edit(t, b.dir, "glazenpot", "25000", "20000")
	out := b.run(ExitRefused, "glazenpot/ann", "publish", b.dir)
	b.contains(out, "proposed /glazenpot p1", "blocked until other changes are in force: glazenpot/branch.jsonc")
}

func TestLostAnswersApplyOnce(t *testing.T) {
	b := newBench(t)
	b.platform.SetFaults(standin.Faults{LoseAppendResponses: 1, RepeatRecords: true, ReverseRecords: true})
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "accepted / revision 1")
	out := b.run(ExitOK, "x", "history", "--json")
	var h HistoryResult
	if err := json.Unmarshal([]byte(out), &h); err != nil || len(h.Decisions) != 1 {
		t.Errorf("%v: %d records", err, len(h.Decisions))
	}
}

func TestUnreachablePlatform(t *testing.T) {
	b := newBench(t)
	b.platform.SetFaults(standin.Faults{Down: true})
	b.run(ExitUnknown, "glazenpot/ann", "publish", b.dir, "--timeout", "300ms")
	b.run(ExitUnknown, "x", "show", "--timeout", "300ms")
	b.run(ExitUnknown, "x", "status", "--timeout", "300ms")
}

func TestWaitForEntries(t *testing.T) {
	b := newBench(t)
	offset := 0
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"vm": "entry-1", "incarnation": "i", "offset": %d, "hash": "h", "revision": 1}`, offset)
		offset++
	}))
	defer entry.Close()
	address := strings.TrimPrefix(entry.URL, "http://")
	b.platform.SetVMs([]fleet.VM{
		{Name: "entry-1", Service: fleet.EntryService, State: fleet.Live, StatusAddress: address},
		{Name: "entry-2", Service: fleet.EntryService, State: fleet.Leaving, StatusAddress: "127.0.0.1:1"},
	})
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	out := b.run(ExitOK, "glazenpot/ann", "publish", b.dir, "--wait")
	b.contains(out, "entry entry-1 "+address+": offset 1")
	b.contains(b.run(ExitOK, "x", "status"), "entry entry-1")
	b.contains(b.run(ExitOK, "x", "status", address), "revision 1")
	b.run(ExitUnknown, "x", "status", "127.0.0.1:1")
}
