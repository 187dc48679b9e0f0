package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"github.com/uber-go/tally/v4"
)

// BenchmarkAdmit measures the admission of a request through the queue, the
// workers and the balancer of a service of 27 servers, and its release.
func BenchmarkAdmit(b *testing.B) {
	servers := balancer.New(balancer.Options{Zone: "a"})
	var vms []fleet.VM
	for i := range 27 {
		name := fmt.Sprintf("s%d", i)
		vms = append(vms, fleet.VM{Name: name, Address: name, Zone: "a", State: fleet.Live})
	}
	servers.Update(vms, shopService())
	workers := NewWorkers()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go workers.Run(ctx, 4)
	q := NewQueue(workers, servers, tally.NoopScope)
	q.Update(shopService())
	result := balancer.Result{
		Latency: 10 * time.Millisecond, HasReport: true, Report: balancer.Report{InFlight: 1, Slots: 1},
	}
	b.ReportAllocs()
	for b.Loop() {
		grant, refusal := q.Admit(ctx, Request{Rank: "lookups"})
		if refusal != nil {
			b.Fatal(refusal)
		}
		grant.Done(result)
	}
}
