package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// settleTime is how long the entries of a fleet take to learn of each other.
	settleTime = 5 * time.Second
	// beatTime is how long the heartbeats of a settled fleet are measured.
	beatTime = 10 * time.Second
)

func membershipProbes() []probe {
	sizes := []int{13, 31, 61}
	fleets := make(map[int]fleetCost)
	// One run of a fleet gives all three figures; a new round begins at the CPU.
	cost := func(size int, fresh bool) (fleetCost, error) {
		if c, ok := fleets[size]; ok && !fresh {
			return c, nil
		}
		c, err := runFleet(size)
		fleets[size] = c
		return c, err
	}
	return []probe{
		{
			name: "processor time of membership at an entry, by entries", unit: "us/s/entry", sizes: sizes,
			value: func(size int) (float64, error) {
				c, err := cost(size, true)
				return c.cpu, err
			},
		},
		{
			name: "bytes of membership at an entry, sent and received, by entries (last round)", unit: "B/s/entry", sizes: sizes,
			value: func(size int) (float64, error) {
				c, err := cost(size, false)
				return c.bytes, err
			},
		},
		{
			name: "heap of membership at an entry with 770 servers, by entries (last round)", unit: "B/entry", sizes: sizes,
			value: func(size int) (float64, error) {
				c, err := cost(size, false)
				return c.heap, err
			},
		},
	}
}

// fleetCost is what membership costs one entry of a fleet.
type fleetCost struct {
	cpu   float64 // microseconds a second
	bytes float64 // a second
	heap  float64
}

// node is one entry's membership with its network.
type node struct {
	membership *membership.Membership
	server     *peer.Server
	pool       *peer.Pool
	listener   net.Listener
	vm         fleet.VM
}

// still is a configuration that never changes.
type still struct{}

func (still) Position() (offset, snapshot int64)    { return 1, -1 }
func (still) ObservePeerOffset(string, int64)       {}
func (still) ObserveSnapshot(int64)                 {}
func (still) Fingerprint() (int64, uint64)          { return 1, 1 }
func (still) CheckDivergence(string, int64, uint64) {}

// list is a VM list that never changes.
type list []fleet.VM

func (l list) VMs(context.Context) ([]fleet.VM, error) { return l, nil }

// runFleet measures a settled fleet over loopback.
func runFleet(size int) (fleetCost, error) {
	heapBefore := liveHeap()
	nodes, vms, err := newNodes(size)
	defer closeNodes(nodes)
	if err != nil {
		return fleetCost{}, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i, n := range nodes {
		n.start(i, vms)
		running.Go(func() { n.membership.Run(ctx) })
	}
	defer running.Wait()
	defer cancel()
	time.Sleep(settleTime)
	cpu, bytes := processCPU(), traffic(nodes)
	time.Sleep(beatTime)
	perNode := float64(size) * beatTime.Seconds()
	return fleetCost{
		cpu:   float64((processCPU() - cpu).Microseconds()) / perNode,
		bytes: float64(traffic(nodes)-bytes) / perNode,
		heap:  (float64(liveHeap()) - float64(heapBefore)) / float64(size),
	}, nil
}

// newNodes opens the entries' listeners and returns the VM list.
func newNodes(size int) ([]*node, list, error) {
	const targetServices, targetServers = 29, 770
	var vms list
	for i := range targetServers {
		key := fmt.Sprintf("bench/service-%03d", i%targetServices)
		vms = append(vms, benchServers(i+1, key)[i])
	}
	var nodes []*node
	for i := range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nodes, nil, err
		}
		n := &node{listener: listener, server: peer.NewServer(), pool: peer.NewPool(peer.Options{})}
		n.vm = fleet.VM{
			Name: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.2.0.%d:80", i),
			PeerAddress: listener.Addr().String(), Zone: fmt.Sprintf("zone-%d", i%8),
			Service: fleet.EntryService, State: fleet.Live,
		}
		nodes = append(nodes, n)
		vms = append(vms, n.vm)
	}
	return nodes, vms, nil
}

func (n *node) start(number int, vms list) {
	n.membership = membership.New(membership.Options{
		Self: n.vm, Incarnation: fmt.Sprintf("%032x", number), Epoch: func() uint32 { return 1 },
		Follower: still{}, VMs: vms, Client: n.pool,
	})
	// The name is free, as the server is new.
	_ = n.server.Register(peer.ReceiverMembership, n.membership.Receiver())
	go func() {
		// Serve ends when the node is closed.
		_ = n.server.Serve(n.listener)
	}()
}

// traffic returns the bytes that all nodes have sent and received.
func traffic(nodes []*node) int64 {
	total := int64(0)
	for _, n := range nodes {
		for _, t := range []*peer.Traffic{n.pool.Traffic(), n.server.Traffic()} {
			total += t.SentBytes() + t.ReceivedBytes()
		}
	}
	return total
}

func closeNodes(nodes []*node) {
	for _, n := range nodes {
		n.pool.Close()
	}
	for _, n := range nodes {
		n.server.Close()
	}
}
