package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// testNode is a node on a loopback socket that beats by itself.
type testNode struct {
	*Node
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu    sync.Mutex
	heard map[string]int // beats by VM
}

const testInterval = 20 * time.Millisecond

func startNode(t testing.TB, vm, zone string, incarnation uint64, at netip.AddrPort, seeds ...netip.AddrPort) *testNode {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		t.Fatal(err)
	}
	own := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	n := &testNode{heard: map[string]int{}}
	n.Node = NewNode(Options{
		Self:        Member{VM: vm, Zone: zone, DatagramAddress: netip.AddrPortFrom(own.Addr().Unmap(), own.Port()), Incarnation: incarnation},
		Conn:        conn,
		OnHeartbeat: n.handle,
	})
	n.AddSeeds(seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { _ = n.Receive() })
	n.done.Go(func() {
		RunEvery(ctx, testInterval, func(_ context.Context, now time.Time) {
			n.Send(&Heartbeat{Status: Status{Ready: true}}, now)
		})
	})
	t.Cleanup(n.stop)
	return n
}

func (n *testNode) handle(from LiveMember, _ *Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heard[from.VM]++
}

func (n *testNode) stop() {
	n.cancel()
	_ = n.Close()
	n.done.Wait()
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func awaitLive(t testing.TB, want int, nodes ...*testNode) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		good := 0
		for _, n := range nodes {
			if len(n.View().Live) == want {
				good++
			}
		}
		if good == len(nodes) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d nodes see %d members", good, len(nodes), want)
		}
	}
}

// One address that is known is enough for all to find each other, also for those
// that came before the others.
func TestAllFindEachOtherBySeed(t *testing.T) {
	first := startNode(t, "vm-0", "a", 1, anyPort)
	nodes := []*testNode{first}
	for i := 1; i < 12; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("vm-%d", i), "a", 1, anyPort, first.options.Self.DatagramAddress))
	}
	awaitLive(t, len(nodes), nodes...)
	for _, n := range nodes[1:] {
		if n.View().set != first.View().set {
			t.Error("two members stand for different sets")
		}
	}
}

// A member that restarts at its address is known anew, one that ends is missed.
func TestRestartAndEnd(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	b := startNode(t, "vm-b", "a", 1, anyPort, a.options.Self.DatagramAddress)
	c := startNode(t, "vm-c", "b", 1, anyPort, a.options.Self.DatagramAddress)
	awaitLive(t, 3, a, b, c)
	address := b.options.Self.DatagramAddress
	b.stop()
	awaitLive(t, 2, a, c)
	if a.View().Known != 3 || len(a.View().Silent) != 1 {
		t.Errorf("known %d, silent %d", a.View().Known, len(a.View().Silent))
	}
	again := startNode(t, "vm-b", "a", 2, address, c.options.Self.DatagramAddress)
	awaitLive(t, 3, a, c, again)
	for _, m := range a.View().Live {
		if m.VM == "vm-b" && m.Incarnation != 2 {
			t.Error("the process before is still known")
		}
	}
}

// A beat of an earlier process, or one that came twice, changes nothing.
func TestOldBeatsArePassedOver(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	now := time.Now()
	a.meet(from, &hello{From: Member{VM: "vm-x", Zone: "a", DatagramAddress: from, Incarnation: 5}}, now)
	beat := func(incarnation, sequence uint64, revision int64) {
		a.hear(from, &Heartbeat{Incarnation: incarnation, Sequence: sequence, Status: Status{Revision: revision}}, now)
	}
	beat(5, 10, 7)
	beat(5, 9, 3)
	beat(5, 10, 3)
	beat(4, 11, 3)
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.rows[from]; r.Revision != 7 || r.sequence != 10 {
		t.Errorf("revision %d, sequence %d", r.Revision, r.sequence)
	}
}

func TestMalformedDatagramsAreCounted(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for _, data := range [][]byte{{}, {0}, {kindBeat}, {kindHello, '{'}, {kindCollect}, {kindDigest, 1}, {kindCollect, kindCollect}, {kindDigest, 1, 2, 3, 4, 5, 6, 0, 9, kindBeat}} {
		a.receive(from, data)
	}
	if len(a.View().Live) != 1 {
		t.Error("a malformed datagram made a member")
	}
}

// A beat to collect reaches the collector's zone in a digest.
func TestCollectedBeatsReachTheZone(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	b := startNode(t, "vm-b", "b", 1, anyPort, a.options.Self.DatagramAddress)
	c := startNode(t, "vm-c", "b", 1, anyPort, a.options.Self.DatagramAddress)
	awaitLive(t, 3, a, b, c)
	// A beat for b to pass on, newer than all before.
	beat := &Heartbeat{Incarnation: 1, Sequence: 1 << 30, Status: Status{Revision: 77}}
	a.send(b.options.Self.DatagramAddress, append([]byte{kindCollect}, beat.append(nil)...))
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		c.Node.mu.Lock()
		r := c.rows[a.options.Self.DatagramAddress]
		got := r != nil && r.Revision == 77
		c.Node.mu.Unlock()
		if got {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the collected beat did not arrive")
		}
	}
}

// Pattern: a large fleet. Past fullMeshMost members all still see each other by
// collectors, and miss a collector that ends.
func TestLargeFleet(t *testing.T) {
	first := startNode(t, "vm-0", "z0", 1, anyPort)
	nodes := []*testNode{first}
	const members = fullMeshMost + 8
	for i := 1; i < members; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("vm-%d", i), fmt.Sprintf("z%d", i%3), 1, anyPort, first.options.Self.DatagramAddress))
	}
	awaitLive(t, members, nodes...)
	collector := first.View().collectors("z1")[0].VM
	var left []*testNode
	for _, n := range nodes {
		if n.options.Self.VM == collector {
			n.stop()
		} else {
			left = append(left, n)
		}
	}
	awaitLive(t, members-1, left...)
	time.Sleep(farAliveFor)
	awaitLive(t, members-1, left...)
}
