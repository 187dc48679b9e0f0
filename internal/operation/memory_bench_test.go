package operation

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"runtime"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// responseBodyBytes is the body size of a typical response to an order.
const responseBodyBytes = 200

// BenchmarkMemory reports the bytes that one retained operation takes, with and
// without its response.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 250_000} {
		b.Run(fmt.Sprintf("refused/%d", size), func(b *testing.B) {
			refusal := outcome.NewNotRun(503, outcome.ReasonQueueFull, "full")
			reportMemory(b, size, func(h *Handle) { h.NotRun(refusal) })
		})
		b.Run(fmt.Sprintf("answered/%d", size), func(b *testing.B) {
			reportMemory(b, size, func(h *Handle) {
				header := http.Header{"Content-Type": {"application/json"}}
				h.Ran(Response{Status: 201, Header: header, Body: make([]byte, responseBodyBytes), BodyStored: true, Server: "server-1"})
			})
		})
	}
}

func reportMemory(b *testing.B, size int, complete func(*Handle)) {
	var bytes float64
	for b.Loop() {
		before := heapBytes()
		table := New(Options{MaxOperations: size, MaxStoredBytes: 1 << 30})
		fill(table, size, complete)
		bytes = float64(heapBytes()-before) / float64(size)
		runtime.KeepAlive(table)
	}
	b.ReportMetric(bytes, "B/operation")
	b.ReportMetric(0, "ns/op")
}

func fill(table *Table, size int, complete func(*Handle)) {
	id := ID{Incarnation: table.Incarnation()}
	for n := range size {
		binary.BigEndian.PutUint64(id.Nonce[:], uint64(n))
		handle, _ := table.Begin(id, "anna", Fingerprint{1})
		complete(handle)
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBegin measures the time to begin and complete one operation.
func BenchmarkBegin(b *testing.B) {
	table := New(Options{MaxOperations: 1 << 30, MaxStoredBytes: 1 << 20})
	id := ID{Incarnation: table.Incarnation()}
	n := uint64(0)
	for b.Loop() {
		n++
		binary.BigEndian.PutUint64(id.Nonce[:], n)
		handle, _ := table.Begin(id, "anna", Fingerprint{1})
		handle.Ran(Response{Status: 201})
	}
}
