package cluster

import (
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stability is the time after the end of a fault within which all running members see each
// other again.
const stability = 3 * time.Second

// cutOff drops all datagrams between the first members and the others, in both directions.
func (w network) cutOff(first int) {
	inPart := map[netip.AddrPort]bool{}
	for i := range first {
		inPart[memoryAddress(i)] = true
	}
	w.SetDrop(func(from, to netip.AddrPort) bool { return inPart[from] != inPart[to] })
}

// heal ends all cuts.
func (w network) heal() { w.SetDrop(nil) }

// Guards against members that stay apart for good after a cut, as each has taken the other for
// silent and sends it nothing that shows that it lives.
func TestMembersFindEachOtherAfterACut(t *testing.T) {
	cases := []struct {
		members, zones, cutOff int
		length                 time.Duration
	}{
		{2, 1, 1, 60 * time.Second},
		{3, 3, 1, 16 * time.Second},
		{19, 3, 1, 4 * time.Second},
		{19, 3, 6, 16 * time.Second},
		{19, 3, 9, 100 * time.Second},
		{60, 3, 18, 5 * time.Second},
	}
	if !raceEnabled {
		cases = append(cases, []struct {
			members, zones, cutOff int
			length                 time.Duration
		}{
			{104, 4, 1, 4 * time.Second},
			{104, 4, 31, 5 * time.Second},
			{104, 4, 31, 16 * time.Second},
			{300, 6, 100, 4 * time.Second},
		}...)
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d of %d for %v", c.cutOff, c.members, c.length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newNetwork()
				nodes := w.startCluster(c.members, c.zones)
				defer stopAll(nodes)
				time.Sleep(stability)
				w.cutOff(c.cutOff)
				time.Sleep(c.length)
				if wrong := incomplete(nodes[:c.cutOff], c.cutOff) + incomplete(nodes[c.cutOff:], c.members-c.cutOff); wrong != 0 {
					t.Fatalf("%d of %d nodes do not see exactly their own part during the cut", wrong, c.members)
				}
				w.heal()
				begin := time.Now()
				for incomplete(nodes, c.members) != 0 && time.Since(begin) < stability {
					time.Sleep(10 * time.Millisecond)
				}
				if wrong := incomplete(nodes, c.members); wrong != 0 {
					t.Fatalf("%d of %d nodes do not see all members %v after the cut", wrong, c.members, stability)
				}
				t.Logf("all views whole after %v", time.Since(begin))
				for end := begin.Add(2 * stability); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
					if wrong := incomplete(nodes, c.members); wrong != 0 {
						t.Fatalf("%d of %d nodes lost members again %v after the cut", wrong, c.members, time.Since(begin))
					}
				}
			})
		})
	}
}

// Guards against a read of the store that looks younger than it is: heartbeats between the regular
// ones, and those that a hello asks for, repeat the status of the last regular one, which may be
// old after this process did not run.
func TestStoreReadAgeGrowsBetweenRegularHeartbeats(t *testing.T) {
	const readAge, pause = time.Second, 5 * time.Second
	synctest.Test(t, func(t *testing.T) {
		w := newNetwork()
		reads := map[bool]time.Duration{} // StoreReadAge by Heartbeat.Direct
		var mu sync.Mutex
		receiver := NewNode(Options{
			Self: Member{VM: "receiver", Zone: "a", DatagramAddress: memoryAddress(1), Incarnation: 1}, Conn: w.Listen(memoryAddress(1)),
			OnHeartbeat: func(_ LiveMember, hb *Heartbeat) {
				mu.Lock()
				defer mu.Unlock()
				reads[hb.Direct] = hb.StoreReadAge
			},
		})
		sender := NewNode(Options{
			Self: Member{VM: "sender", Zone: "a", DatagramAddress: memoryAddress(2), Incarnation: 1}, Conn: w.Listen(memoryAddress(2)),
			OnHeartbeat: func(LiveMember, *Heartbeat) {},
		})
		var done sync.WaitGroup
		for _, n := range []*Node{receiver, sender} {
			done.Go(func() { _ = n.Receive() })
			defer func() { _ = n.Close() }()
		}
		receiver.AddSeeds(memoryAddress(2))
		receiver.Join(time.Now())
		time.Sleep(10 * time.Millisecond)
		sender.SendHeartbeat(&Heartbeat{Status: Status{Ready: true, StoreReadAge: readAge}}, time.Now())
		time.Sleep(pause)
		sender.SendUpdate(&Heartbeat{}, time.Now())
		receiver.sendDueHellos(time.Now()) // asks for heartbeats
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		for direct, kind := range map[bool]string{false: "an update", true: "a direct heartbeat"} {
			if got, ok := reads[direct]; !ok || got < readAge+pause {
				t.Errorf("%s %v after the last regular heartbeat: store read age %v (received %v), want at least %v", kind, pause, got, ok, readAge+pause)
			}
		}
	})
}

// Guards against a member of which no heartbeat has arrived that looks as if it had just read the
// store.
func TestMemberWithoutHeartbeatHasNoYoungRead(t *testing.T) {
	n := NewNode(Options{Self: Member{VM: "vm-a", Zone: "a", DatagramAddress: memoryAddress(1), Incarnation: 1}, Conn: newNetwork().Listen(memoryAddress(1))})
	now := time.Now()
	n.handleHello(memoryAddress(2), &hello{From: Member{VM: "vm-b", Zone: "a", DatagramAddress: memoryAddress(2), Incarnation: 1}}, now)
	for _, m := range n.View().Live {
		if m.VM == "vm-b" && m.StoreReadAge < maxAge {
			t.Errorf("store read age %v of a member known by its hello only, want %v", m.StoreReadAge, maxAge)
		}
	}
}
