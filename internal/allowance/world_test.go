package allowance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// quotaWindow, quotaOver and quotaSlack are the terms of the specification.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20.0
	// zoneTimeout and crossZoneTimeout are how long members take a silent one for live.
	zoneTimeout, crossZoneTimeout = 500 * time.Millisecond, 2500 * time.Millisecond
	// zoneLatency and crossZoneLatency are the times that a datagram takes.
	zoneLatency, crossZoneLatency = 200 * time.Microsecond, time.Millisecond
	// heartbeatStep is the time between two heartbeats in the world, and viewStep that between two
	// ticks of an entry.
	heartbeatStep, viewStep = 200 * time.Millisecond, 50 * time.Millisecond
	// maxIntroduction is the longest time after which two members know each other when one of them
	// has started. It differs from pair to pair.
	maxIntroduction = 900 * time.Millisecond
)

// world is a cluster of entries in virtual time. Members hear each other by heartbeats; links
// can be cut in each direction, and entries be killed, paused and restarted.
type world struct {
	t       testing.TB
	began   time.Time
	tenants map[string]*tree.Tenant

	mu      sync.Mutex // guards the fields below
	entries []*entry
	cut     func(from, to *entry) bool
	grants  map[string][]time.Duration // by tenant, in order of time
	refused map[string]map[int]int     // by tenant and status
}

// entry is one entry VM of a world.
type entry struct {
	world    *world
	vm, zone string
	weight   float64
	address  netip.AddrPort
	view     atomic.Pointer[cluster.View]

	// guarded by world.mu
	incarnation uint64 // 0 while it is not running
	paused      bool
	heard       map[*entry]heartbeat
	owner       *Owner
	client      *Client
	cancel      context.CancelFunc
	overrides   map[string]Limit // limits of this entry's configuration, if they differ
}

type heartbeat struct {
	at          time.Duration
	incarnation uint64
}

// newWorld returns a world with that many entries, which all run, in three zones.
func newWorld(t testing.TB, count int, tenants ...*tree.Tenant) *world {
	w := &world{
		t: t, began: time.Now(), tenants: map[string]*tree.Tenant{}, grants: map[string][]time.Duration{},
		refused: map[string]map[int]int{},
		cut:     func(_, _ *entry) bool { return false },
	}
	for _, tenant := range tenants {
		w.tenants[tenant.Name] = tenant
		w.refused[tenant.Name] = map[int]int{}
	}
	for i := range count {
		e := &entry{world: w, vm: fmt.Sprintf("vm-%03d", i), zone: fmt.Sprintf("zone-%d", i%3), weight: 0.16}
		if i%17 < 1 {
			e.weight = 0.8
		}
		e.address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		w.entries = append(w.entries, e)
	}
	for _, e := range w.entries {
		w.start(e)
	}
	return w
}

func (w *world) now() time.Duration { return time.Since(w.began) }

// run sends heartbeats until the context ends.
func (w *world) run(ctx context.Context) {
	cluster.RunEvery(ctx, heartbeatStep, func(context.Context, time.Time) { w.heartbeats() })
}

func (w *world) heartbeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, to := range w.entries {
		if to.incarnation == 0 || to.paused {
			continue
		}
		for _, from := range w.entries {
			if from != to && from.incarnation != 0 && !from.paused && !w.cut(from, to) && introduced(from, to, now) {
				to.heard[from] = heartbeat{now, from.incarnation}
			}
		}
	}
}

// introduced reports whether the members have known each other since one of them started.
func introduced(from, to *entry, now time.Duration) bool {
	started := max(from.incarnation, to.incarnation)
	pair := rand.New(rand.NewPCG(from.incarnation<<16^uint64(from.address.Addr().As4()[3]), to.incarnation<<16^uint64(to.address.Addr().As4()[3])))
	return now-time.Duration(started) >= time.Duration(pair.Int64N(int64(maxIntroduction)))
}

// start starts the entry's process.
func (w *world) start(e *entry) {
	w.mu.Lock()
	e.incarnation = uint64(w.now()) + 1
	e.heard = map[*entry]heartbeat{}
	w.updateView(e)
	e.owner = NewOwner(OwnerOptions{Self: e.vm, View: e.View, Limit: e.limit, Window: quotaWindow, HasPeers: len(w.entries) > 1, Send: e.send, Now: w.now, StartedAt: startedAt})
	e.client = NewClient(ClientOptions{Node: e, Now: w.now})
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	owner := e.owner
	w.mu.Unlock()
	go cluster.RunEvery(ctx, viewStep, func(context.Context, time.Time) {
		w.mu.Lock()
		paused := e.paused
		if !paused {
			w.updateView(e)
		}
		w.mu.Unlock()
		if !paused {
			owner.Tick()
		}
	})
}

// startedAt returns when a member of a world started.
func startedAt(m cluster.Member) time.Duration { return time.Duration(m.Incarnation) }

// kill ends the entry's process.
func (w *world) kill(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.incarnation != 0 {
		e.incarnation, e.paused = 0, false
		e.cancel()
	}
}

// pause stops the entry's process as SIGSTOP does, or continues it.
func (w *world) pause(e *entry, paused bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.paused = paused
}

// setCut replaces the rule for lost datagrams.
func (w *world) setCut(cut func(from, to *entry) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// stop kills all entries.
func (w *world) stop() {
	for _, e := range w.entries {
		w.kill(e)
	}
}

// updateView computes what the entry sees. The caller holds w.mu.
func (w *world) updateView(e *entry) {
	now := w.now()
	var live, silent []cluster.LiveMember
	missing := 0
	for _, other := range w.entries {
		hb, known := e.heard[other]
		if other == e {
			hb, known = heartbeat{now, e.incarnation}, true
		}
		timeout := crossZoneTimeout
		if other.zone == e.zone {
			timeout = zoneTimeout
		}
		switch {
		case !known:
		case now-hb.at > timeout:
			missing++
			silent = append(silent, cluster.LiveMember{Member: cluster.Member{
				VM: other.vm, Zone: other.zone, DatagramAddress: other.address, Incarnation: hb.incarnation, Weight: other.weight,
			}})
		default:
			live = append(live, cluster.LiveMember{Member: cluster.Member{
				VM: other.vm, Zone: other.zone, DatagramAddress: other.address, Incarnation: hb.incarnation, Weight: other.weight,
			}})
		}
	}
	view := cluster.NewView(live, missing)
	view.Silent = silent
	e.view.Store(view)
}

// View implements Node.
func (e *entry) View() *cluster.View { return e.view.Load() }

func (e *entry) limit(tenant string) (Limit, bool) {
	if l, ok := e.overrides[tenant]; ok {
		return l, true
	}
	t, ok := e.world.tenants[tenant]
	if !ok {
		return Limit{}, false
	}
	return Limit{t.PerSecond, t.Burst}, true
}

// Query implements Node.
func (e *entry) Query(ctx context.Context, to cluster.LiveMember, _ byte, question []byte) ([]byte, error) {
	target := e.world.find(to.VM)
	if target == e {
		e.world.mu.Lock()
		owner := e.owner
		e.world.mu.Unlock()
		if answer := owner.Answer(question); answer != nil {
			return answer, nil
		}
	}
	latency := crossZoneLatency
	if target.zone == e.zone {
		latency = zoneLatency
	}
	answer, ok := e.world.deliver(e, target, question, latency)
	if !ok {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return answer, nil
}

// send sends a question to which no answer is needed.
func (e *entry) send(to *cluster.Assignee, question []byte) {
	target := e.world.find(to.VM)
	go e.world.deliver(e, target, question, crossZoneLatency)
}

func (w *world) find(vm string) *entry {
	return w.entries[slices.IndexFunc(w.entries, func(e *entry) bool { return e.vm == vm })]
}

// deliver carries a question and its answer. A paused entry answers when it goes on.
func (w *world) deliver(from, to *entry, question []byte, latency time.Duration) ([]byte, bool) {
	w.mu.Lock()
	lost := w.cut(from, to) || to.incarnation == 0 || to.paused
	owner := to.owner
	w.mu.Unlock()
	if lost {
		return nil, false
	}
	time.Sleep(latency)
	answer := owner.Answer(question)
	time.Sleep(latency)
	w.mu.Lock()
	defer w.mu.Unlock()
	return answer, answer != nil && !w.cut(to, from) && to.incarnation != 0
}

// request makes one request of the tenant at the entry.
func (w *world) request(e *entry, tenant *tree.Tenant) {
	w.mu.Lock()
	client, gone := e.client, e.incarnation == 0 || e.paused
	w.mu.Unlock()
	if gone {
		return
	}
	_, refusal := client.Acquire(context.Background(), tenant)
	w.mu.Lock()
	defer w.mu.Unlock()
	if refusal == nil {
		w.grants[tenant.Name] = append(w.grants[tenant.Name], w.now())
		return
	}
	w.refused[tenant.Name][refusal.Status]++
}

// offer makes requests of the tenant at random times and entries, at the rate, until the context
// ends.
func (w *world) offer(ctx context.Context, seed uint64, perSecond float64, tenant *tree.Tenant) {
	random := rand.New(rand.NewPCG(seed, 1))
	var requests sync.WaitGroup
	defer requests.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))):
		}
		e := w.entries[random.IntN(len(w.entries))]
		requests.Go(func() { w.request(e, tenant) })
	}
}

// bound returns the most requests of the tenant that may be granted in a window.
func bound(tenant *tree.Tenant) float64 {
	return (tenant.PerSecond*quotaWindow.Seconds()+tenant.Burst)*(1+quotaOver) + quotaSlack
}

// most returns the most grants to the tenant in any window.
func (w *world) most(tenant *tree.Tenant) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return mostInWindow(w.grants[tenant.Name])
}

// mostInWindow returns the largest number of the times that lie in one window.
func mostInWindow(unsorted []time.Duration) int {
	times := slices.Clone(unsorted)
	slices.Sort(times)
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (w *world) checkBound(tenant *tree.Tenant) {
	w.t.Helper()
	if most := w.most(tenant); float64(most) > bound(tenant) {
		w.t.Errorf("%s: %d grants within %v, want at most %.1f", tenant.Name, most, quotaWindow, bound(tenant))
	}
}

// count returns the number of grants and of refusals with the status to the tenant.
func (w *world) count(tenant *tree.Tenant, status int) (granted, refused int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.grants[tenant.Name]), w.refused[tenant.Name][status]
}

// everyone returns a view of all entries.
func (w *world) everyone() *cluster.View {
	var live []cluster.LiveMember
	for _, e := range w.entries {
		live = append(live, cluster.LiveMember{Member: cluster.Member{VM: e.vm, DatagramAddress: e.address, Weight: e.weight}})
	}
	return cluster.NewView(live, 0)
}
