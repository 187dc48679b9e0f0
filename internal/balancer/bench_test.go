package balancer

import (
	"fmt"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// fleetOf is n servers in four zones that have all reported.
func fleetOf(n int) *Balancer {
	var list []fleet.VM
	for i := range n {
		name := fmt.Sprintf("server-%03d", i)
		list = append(list, fleet.VM{Name: name, Address: name, Zone: fmt.Sprint(i % 4), State: fleet.Live})
	}
	b := New(Options{Entry: "entry-1", Zone: "0"})
	b.UpdateAt(start, list, shop())
	for range 3 * n {
		s, _ := b.Pick(start, nil)
		b.Done(s, start, Result{
			Latency: 10 * time.Millisecond, HasReport: true, Report: Report{InFlight: 2, Slots: 3},
		})
	}
	return b
}

// BenchmarkPick reserves and frees a place at one service of n servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{6, 27, 30, 770} {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			balancer := fleetOf(n)
			now := start.Add(50 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				s, _ := balancer.Pick(now, nil)
				s.host.release(s)
			}
		})
	}
}

// BenchmarkPickOfManyServices spreads picks over 29 services of 27 servers each.
func BenchmarkPickOfManyServices(b *testing.B) {
	var services []*Balancer
	for range 29 {
		services = append(services, fleetOf(27))
	}
	now := start.Add(50 * time.Millisecond)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		s, _ := services[i%len(services)].Pick(now, nil)
		s.host.release(s)
	}
}

// BenchmarkPickParallel picks from all processors at once.
func BenchmarkPickParallel(b *testing.B) {
	balancer := fleetOf(27)
	now := start.Add(50 * time.Millisecond)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if s, ok := balancer.Pick(now, nil); ok {
				s.host.release(s)
			}
		}
	})
}

// BenchmarkDone takes in answers with reports.
func BenchmarkDone(b *testing.B) {
	balancer := fleetOf(27)
	b.ReportAllocs()
	for b.Loop() {
		s, _ := balancer.Pick(start, nil)
		balancer.Done(s, start, Result{
			Latency: 10 * time.Millisecond, HasReport: true, Report: Report{InFlight: 2, Slots: 3},
		})
	}
}
