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

// addReports applies a newer report of each of the n servers, and returns the time that one takes.
func addReports(b *Balancer, n int, at time.Time) time.Duration {
	names := make([]string, n)
	for i, be := range b.snapshot.Load().backends {
		names[i] = be.vm.Name
	}
	began := time.Now()
	for _, name := range names {
		b.AddReport(name, at, Report{InFlight: 1, Slowdown: 100})
	}
	return time.Since(began) / time.Duration(n)
}

// BenchmarkAddReport applies reports of other entries.
func BenchmarkAddReport(b *testing.B) {
	for _, n := range []int{27, 652} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer, at := reportedBalancer(n), start
			for i := 0; i < b.N; i += n {
				at = at.Add(time.Millisecond)
				addReports(balancer, n, at)
			}
		})
	}
}

// TestReportOfManyServers guards against reports whose cost grows with the servers of the
// service: an entry receives some for each server, so the sum grew with their square.
func TestReportOfManyServers(t *testing.T) {
	const few, many, rounds = 16, 4096, 20
	fastest := func(n int) time.Duration {
		b, at, least := reportedBalancer(n), start, time.Hour
		for range rounds {
			at = at.Add(time.Millisecond)
			least = min(least, addReports(b, n, at))
		}
		return least
	}
	small, large := fastest(few), fastest(many)
	if large > 8*small {
		t.Errorf("a report takes %v with %d servers and %v with %d, want about as long", large, many, small, few)
	}
}
