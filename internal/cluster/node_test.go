package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testNode is a node on a loopback socket that sends heartbeats periodically.
type testNode struct {
	*Node
	cancel context.CancelFunc
	done   sync.WaitGroup
	// leaving is announced by a member of a network in memory, which also has freeze and counts
	// the changes of its view.
	leaving atomic.Bool
	freeze  func(time.Duration)
	changes atomic.Int64

	mu         sync.Mutex
	heartbeats map[string]int // received, by VM of the sender
}

const testInterval = 20 * time.Millisecond

func startNode(t testing.TB, vm, zone string, incarnation uint64, address netip.AddrPort, seeds ...netip.AddrPort) *testNode {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		t.Fatal(err)
	}
	own := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	n := &testNode{heartbeats: map[string]int{}}
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
			n.SendHeartbeat(&Heartbeat{Status: Status{Ready: true}}, now)
		})
	})
	t.Cleanup(n.stop)
	return n
}

func (n *testNode) handle(from LiveMember, _ *Heartbeat) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heartbeats[from.VM]++
}

func (n *testNode) stop() {
	n.cancel()
	_ = n.Close()
	n.done.Wait()
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

func awaitLive(t testing.TB, want int, nodes ...*testNode) {
	t.Helper()
	awaitMembers(t, "live", want, func(v *View) int { return len(v.Live) }, nodes...)
}

// awaitReady waits until each node has received from that many members, itself included, that
// they are ready. A member that is known by its hello only is live, but not yet ready.
func awaitReady(t testing.TB, want int, nodes ...*testNode) {
	t.Helper()
	awaitMembers(t, "ready", want, (*View).ReadyMembers, nodes...)
}

func awaitMembers(t testing.TB, kind string, want int, count func(*View) int, nodes ...*testNode) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		converged := 0
		for _, n := range nodes {
			if count(n.View()) == want {
				converged++
			}
		}
		if converged == len(nodes) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("only %d of %d nodes see %d %s members", converged, len(nodes), want, kind)
		}
	}
}

// One common seed is enough for all nodes to find each other, also for those that
// started before the others.
func TestAllFindEachOtherBySeed(t *testing.T) {
	first := startNode(t, "vm-0", "a", 1, anyPort)
	nodes := []*testNode{first}
	for i := 1; i < 12; i++ {
		nodes = append(nodes, startNode(t, fmt.Sprintf("vm-%d", i), "a", 1, anyPort, first.options.Self.DatagramAddress))
	}
	awaitLive(t, len(nodes), nodes...)
	for _, n := range nodes[1:] {
		if n.View().liveHash != first.View().liveHash {
			t.Error("two members see the same number of live members, but different sets")
		}
	}
}

// A stopped member is dropped from the live members and becomes silent. A restart at
// the same address replaces the earlier incarnation.
func TestRestartAndEnd(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	b := startNode(t, "vm-b", "a", 1, anyPort, a.options.Self.DatagramAddress)
	c := startNode(t, "vm-c", "b", 1, anyPort, a.options.Self.DatagramAddress)
	awaitLive(t, 3, a, b, c)
	awaitReady(t, 3, a, b, c)
	address := b.options.Self.DatagramAddress
	b.stop()
	awaitLive(t, 2, a, c)
	if a.View().Known != 3 || len(a.View().Silent) != 1 {
		t.Errorf("known %d, silent %d members, want 3 and 1", a.View().Known, len(a.View().Silent))
	}
	restarted := startNode(t, "vm-b", "a", 2, address, c.options.Self.DatagramAddress)
	awaitLive(t, 3, a, c, restarted)
	for _, m := range a.View().Live {
		if m.VM == "vm-b" && m.Incarnation != 2 {
			t.Error("the earlier incarnation of vm-b is still live, want 2")
		}
	}
}

// A member that is known by its hello only has never said that it is ready. When it falls
// silent, its address must not be among those for callers of an isolated member.
func TestMemberThatWasNeverReadyIsNotSilent(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	now := time.Now()
	a.handleHello(from, &hello{From: Member{VM: "vm-x", Zone: "a", CallerAddress: "x", DatagramAddress: from, Incarnation: 5}}, now)
	awaitLive(t, 2, a)
	awaitLive(t, 1, a)
	if v := a.View(); v.Known != 2 || len(v.Silent) != 0 || slices.Contains(v.CallerAddresses(), "x") {
		t.Errorf("known %d, silent %d members, addresses %v, want 2, 0 and not that of vm-x", v.Known, len(v.Silent), v.CallerAddresses())
	}
}

// A heartbeat of an earlier incarnation, or one that arrives late or twice, does not
// change the sender's record.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	now := time.Now()
	a.handleHello(from, &hello{From: Member{VM: "vm-x", Zone: "a", DatagramAddress: from, Incarnation: 5}}, now)
	receive := func(incarnation, sequence uint64, revision int64) {
		a.handleHeartbeat(from, &Heartbeat{Incarnation: incarnation, Sequence: sequence, Status: Status{Revision: revision}}, now)
	}
	receive(5, 10, 7)
	receive(5, 9, 3)
	receive(5, 10, 3)
	receive(4, 11, 3)
	a.mu.Lock()
	defer a.mu.Unlock()
	if m := a.members[from]; m.Revision != 7 || m.sequence != 10 {
		t.Errorf("revision %d, sequence %d, want 7 and 10", m.Revision, m.sequence)
	}
}

func TestMalformedDatagramsAreCounted(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	for _, data := range [][]byte{{}, {0}, {kindHeartbeat}, {kindHello, '{'}, {kindRelay}, {kindBatch, 1}, {kindRelay, kindRelay}, {kindBatch, 1, 2, 3, 4, 5, 6, 0, 9, kindHeartbeat}} {
		a.receive(from, data)
	}
	if len(a.View().Live) != 1 {
		t.Error("a malformed datagram added a live member, want only the node itself")
	}
}

// A heartbeat sent to a relay reaches the other members of the relay's zone in a batch.
func TestRelayedHeartbeatsReachTheZone(t *testing.T) {
	a := startNode(t, "vm-a", "a", 1, anyPort)
	b := startNode(t, "vm-b", "b", 1, anyPort, a.options.Self.DatagramAddress)
	c := startNode(t, "vm-c", "b", 1, anyPort, a.options.Self.DatagramAddress)
	awaitLive(t, 3, a, b, c)
	// A heartbeat for b to relay, newer than all earlier ones.
	heartbeat := &Heartbeat{Incarnation: 1, Sequence: 1 << 30, Status: Status{Revision: 77}}
	a.send(b.options.Self.DatagramAddress, append([]byte{kindRelay}, heartbeat.append(nil)...))
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(2 * time.Millisecond) {
		c.Node.mu.Lock()
		m := c.members[a.options.Self.DatagramAddress]
		got := m != nil && m.Revision == 77
		c.Node.mu.Unlock()
		if got {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the relayed heartbeat did not arrive within 5s")
		}
	}
}
