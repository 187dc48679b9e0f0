package main

import (
	"encoding/json"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

const serviceText = `{
  "hosts": ["service-%[1]d.example", "alias-%[1]d.example"],
  "routes": [
    {"methods": ["POST"], "path_prefix": "/orders", "rank": "payments", "max_body_bytes": 65536, "timeout_ms": %[2]d},
    {"methods": ["PUT"], "path_prefix": "/scans", "rank": "uploads", "upload": true, "idempotent": true, "max_body_bytes": 268435456, "timeout_ms": 1800000},
    {"path_prefix": "/", "rank": "lookups", "idempotent": true, "max_body_bytes": 0, "timeout_ms": 2000}
  ],
  "connections_per_server": 250,
  "slots_per_server": 3,
  "limits": {"calls_per_second": 20000}
}`

const rootText = `{"members": ["glazenpot", "tabloblan"], "quorum": 2, "seats": 61,
"ranks": [
  {"name": "payments", "order": 1, "target_ms": 2000, "queue_length": 256, "queue_bytes": 16777216, "kept_share": 0.5},
  {"name": "lookups", "order": 2, "target_ms": 500, "queue_length": 256, "queue_bytes": 16777216, "kept_share": 0.3},
  {"name": "uploads", "order": 3, "target_ms": 600000, "queue_length": 64, "queue_bytes": 16777216, "kept_share": 0.1, "streams": 24}],
"budgets": {"probes_per_second": 20, "retry_share": 0.1, "hedge_share": 0.05},
"limits": {"calls_per_second": 41000}}`

func configurationMeasurements() []measurement {
	sizes := []int{7, 29, 58, 116}
	return []measurement{
		{
			name: "heap of the folded state, by services", unit: "B/service", sizes: sizes,
			value: stateHeap,
		},
		{
			name: "processor time of one accepted publish, by services", unit: "us/service", sizes: sizes,
			value: applyCPU,
		},
		{
			name: "bytes of a snapshot, by services", unit: "B/service", sizes: sizes,
			value: func(size int) (float64, error) {
				s, err := initialState(size)
				if err != nil {
					return 0, err
				}
				data, err := json.Marshal(s)
				return float64(len(data)), err
			},
		},
		{
			name: "bytes of publishes, by records", unit: "B/record", sizes: []int{10, 100, 1000},
			value: recordBytes,
		},
	}
}

// initialState returns the state after the initial publish of a tree with that many
// services.
func initialState(services int) (*statemachine.State, error) {
	s := statemachine.Empty()
	data, err := initialPublish(services).Encode()
	if err != nil {
		return nil, err
	}
	next, decision := s.Apply(0, data)
	if decision.Outcome != statemachine.Accepted {
		return nil, fmt.Errorf("initial publish was not accepted: %v", decision)
	}
	return next, nil
}

func initialPublish(services int) statemachine.Record {
	p := statemachine.Publish{Branch: "/", Content: rootText, Publisher: "glazenpot", PublishID: "founding"}
	for _, member := range []string{"/glazenpot", "/tabloblan"} {
		p.Children = append(p.Children,
			statemachine.Child{Branch: member, Content: "{}"},
			statemachine.Child{Branch: member + "/approvals", Content: `{"approve": []}`})
	}
	for i := range services {
		p.Children = append(p.Children, statemachine.Child{Branch: serviceBranch(i), Content: serviceContent(i, 1000)})
	}
	return statemachine.NewPublish(p)
}

func serviceBranch(i int) string {
	return []string{"/glazenpot", "/tabloblan"}[i%2] + fmt.Sprintf("/service-%d", i)
}

func serviceContent(i, timeoutMs int) string { return fmt.Sprintf(serviceText, i, timeoutMs) }

// serviceChange returns the record of the nth change of the first service.
func serviceChange(n int, base int64) (json.RawMessage, error) {
	return statemachine.NewPublish(statemachine.Publish{
		Branch:       serviceBranch(0),
		BaseRevision: base,
		Content:      serviceContent(0, 1001+n),
		Publisher:    "glazenpot/operator",
		PublishID:    fmt.Sprintf("%032d", n),
	}).Encode()
}

func stateHeap(size int) (float64, error) {
	var failed error
	heap := heapOf(func() any {
		s, err := initialState(size)
		failed = err
		return s
	})
	return heap, failed
}

func applyCPU(size int) (float64, error) {
	s, err := initialState(size)
	if err != nil {
		return 0, err
	}
	data, err := serviceChange(0, 1)
	if err != nil {
		return 0, err
	}
	if _, decision := s.Apply(1, data); decision.Outcome != statemachine.Accepted {
		return 0, fmt.Errorf("publish was not accepted: %v", decision)
	}
	return cpuOf(func() { s.Apply(1, data) }), nil
}

func recordBytes(size int) (float64, error) {
	total := 0
	for n := range size {
		data, err := serviceChange(n, int64(n))
		if err != nil {
			return 0, err
		}
		total += len(data)
	}
	return float64(total), nil
}
