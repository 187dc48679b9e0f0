package statemachine

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// recordsPerDay is the specified number of configuration changes per day.
const recordsPerDay = 3300

// benchServices holds numbers of services. The specified target is 29 services with
// 770 backend servers, which are in the VM list and not in the tree.
var benchServices = []int{7, 29, 116}

const benchService = `// Service %[1]d.
{
  "hosts": ["service-%[1]d.example", "alias-%[1]d.example"],
  "routes": [
    {"methods": ["POST"], "path_prefix": "/orders", "rank": "payments", "max_body_bytes": 65536, "timeout_ms": %[2]d},
    {"methods": ["PUT"], "path_prefix": "/scans", "rank": "uploads", "upload": true, "idempotent": true, "max_body_bytes": 268435456, "timeout_ms": 1800000},
    {"methods": ["GET", "HEAD"], "path_prefix": "/", "rank": "lookups", "idempotent": true, "max_body_bytes": 0, "timeout_ms": 2000}
  ],
  "connections_per_server": 250,
  "slots_per_server": 3,
  "limits": {"calls_per_second": 20000}
}`

const benchRoot = `{"members": ["glazenpot", "tabloblan"], "quorum": 2, "seats": 20,
"ranks": [
  {"name": "payments", "order": 1, "target_ms": 2000, "queue_length": 256, "queue_bytes": 16777216, "kept_share": 0.5},
  {"name": "lookups", "order": 2, "target_ms": 500, "queue_length": 256, "queue_bytes": 16777216, "kept_share": 0.3},
  {"name": "uploads", "order": 3, "target_ms": 600000, "queue_length": 64, "queue_bytes": 16777216, "kept_share": 0.1, "streams": 24}],
"budgets": {"probes_per_second": 20, "retry_share": 0.1, "hedge_share": 0.05},
"limits": {"calls_per_second": 41000}}`

// benchInitialPublish returns the publish of an initial tree whose services have a
// branch for each of the three ranks and are divided among two members.
func benchInitialPublish(services int) Publish {
	p := Publish{Branch: "/", Content: benchRoot, Publisher: "glazenpot", PublishID: "founding"}
	for _, member := range []string{"/glazenpot", "/tabloblan"} {
		p.Children = append(p.Children, Child{member, "{}"}, Child{member + "/approvals", `{"approve": []}`})
	}
	for i := range services {
		branch := benchBranch(i)
		p.Children = append(p.Children,
			Child{branch, fmt.Sprintf(benchService, i, 1000)},
			Child{branch + "/payments", `{"target_ms": 1000, "queue_length": 128, "limits": {"calls_per_second": 400}}`},
			Child{branch + "/lookups", `{"target_ms": 400}`},
			Child{branch + "/uploads", `{"streams": 12, "limits": {"concurrent_calls": 96}}`})
	}
	return p
}

func benchBranch(i int) string {
	return []string{"/glazenpot", "/tabloblan"}[i%2] + fmt.Sprintf("/service-%d", i)
}

// benchDay returns the initial publish and the changes that follow; each is accepted.
func benchDay(services, records int) []json.RawMessage {
	day := []json.RawMessage{encode(NewPublish(benchInitialPublish(services)))}
	base := make([]int64, services)
	for n := range records {
		i := n % services
		if base[i] == 0 {
			base[i] = 1
		}
		branch := benchBranch(i)
		member, _, _ := strings.Cut(branch[1:], "/")
		day = append(day, encode(NewPublish(Publish{
			Branch:       branch,
			BaseRevision: base[i],
			Content:      fmt.Sprintf(benchService, i, 1001+n),
			Publisher:    member + "/operator",
			PublishID:    fmt.Sprintf("%032d", n),
		})))
		base[i] = int64(n + 2)
	}
	return day
}

// applyAll returns the state after all records.
func applyAll(b *testing.B, records []json.RawMessage) *State {
	b.Helper()
	s := Empty()
	for offset, data := range records {
		next, d := s.Apply(int64(offset), data)
		if d.Outcome != Accepted {
			b.Fatal(d, d.Findings)
		}
		s = next
	}
	return s
}

// BenchmarkApply measures one accepted publish on top of a day of records.
func BenchmarkApply(b *testing.B) {
	for _, services := range benchServices {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			day := benchDay(services, recordsPerDay)
			s := applyAll(b, day[:len(day)-1])
			b.ReportAllocs()
			for b.Loop() {
				s.Apply(recordsPerDay, day[recordsPerDay])
			}
		})
	}
}

// BenchmarkApplyDay measures applying the initial publish and a day of records.
func BenchmarkApplyDay(b *testing.B) {
	for _, services := range benchServices {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			day := benchDay(services, recordsPerDay)
			bytes := 0
			for _, data := range day {
				bytes += len(data)
			}
			for b.Loop() {
				applyAll(b, day)
			}
			b.ReportMetric(float64(bytes)/recordsPerDay, "log-B/record")
		})
	}
}

// BenchmarkSnapshot measures encoding a snapshot, and its size after up to a day of
// records.
func BenchmarkSnapshot(b *testing.B) {
	for _, services := range benchServices {
		for _, records := range []int{0, recordsPerDay / 10, recordsPerDay} {
			b.Run(fmt.Sprintf("services=%d/records=%d", services, records), func(b *testing.B) {
				s := applyAll(b, benchDay(services, records))
				size := 0
				for b.Loop() {
					data, err := json.Marshal(s.clone(s.offset))
					if err != nil {
						b.Fatal(err)
					}
					size = len(data)
				}
				b.ReportMetric(float64(size), "snapshot-B")
			})
		}
	}
}

// BenchmarkRestore measures restoring a state from a snapshot, as a starting entry does.
func BenchmarkRestore(b *testing.B) {
	for _, services := range benchServices {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			data, err := json.Marshal(applyAll(b, benchDay(services, recordsPerDay)))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory measures the heap bytes of a restored state.
func BenchmarkMemory(b *testing.B) {
	for _, services := range benchServices {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			data, err := json.Marshal(applyAll(b, benchDay(services, recordsPerDay)))
			if err != nil {
				b.Fatal(err)
			}
			var restored []*State
			before := heapBytes()
			for b.Loop() {
				s, err := Restore(data)
				if err != nil {
					b.Fatal(err)
				}
				restored = append(restored, s)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(len(restored)), "heap-B/state")
			runtime.KeepAlive(restored)
		})
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
