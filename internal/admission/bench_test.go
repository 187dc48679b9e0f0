package admission

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

// BenchmarkAdmit is the cost of a request that finds a free place.
func BenchmarkAdmit(b *testing.B) {
	q := newQueue(b, tally.NoopScope, "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	b.ReportAllocs()
	for b.Loop() {
		g, refusal := q.Admit(b.Context(), Request{Rank: "lookups"})
		if refusal != nil {
			b.Fatal(refusal)
		}
		g.Done(balancer.Result{Latency: time.Millisecond})
	}
}
