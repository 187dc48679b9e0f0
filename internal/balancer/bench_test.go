package balancer

import (
	"fmt"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// reportedBalancer returns a balancer of n servers in four zones, all with load reports.
func reportedBalancer(n int) *Balancer {
	var list []fleet.VM
	for i := range n {
		name := fmt.Sprintf("server-%03d", i)
		list = append(list, fleet.VM{Name: name, Address: name, Zone: fmt.Sprint(i % 4), State: fleet.Live})
	}
	b := New(Options{Entry: "entry-1", Zone: "0"})
	b.UpdateAt(start, list, shopService())
	for range 3 * n {
		r, _ := b.Pick(start, nil)
		b.Done(r, start, Result{
			Latency: 10 * time.Millisecond, HasReport: true, Report: Report{InFlight: 2, Slots: 3},
		})
	}
	return b
}

// BenchmarkPick reserves and frees a slot in one service of n servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{6, 27, 30, 770} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer := reportedBalancer(n)
			now := start.Add(50 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				r, _ := balancer.Pick(now, nil)
				r.backend.release(r)
			}
		})
	}
}

// BenchmarkPickOfManyServices spreads picks over 29 services of 27 servers each.
func BenchmarkPickOfManyServices(b *testing.B) {
	var services []*Balancer
	for range 29 {
		services = append(services, reportedBalancer(27))
	}
	now := start.Add(50 * time.Millisecond)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r, _ := services[i%len(services)].Pick(now, nil)
		r.backend.release(r)
	}
}

// BenchmarkPickParallel picks on all processors concurrently.
func BenchmarkPickParallel(b *testing.B) {
	balancer := reportedBalancer(27)
	now := start.Add(50 * time.Millisecond)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if r, ok := balancer.Pick(now, nil); ok {
				r.backend.release(r)
			}
		}
	})
}

// BenchmarkDone records responses with load reports.
func BenchmarkDone(b *testing.B) {
	balancer := reportedBalancer(27)
	b.ReportAllocs()
	for b.Loop() {
		r, _ := balancer.Pick(start, nil)
		balancer.Done(r, start, Result{
			Latency: 10 * time.Millisecond, HasReport: true, Report: Report{InFlight: 2, Slots: 3},
		})
	}
}
