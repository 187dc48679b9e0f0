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
	// settleTime is how long the entries of a cluster take to discover each other.
	settleTime = 5 * time.Second
	// heartbeatTime is how long the heartbeats of a settled cluster are measured.
	heartbeatTime = 10 * time.Second
)

func membershipMeasurements() []measurement {
	sizes := []int{13, 31, 61}
	costs := make(map[int]clusterCost)
	// One run of a cluster provides all three figures. The CPU measurement starts a new
	// run in each round; the others use the last run.
	cost := func(size int, fresh bool) (clusterCost, error) {
		if c, ok := costs[size]; ok && !fresh {
			return c, nil
		}
		c, err := runCluster(size)
		costs[size] = c
		return c, err
	}
	return []measurement{
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

// clusterCost is the cost of membership for one entry of a cluster.
type clusterCost struct {
	cpu   float64 // microseconds per second
	bytes float64 // per second
	heap  float64
}

// node is one entry's membership with its network connections.
type node struct {
	membership *membership.Membership
	server     *peer.Server
	pool       *peer.Pool
	listener   net.Listener
	vm         fleet.VM
}

// staticFollower implements membership.Follower with a configuration that never changes.
type staticFollower struct{}

func (staticFollower) Offsets() (offset, snapshot int64)     { return 1, -1 }
func (staticFollower) ObservePeerOffset(string, int64)       {}
func (staticFollower) ObserveSnapshot(int64)                 {}
func (staticFollower) Fingerprint() (int64, uint64)          { return 1, 1 }
func (staticFollower) CheckDivergence(string, int64, uint64) {}

// staticVMs is a VM list that never changes.
type staticVMs []fleet.VM

func (l staticVMs) VMs(context.Context) ([]fleet.VM, error) { return l, nil }

// runCluster measures a settled cluster over loopback.
func runCluster(size int) (clusterCost, error) {
	heapBefore := liveHeap()
	nodes, vms, err := newNodes(size)
	defer closeNodes(nodes)
	if err != nil {
		return clusterCost{}, err
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
	time.Sleep(heartbeatTime)
	perNode := float64(size) * heartbeatTime.Seconds()
	return clusterCost{
		cpu:   float64((processCPU() - cpu).Microseconds()) / perNode,
		bytes: float64(traffic(nodes)-bytes) / perNode,
		heap:  (float64(liveHeap()) - float64(heapBefore)) / float64(size),
	}, nil
}

// newNodes opens the entries' listeners and returns the VM list.
func newNodes(size int) ([]*node, staticVMs, error) {
	const targetServices, targetServers = 29, 770
	var vms staticVMs
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

func (n *node) start(index int, vms staticVMs) {
	n.membership = membership.New(membership.Options{
		Self: n.vm, Incarnation: fmt.Sprintf("%032x", index), Epoch: func() uint32 { return 1 },
		Follower: staticFollower{}, VMs: vms, Client: n.pool,
	})
	// Registering cannot fail, as the server is new.
	_ = n.server.Register(peer.ReceiverMembership, n.membership.Receiver())
	go func() {
		// Serve returns when the node is closed.
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
