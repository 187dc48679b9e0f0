package main

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// serversPerService is the number at the target size: 770 servers in 29 services.
const serversPerService = 27

func routingMeasurements() []measurement {
	return []measurement{
		{
			name: "heap of a backend server in a balancer", unit: "B/server", sizes: []int{30, 100, 300, 770},
			value: func(size int) (float64, error) { return balancerHeap(size), nil },
		},
		{
			name: "heap of a service with 27 servers and three ranks", unit: "B/service", sizes: []int{10, 29, 60, 120},
			value: func(size int) (float64, error) { return serviceHeap(size), nil },
		},
		{
			name: "processor time of a pick and its result", unit: "us/server", sizes: []int{9, 27, 90, 270, 770},
			value: func(size int) (float64, error) { return pickCPU(size), nil },
		},
	}
}

func benchServers(count int, key string) []fleet.VM {
	servers := make([]fleet.VM, count)
	for i := range servers {
		servers[i] = fleet.VM{
			Name:    fmt.Sprintf("%s-%04d", key, i),
			Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250),
			Zone:    fmt.Sprintf("zone-%d", i%8),
			Service: key,
			State:   fleet.Live,
		}
	}
	return servers
}

func benchService(index int) *tree.Service {
	return &tree.Service{
		Member: "bench", Name: fmt.Sprintf("service-%03d", index),
		Hosts: []string{fmt.Sprintf("service-%03d.example", index)},
		Routes: []*tree.Route{
			{Methods: []string{"POST"}, PathPrefix: "/orders", Rank: "payments", Timeout: 10 * time.Second},
			{Methods: []string{"PUT"}, PathPrefix: "/scans", Rank: "uploads", Upload: true, Timeout: 30 * time.Minute},
			{PathPrefix: "/", Rank: "lookups", Idempotent: true, Timeout: 2 * time.Second},
		},
		Ranks: []tree.Rank{
			{Name: "payments", Order: 1, Target: time.Second, QueueLength: 256, QueueBytes: 16 << 20, KeptShare: 0.5},
			{Name: "lookups", Order: 2, Target: time.Second, QueueLength: 256, QueueBytes: 16 << 20, KeptShare: 0.3},
			{Name: "uploads", Order: 3, Target: time.Minute, QueueLength: 64, QueueBytes: 16 << 20, KeptShare: 0.1},
		},
		ConnectionsPerServer: 250,
		SlotsPerServer:       3,
	}
}

func balancerHeap(size int) float64 {
	return heapOf(func() any {
		b := balancer.New(balancer.Options{Entry: "entry-01", Zone: "zone-0"})
		b.Update(benchServers(size, "bench/service-000"), benchService(0))
		return b
	})
}

// benchFleet lists the servers of all services.
type benchFleet struct{}

func (benchFleet) Servers(key string) []fleet.VM { return benchServers(serversPerService, key) }

func serviceHeap(size int) float64 {
	return heapOf(func() any {
		scope := tally.NoopScope
		set := service.NewSet(service.Options{
			VM: "entry-01", Zone: "zone-0", Scope: scope, Workers: admission.NewWorkers(),
		})
		t := &tree.Tree{}
		for i := range size {
			t.Services = append(t.Services, benchService(i))
		}
		set.SetTree(t)
		set.SetServers(benchFleet{})
		return set
	})
}

func pickCPU(size int) float64 {
	b := balancer.New(balancer.Options{Entry: "entry-01", Zone: "zone-0"})
	b.Update(benchServers(size, "bench/service-000"), benchService(0))
	now := time.Now()
	return cpuOf(func() {
		now = now.Add(time.Millisecond)
		s, ok := b.Pick(now, nil)
		if ok {
			b.Done(s, now, balancer.Result{Latency: time.Millisecond, Kind: balancer.OK})
		}
	})
}
