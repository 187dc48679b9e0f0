package membership

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// testFleet is a simulated cluster: entries with an in-memory network and VM list.
type testFleet struct {
	t             *testing.T
	mu            sync.Mutex
	running       map[string]*testEntry // by peer address
	isPartitioned func(from, to fleet.VM) bool
	vms           []fleet.VM
	listDown      bool // the VM list is unavailable
}

type testEntry struct {
	*Membership
	vm       fleet.VM
	follower *testFollower
	cancel   context.CancelFunc
	stopped  chan struct{}
}

type testFollower struct {
	mu          sync.Mutex
	offset      int64
	peerOffsets map[string]int64
}

func (f *testFollower) Offsets() (int64, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset, -1
}

func (f *testFollower) ObservePeerOffset(address string, offset int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerOffsets[address] = offset
}

func (f *testFollower) ObserveSnapshot(int64) {}

func (f *testFollower) Fingerprint() (int64, uint64) {
	offset, _ := f.Offsets()
	return offset, uint64(offset)
}

func (f *testFollower) CheckDivergence(string, int64, uint64) {}

func newFleet(t *testing.T) *testFleet {
	return &testFleet{t: t, running: map[string]*testEntry{}, isPartitioned: func(_, _ fleet.VM) bool { return false }}
}

func entryVM(n int) fleet.VM {
	return fleet.VM{
		Name:        fmt.Sprintf("entry-%02d", n),
		Address:     fmt.Sprintf("10.0.0.%d:80", n),
		PeerAddress: fmt.Sprintf("10.0.0.%d:81", n),
		Zone:        fmt.Sprintf("zone-%d", n%4),
		Service:     fleet.EntryService,
		State:       fleet.Live,
	}
}

func serverVM(n int) fleet.VM {
	return fleet.VM{
		Name: fmt.Sprintf("shop-%02d", n), Address: fmt.Sprintf("10.0.1.%d:80", n),
		Zone: "zone-1", Service: "glazenpot/shop", State: fleet.Live,
	}
}

// start runs an entry process on the VM.
func (f *testFleet) start(vm fleet.VM, incarnation string, seeds ...string) *testEntry {
	follower := &testFollower{offset: 3, peerOffsets: map[string]int64{}}
	m := New(Options{
		Self:        vm,
		Incarnation: incarnation,
		Epoch:       func() uint32 { return 7 },
		Follower:    follower,
		VMs:         fleetList{f},
		Client:      fleetClient{f, vm},
		Seeds:       seeds,
	})
	ctx, cancel := context.WithCancel(context.Background())
	e := &testEntry{Membership: m, vm: vm, follower: follower, cancel: cancel, stopped: make(chan struct{})}
	f.mu.Lock()
	f.running[vm.PeerAddress] = e
	f.mu.Unlock()
	go func() {
		defer close(e.stopped)
		m.Run(ctx)
	}()
	return e
}

// kill ends the process without notifying the others.
func (f *testFleet) kill(e *testEntry) {
	f.mu.Lock()
	delete(f.running, e.vm.PeerAddress)
	f.mu.Unlock()
	e.cancel()
	<-e.stopped
}

func (f *testFleet) stop() {
	for _, e := range f.running {
		e.cancel()
		<-e.stopped
	}
}

// startAll runs n listed entries and waits until they have discovered each other.
func (f *testFleet) startAll(n, servers int) []*testEntry {
	for i := range n {
		f.vms = append(f.vms, entryVM(i))
	}
	for i := range servers {
		f.vms = append(f.vms, serverVM(i))
	}
	var out []*testEntry
	for i := range n {
		out = append(out, f.start(entryVM(i), fmt.Sprintf("incarnation-%d", i)))
	}
	time.Sleep(30 * time.Second)
	for _, e := range out {
		if got := len(e.View().Entries); got != n {
			f.t.Fatalf("%s sees %d entries, want %d", e.vm.Name, got, n)
		}
	}
	return out
}

// set changes the simulated network or VM list under the lock.
func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

type fleetList struct{ f *testFleet }

func (l fleetList) VMs(context.Context) ([]fleet.VM, error) {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	if l.f.listDown {
		return nil, errors.New("VM list is down")
	}
	return append([]fleet.VM(nil), l.f.vms...), nil
}

// fleetClient calls the receivers of other entries directly.
type fleetClient struct {
	f    *testFleet
	from fleet.VM
}

func (c fleetClient) Call(ctx context.Context, address, method string, args, reply any) error {
	time.Sleep(time.Millisecond)
	c.f.mu.Lock()
	to := c.f.running[address]
	isPartitioned := to != nil && c.f.isPartitioned(c.from, to.vm)
	c.f.mu.Unlock()
	if isPartitioned {
		<-ctx.Done()
	}
	if to == nil || isPartitioned {
		return &peer.UnreachableError{Address: address, Sent: isPartitioned, Err: errors.New("no reply")}
	}
	switch a := args.(type) {
	case *peer.Heartbeat:
		return to.Receiver().Heartbeat(a, reply.(*peer.Heartbeat))
	case *peer.DescribeArgs:
		return to.Receiver().Describe(a, reply.(*peer.DescribeReply))
	case *peer.VMsArgs:
		return to.Receiver().VMs(a, reply.(*peer.VMsReply))
	}
	return fmt.Errorf("unknown method %s", method)
}
