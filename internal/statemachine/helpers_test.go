package statemachine

import (
	"encoding/json"
	"fmt"
	"testing"
)

// rootText returns the document of a root with members a, b and c.
func rootText(quorum, callsPerSecond int) string {
	return fmt.Sprintf(`{"members": ["a", "b", "c"], "quorum": %d, "seats": 4,
"ranks": [{"name": "pay", "order": 1, "target_ms": 100, "queue_length": 9, "queue_bytes": 99, "kept_share": 0.5}],
"budgets": {"probes_per_second": 10, "retry_share": 0.1, "hedge_share": 0.1},
"limits": {"calls_per_second": %d}}`, quorum, callsPerSecond)
}

func approvals(ids ...string) string {
	data, err := json.Marshal(map[string][]string{"approve": append([]string{}, ids...)})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func limitText(callsPerSecond int) string {
	return fmt.Sprintf(`{"limits": {"calls_per_second": %d}}`, callsPerSecond)
}

const serviceText = `{"hosts": ["shop.example"], "routes": [{"path_prefix": "/", "rank": "pay", "max_body_bytes": 9, "timeout_ms": 50}], "connections_per_server": 9, "slots_per_server": 3}`

// history is a log that applies each record as it is added.
type history struct {
	state   *State
	records []json.RawMessage
	ids     int
}

func newHistory() *history { return &history{state: Empty()} }

func (h *history) add(data json.RawMessage) Decision {
	var d Decision
	h.state, d = h.state.Apply(int64(len(h.records)), data)
	h.records = append(h.records, data)
	return d
}

func (h *history) publish(p Publish) Decision {
	if p.PublishID == "" {
		h.ids++
		p.PublishID = fmt.Sprintf("id-%d", h.ids)
	}
	return h.add(encode(NewPublish(p)))
}

// publishInitialTree publishes a tree of three members, whose revision is 1.
func (h *history) publishInitialTree(t testing.TB, quorum int) {
	t.Helper()
	p := Publish{Branch: "/", Content: rootText(quorum, 100), Publisher: "a/ann"}
	for _, member := range []string{"a", "b", "c"} {
		p.Children = append(p.Children,
			Child{Branch: "/" + member, Content: limitText(80)},
			Child{Branch: "/" + member + "/approvals", Content: approvals()})
	}
	if d := h.publish(p); d.Outcome != Accepted || d.Revision != 1 {
		t.Fatalf("initial publish: %+v, want accepted with revision 1", d)
	}
}

// approve publishes the approvals of a member, based on the active revision.
func (h *history) approve(member string, ids ...string) Decision {
	branch := "/" + member + "/approvals"
	base := int64(0)
	if active, ok := h.state.Branch(branchOf(branch)); ok {
		base = active.Revision
	}
	return h.publish(Publish{Branch: branch, BaseRevision: base, Content: approvals(ids...), Publisher: member})
}

func encode(r Record) json.RawMessage {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return data
}
