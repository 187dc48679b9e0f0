package cluster

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster/memnet"
)

// network is a cluster in virtual time.
type network struct{ *memnet.Network }

func newNetwork() network { return network{memnet.New()} }

// memoryAddress returns the address of the i-th node.
func memoryAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// heartbeatInterval is that of the gateway.
const heartbeatInterval = 66 * time.Millisecond

// startMember starts the i-th node of a cluster with that many zones.
func (w network) startMember(i, zones int, incarnation uint64, seeds ...netip.AddrPort) *testNode {
	weight := 0.16
	if i%25 == 0 {
		weight = 0.8
	}
	n := &testNode{heartbeats: map[string]int{}}
	conn := w.Listen(memoryAddress(i))
	n.Node = NewNode(Options{
		Self: Member{
			VM: fmt.Sprintf("front-zone-%d-%d", i%zones, i), Zone: fmt.Sprintf("zone-%d", i%zones),
			CallerAddress: fmt.Sprintf("10.0.%d.%d:8161", i>>8, i&255), PeerAddress: fmt.Sprintf("10.0.%d.%d:7720", i>>8, i&255),
			DatagramAddress: memoryAddress(i), Incarnation: incarnation, Weight: weight,
		},
		Conn:        conn,
		OnHeartbeat: n.handle,
		OnChange:    func(*View) { n.changes.Add(1) },
	})
	n.freeze = conn.Freeze
	n.AddSeeds(seeds...)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.done.Go(func() { _ = n.Receive() })
	n.done.Go(func() {
		RunEvery(ctx, heartbeatInterval, func(_ context.Context, now time.Time) {
			if status := (Status{Ready: true, Leaving: n.leaving.Load()}); n.HeartbeatDue(status) {
				n.SendHeartbeat(&Heartbeat{Status: status}, now)
			}
		})
	})
	return n
}

// startCluster starts all members within 300 ms, with the first three as seeds.
func (w network) startCluster(count, zones int) []*testNode {
	var nodes []*testNode
	seeds := []netip.AddrPort{memoryAddress(0), memoryAddress(1), memoryAddress(2)}
	for i := range count {
		nodes = append(nodes, w.startMember(i, zones, uint64(i+1), seeds...))
		time.Sleep(300 * time.Millisecond / time.Duration(count))
	}
	return nodes
}

func stopAll(nodes []*testNode) {
	for _, n := range nodes {
		n.stop()
	}
}

// incomplete counts the nodes that do not see that many live members.
func incomplete(nodes []*testNode, want int) int {
	count := 0
	for _, n := range nodes {
		if len(n.View().Live) != want {
			count++
		}
	}
	return count
}

// Pattern: all entries start at the same time with three common seeds. Each must see all
// others within the 3 s in which a seed may lag, and twice the members may cost a member
// at most about twice the bytes: every record has to reach it once.
func TestStartOfALargeCluster(t *testing.T) {
	helloBytes := map[int]int{}
	sizes := []int{60, 120}
	if !raceEnabled {
		sizes = []int{120, 240, 480}
	}
	for _, count := range sizes {
		synctest.Test(t, func(t *testing.T) {
			w := newNetwork()
			nodes := w.startCluster(count, 6)
			defer stopAll(nodes)
			time.Sleep(3 * time.Second)
			if missing := incomplete(nodes, count); missing != 0 {
				t.Errorf("%d of %d nodes do not see all members 3 s after the start", missing, count)
			}
			hellos := w.Sent(kindHello)
			helloBytes[count] = hellos.Bytes / count
			t.Logf("%d nodes: %d hellos and %d B of hellos a node", count, hellos.Datagrams/count, helloBytes[count])
		})
	}
	for i := 1; i < len(sizes); i++ {
		if before, after := helloBytes[sizes[i-1]], helloBytes[sizes[i]]; after > 5*before/2 {
			t.Errorf("hellos take %d B a node with %d nodes and %d B with %d, want about twice as much",
				before, sizes[i-1], after, sizes[i])
		}
	}
}

// A process that starts again after the time of day was set back has a lower incarnation.
// The others must take it as a member again as soon as its earlier start is silent.
func TestRestartAfterTheClockWasSetBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		nodes := w.startCluster(6, 2)
		time.Sleep(time.Second)
		nodes[5].stop()
		time.Sleep(300 * time.Millisecond)
		restarted := w.startMember(5, 2, 1, memoryAddress(0))
		nodes[5] = restarted
		defer stopAll(nodes)
		time.Sleep(livenessTimeout + time.Second)
		for _, n := range nodes[:5] {
			found := false
			for _, m := range n.View().Live {
				found = found || m.DatagramAddress == memoryAddress(5) && m.Incarnation == 1
			}
			if !found {
				t.Errorf("%s does not see the restarted member", n.options.Self.VM)
			}
		}
	})
}

// A member that is gone must not be passed on from table to table: no exchange makes a
// silent member live again.
func TestGoneMemberIsNotIntroducedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		nodes := w.startCluster(10, 2)
		time.Sleep(time.Second)
		nodes[9].stop()
		nodes = nodes[:9]
		// New members keep exchanges going while the others notice.
		for i := 10; i < 30; i++ {
			nodes = append(nodes, w.startMember(i, 2, uint64(i+1), memoryAddress(0)))
			time.Sleep(100 * time.Millisecond)
		}
		defer stopAll(nodes)
		time.Sleep(livenessTimeout)
		for _, n := range nodes {
			for _, m := range n.View().Live {
				if m.DatagramAddress == memoryAddress(9) {
					t.Errorf("%s sees the stopped member live after %v", n.options.Self.VM, 20*100*time.Millisecond+livenessTimeout)
				}
			}
		}
	})
}

// With more than maxFullMesh members, heartbeats go through relays. All members still see each
// other, and when a relay stops they notice it and lose no other member.
func TestLargeFleet(t *testing.T) {
	const members = maxFullMesh + 8
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		nodes := w.startCluster(members, 3)
		time.Sleep(3 * time.Second)
		if missing := incomplete(nodes, members); missing != 0 {
			t.Fatalf("%d of %d nodes do not see all members 3 s after the start", missing, members)
		}
		relay := nodes[0].View().relays("zone-1")[0].VM
		index := slices.IndexFunc(nodes, func(n *testNode) bool { return n.options.Self.VM == relay })
		nodes[index].stop()
		nodes = slices.Delete(nodes, index, index+1)
		defer stopAll(nodes)
		for end := time.Now().Add(2 * crossZoneTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, n := range nodes {
				if live := len(n.View().Live); live < members-1 {
					t.Fatalf("%s sees only %d members while %s is gone", n.options.Self.VM, live, relay)
				}
			}
		}
		if wrong := incomplete(nodes, members-1); wrong != 0 {
			t.Errorf("%d of %d nodes do not see all members but the one that is gone", wrong, len(nodes))
		}
	})
}
