package tree

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// validTree is a valid tree; the tests below invalidate one value at a time.
var validTree = map[Branch]string{
	"/": `{"members": ["a", "b"], "quorum": 2, "seats": 4,
"ranks": [{"name": "pay", "order": 1, "target_ms": 100, "queue_length": 9, "queue_bytes": 99, "kept_share": 0.5, "streams": 4, "limits": {"calls_per_second": 70}},
{"name": "look", "order": 2, "target_ms": 100, "queue_length": 9, "queue_bytes": 99, "kept_share": 0.5}],
"budgets": {"probes_per_second": 10, "retry_share": 0.1, "hedge_share": 0.1},
"limits": {"calls_per_second": 100}}`,
	"/a":          `{"limits": {"calls_per_second": 80}, "budgets": {"probes_per_second": 5}}`,
	"/a/shop":     `{"hosts": ["shop.example"], "routes": [{"path_prefix": "/", "rank": "pay", "max_body_bytes": 9, "timeout_ms": 50}], "connections_per_server": 9, "slots_per_server": 3}`,
	"/a/shop/pay": `{"queue_length": 5, "limits": {"calls_per_second": 60}}`,
}

func parseAll(t *testing.T, texts map[Branch]string) (Documents, []string) {
	t.Helper()
	docs := make(Documents)
	var messages []string
	for _, branch := range slices.Sorted(maps.Keys(texts)) {
		d, found := ParseDocument(branch, branch.File(), []byte(texts[branch]))
		for _, f := range found {
			messages = append(messages, f.String())
		}
		if d != nil {
			docs[branch] = d
		}
	}
	return docs, messages
}

func TestBuildInherits(t *testing.T) {
	docs, messages := parseAll(t, validTree)
	tr, found := Build(docs)
	if len(messages) > 0 || len(found) > 0 {
		t.Fatal(messages, found)
	}
	s := tr.Services[0]
	pay, _ := s.Rank("pay")
	if pay.QueueLength != 5 || pay.Target != 100*time.Millisecond || pay.Streams != 4 {
		t.Errorf("rank pay is %+v, want queue length 5, target 100ms and 4 streams", pay)
	}
	if s.Budgets != (Budgets{ProbesPerSecond: 5, RetryShare: 0.1, HedgeShare: 0.1}) {
		t.Errorf("budgets %+v, want 5 probes per second and shares of 0.1", s.Budgets)
	}
	if s.LoadReportHeader != "Load-Report" || s.Key() != "a/shop" {
		t.Errorf("service %+v, want key a/shop and the default load report header Load-Report", s)
	}
	want := []Limit{
		{CallsPerSecond: 100},
		{Scope: Scope{Rank: "pay"}, CallsPerSecond: 70},
		{Scope: Scope{Member: "a"}, CallsPerSecond: 80},
		{Scope: Scope{"a", "shop", "pay"}, CallsPerSecond: 60},
	}
	if !slices.Equal(tr.Limits, want) {
		t.Errorf("limits %+v, want those of the root, its rank pay, /a and /a/shop/pay", tr.Limits)
	}
}

func TestBuildFindings(t *testing.T) {
	for _, c := range []struct {
		name   string
		branch Branch
		old    string
		new    string
		want   string
	}{
		{"limit wider than root", "/a", `: 80`, `: 101`, "101 is wider than 100 of /"},
		{"limit wider than member", "/a/shop/pay", `: 60`, `: 81`, "81 is wider than 80 of /a"},
		{"limit wider than rank", "/a/shop/pay", `: 60`, `: 71`, "71 is wider than 70 of the root's rank pay"},
		{"root narrowed below its child", "/", `{"calls_per_second": 100}`, `{"calls_per_second": 75}`, "a/branch.jsonc:1:33: limits.calls_per_second: 80 is wider"},
		{"rank limit wider than root", "/", `: 70`, `: 170`, "ranks[0].limits.calls_per_second: 170 is wider"},
		{"budget", "/a", `: 5}`, `: 11}`, "budgets.probes_per_second: 11 is wider than 10 of /"},
		{"queue", "/a/shop/pay", `: 5,`, `: 10,`, "queue_length: 10 is wider than 9"},
		{"unknown rank", "/a/shop", `"pay"`, `"paid"`, `routes[0].rank: the root has no rank "paid"`},
		{"rank removed", "/", `"pay"`, `"paid"`, `a/shop/pay/branch.jsonc:1:1: the root has no rank "pay"`},
		{"member removed", "/", `["a", "b"]`, `["b", "c"]`, `a/branch.jsonc:1:1: the root has no member "a"`},
		{"quorum", "/", `"quorum": 2`, `"quorum": 3`, "branch.jsonc:1:35: quorum: out of range: 3 is more than the 2 members"},
		{"kept shares", "/", `"kept_share": 0.5}`, `"kept_share": 0.6}`, "ranks: kept shares add up to 1.1"},
		{"same order", "/", `"order": 2`, `"order": 1`, `ranks[1].order: order 1 is already that of rank "pay"`},
		{"body never fits", "/a/shop", `"max_body_bytes": 9`, `"max_body_bytes": 100`, "100 is more than queue_bytes 99"},
		{"own path", "/a/shop", `"/"`, `"/chestnut/v1/"`, "paths under /chestnut/v1/ are the system's own"},
		{"unclean path", "/a/shop", `"/"`, `"/a/../b"`, "expected a clean path"},
		{"host with port", "/a/shop", `shop.example`, `shop.example:80`, "expected lower case and no port"},
		{"own header", "/a/shop", `"slots`, `"load_shed_header": "Chestnut-Outcome", "slots`, "one of the system's own headers"},
		{"no budget", "/", `"retry_share": 0.1, `, ``, "budgets.retry_share: missing field"},
	} {
		t.Run(c.name, func(t *testing.T) {
			texts := maps.Clone(validTree)
			if !strings.Contains(texts[c.branch], c.old) {
				t.Fatalf("%s does not contain %q", c.branch, c.old)
			}
			texts[c.branch] = strings.Replace(texts[c.branch], c.old, c.new, 1)
			docs, messages := parseAll(t, texts)
			tr, found := Build(docs)
			all := strings.Join(messages, "\n") + found.Error()
			if len(messages) == 0 && tr != nil {
				t.Errorf("Build returned a tree, want findings")
			}
			if !strings.Contains(all, c.want) {
				t.Errorf("got %q, want %q", all, c.want)
			}
		})
	}
}

func TestBuildChecksAcrossBranches(t *testing.T) {
	texts := maps.Clone(validTree)
	texts["/b"] = "{}"
	texts["/b/other"] = texts["/a/shop"]
	texts["/b/none/pay"] = "{}"
	docs, _ := parseAll(t, texts)
	_, found := Build(docs)
	if !strings.Contains(found.Error(), "branch /b/none/pay has no parent /b/none") {
		t.Errorf("findings %q, want the missing parent of /b/none/pay", found.Error())
	}
	_, found = Build(docs.Without("/b/none/pay"))
	if !strings.Contains(found.Error(), `b/other/branch.jsonc:1:12: hosts[0]: host "shop.example" already belongs to /a/shop`) {
		t.Errorf("findings %q, want the host that /b/other shares with /a/shop", found.Error())
	}
	if _, found = Build(Documents{}); len(found) != 1 {
		t.Errorf("no documents: findings %q, want exactly one", found.Error())
	}
}

func TestBuildBoundsTheSize(t *testing.T) {
	docs, _ := parseAll(t, validTree)
	filler := "{} //" + strings.Repeat("x", 60<<10) + "\n"
	for i := range 40 {
		branch := Branch(fmt.Sprintf("/a/service%d", i))
		d, found := ParseDocument(branch, "f", []byte(strings.Replace(validTree["/a/shop"], "shop.example", fmt.Sprintf("s%d", i), 1)+filler[2:]))
		if len(found) > 0 {
			t.Fatal(found)
		}
		docs = docs.With(d)
	}
	if _, found := Build(docs); !strings.Contains(found.Error(), "which is more than 2097152") {
		t.Errorf("findings %q, want that the branches exceed MaxBytes", found.Error())
	}
}

func TestRouteShadowing(t *testing.T) {
	for _, c := range []struct {
		first, second RouteDocument
		want          bool
	}{
		{RouteDocument{PathPrefix: "/"}, RouteDocument{PathPrefix: "/x", Methods: []string{"GET"}}, true},
		{RouteDocument{PathPrefix: "/x"}, RouteDocument{PathPrefix: "/xy"}, false},
		{RouteDocument{PathPrefix: "/x/"}, RouteDocument{PathPrefix: "/x"}, true},
		{RouteDocument{PathPrefix: "/", Methods: []string{"GET"}}, RouteDocument{PathPrefix: "/"}, false},
		{RouteDocument{PathPrefix: "/", Methods: []string{"GET", "HEAD"}}, RouteDocument{PathPrefix: "/", Methods: []string{"HEAD"}}, true},
	} {
		if got := covers(c.first, c.second); got != c.want {
			t.Errorf("%+v covers %+v: got %v, want the opposite", c.first, c.second, got)
		}
	}
}

func TestParseBranch(t *testing.T) {
	for text, level := range map[string]Level{"/": LevelRoot, "/a": LevelMember, "/a/b-c": LevelService, "/a/b/c": LevelRank, "/a/approvals": LevelApprovals} {
		b, err := ParseBranch(text)
		if err != nil || b.Level() != level {
			t.Errorf("%q: error %v, unexpected level %d", text, err, b.Level())
		}
	}
	for _, text := range []string{"", "a", "/a/", "//", "/A", "/a/b/c/d", "/a b", "/-a", "/..", "/a/../b", "/a/approvals/b"} {
		if _, err := ParseBranch(text); err == nil {
			t.Errorf("%q was accepted as a branch", text)
		}
	}
}

func TestExampleTreeIsValid(t *testing.T) {
	docs, found := ReadFS(os.DirFS("../../examples/tree"), "examples/tree")
	if len(found) > 0 {
		t.Fatal(found)
	}
	tr, found := Build(docs)
	if len(found) > 0 {
		t.Fatal(found)
	}
	if len(tr.Services) != 4 || len(docs) != 14 {
		t.Errorf("%d services in %d branches, want 4 in 14", len(tr.Services), len(docs))
	}
	m, ok := tr.Match("booking.tabloblan.example", "POST", "/deposits")
	if !ok || m.Rank.Name != "payments" || m.Route.Idempotent {
		t.Errorf("POST /deposits matched %+v, want a non-idempotent route of rank payments", m)
	}
}
