package allowance

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// newSingle returns a world of one entry, which owns all shards and grants at once.
func newSingle(t testing.TB, tenants ...*tree.Tenant) (*world, *entry) {
	w := newWorld(t, 1, tenants...)
	time.Sleep(settleTime)
	return w, w.entries[0]
}

// finish ends the world and what still runs in it.
func (w *world) finish() {
	w.stop()
	time.Sleep(time.Second)
}

// An entry that has peers by its settings and has heard of none must not grant to itself: if each
// entry of a cluster did so after a start, each would grant the whole allowance. The request is
// held for a while and then refused with 503.
func TestEntryWithoutContactGrantsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenant := &tree.Tenant{Name: "a", PerSecond: 100, Burst: 100}
		w := newWorld(t, 3, tenant)
		defer w.finish()
		w.setCut(func(_, _ *entry) bool { return true })
		time.Sleep(time.Minute)
		began := time.Now()
		_, refusal := w.entries[0].client.Acquire(context.Background(), tenant)
		if refusal == nil || refusal.Status != http.StatusServiceUnavailable || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("got refusal %+v, want 503", refusal)
		}
		if held := time.Since(began); held < maxHold || held > 2*maxHold {
			t.Errorf("held for %v, want about %v", held, maxHold)
		}
	})
}

// The name of a tenant may be too long for a question. All entries must take the same ones for the owners
// of its shards, by the part of the name that a question has.
func TestLongNameHasOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenant := &tree.Tenant{Name: strings.Repeat("tenant", 400), PerSecond: 100, Burst: 100}
		w := newWorld(t, 30, tenant)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { cancel(); w.finish() }()
		go w.run(ctx)
		time.Sleep(settleTime)
		for _, e := range w.entries[:4] {
			if _, refusal := e.client.Acquire(ctx, tenant); refusal != nil {
				t.Errorf("%s: got refusal %+v", e.vm, refusal)
			}
		}
	})
}

// A request that ends while it waits must not keep the unit that arrives for it, and must end at
// once.
func TestAcquireEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenant := &tree.Tenant{Name: "a", PerSecond: 100}
		w := newWorld(t, 3, tenant)
		defer w.finish()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		began := time.Now()
		if _, refusal := w.entries[0].client.Acquire(ctx, tenant); refusal == nil || refusal.Outcome != outcome.NotRun {
			t.Errorf("got refusal %v, want not-run", refusal)
		}
		if held := time.Since(began); held > 20*time.Millisecond {
			t.Errorf("held for %v", held)
		}
	})
}

// A returned unit can be granted again, once and only while it is young.
func TestUnitIsReturnedOnceWhileItIsYoung(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want int
	}{{100 * time.Millisecond, 1}, {300 * time.Millisecond, 0}} {
		synctest.Test(t, func(t *testing.T) {
			// A rate of 0.001/s adds nothing within the test.
			tenant := &tree.Tenant{Name: "a", PerSecond: 0.001, Burst: 1 << 10}
			w, e := newSingle(t, tenant)
			defer w.finish()
			var last Grant
			granted := 0
			for {
				grant, refusal := e.client.Acquire(context.Background(), tenant)
				if refusal != nil {
					break
				}
				last = grant
				granted++
			}
			if granted != shardCount*initialUnits {
				t.Fatalf("%d units, want the initial ones", granted)
			}
			time.Sleep(c.age)
			last.Return()
			last.Return()
			time.Sleep(time.Second)
			again := 0
			for {
				if _, refusal := e.client.Acquire(context.Background(), tenant); refusal != nil {
					break
				}
				again++
			}
			if again != c.want {
				t.Errorf("after %v %d units were granted again, want %d", c.age, again, c.want)
			}
		})
	}
}

// A datagram that arrives twice must not return a unit twice.
func TestRepeatedReturnCountsOnce(t *testing.T) {
	b := &bucket{}
	l := Limit{PerSecond: 10, Burst: 100}
	for range 3 {
		b.giveBack(l, 1, 7)
	}
	if b.units != 1 {
		t.Errorf("%v units after one return that arrived three times, want 1", b.units)
	}
}

// A lowered limit must bind at once where it is in force, and an owner with an older configuration
// must grant by its own.
func TestEntriesWithDifferentRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before, after := &tree.Tenant{Name: "a", PerSecond: 100, Burst: 50}, &tree.Tenant{Name: "a", PerSecond: 10, Burst: 5}
		w := newWorld(t, 12, before)
		play(t, w, []*tree.Tenant{before}, 5, 18*time.Second, func() {
			time.Sleep(6 * time.Second)
			for i, e := range w.entries {
				w.mu.Lock()
				owner := e.owner
				w.mu.Unlock()
				owner.mu.Lock() // as Limit is called with it
				e.overrides = map[string]Limit{"a": {after.PerSecond, after.Burst}}
				owner.mu.Unlock()
				if i%4 == 3 {
					time.Sleep(500 * time.Millisecond)
				}
			}
			inForce := w.now()
			time.Sleep(9 * time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			var late []time.Duration
			for _, at := range w.grants["a"] {
				if at > inForce+quotaWindow/2 {
					late = append(late, at)
				}
			}
			if most := mostInWindow(late); float64(most) > bound(after) {
				t.Errorf("%d grants within %v after the lower limit was in force, want at most %.1f", most, quotaWindow, bound(after))
			}
		})
		checkBounds(w, []*tree.Tenant{before})
	})
}

// While the store is away, an entry that has restarted has no configuration. As an owner it must
// grant by the limit that the asking entry states.
func TestOwnerWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := &tree.Tenant{Name: "known", PerSecond: 50, Burst: 10}
		unknown := &tree.Tenant{Name: "unknown", PerSecond: 50, Burst: 10}
		w := newWorld(t, 6, known)
		w.refused[unknown.Name] = map[int]int{}
		play(t, w, []*tree.Tenant{known, unknown}, 4, 8*time.Second, nil)
		checkBounds(w, []*tree.Tenant{known, unknown})
		checkNotRefused(t, w, []*tree.Tenant{unknown}, http.StatusTooManyRequests)
	})
}

// A tenant far beyond its allowance must cost few queries, as denials are cached: at one entry no
// more than four shards times the units and the repetitions after maxDenial.
func TestDenialsAreCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenant := &tree.Tenant{Name: "a", PerSecond: 4}
		w, e := newSingle(t, tenant)
		defer w.finish()
		node := &countingNode{entry: e}
		e.client.options.Node = node
		const requests = 1000
		refused := 0
		for range requests {
			if _, refusal := e.client.Acquire(context.Background(), tenant); refusal != nil {
				refused++
			}
			time.Sleep(time.Millisecond)
		}
		if most := 60; node.queries > most || refused < requests/2 {
			t.Errorf("%d queries for %d requests, %d refused, want at most %d", node.queries, requests, refused, most)
		}
	})
}

type countingNode struct {
	*entry
	queries int
}

func (n *countingNode) Query(ctx context.Context, to cluster.LiveMember, topic byte, question []byte) ([]byte, error) {
	n.queries++
	return n.entry.Query(ctx, to, topic, question)
}

// An entry must hold little for thousands of tenants, and nothing for those that are idle: buckets
// are made on demand and dropped when they are full.
func TestMemoryOfThousandsOfTenants(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 5000
		var tenants []*tree.Tenant
		for i := range count {
			tenants = append(tenants, &tree.Tenant{Name: fmt.Sprintf("tenant-%d", i), PerSecond: 10, Burst: 10})
		}
		w, e := newSingle(t, tenants...)
		defer w.finish()
		before := heapBytes()
		for _, tenant := range tenants {
			if _, refusal := e.client.Acquire(context.Background(), tenant); refusal != nil {
				t.Fatal(refusal)
			}
		}
		const maxBytes = 1500 // of a tenant: the state of its client and one bucket
		if took := (heapBytes() - before) / count; took > maxBytes {
			t.Errorf("a tenant takes %d B, want at most %d", took, maxBytes)
		}
		time.Sleep(2 * idleTenantTime)
		if _, refusal := e.client.Acquire(context.Background(), tenants[0]); refusal != nil {
			t.Error(refusal)
		}
		e.owner.mu.Lock()
		e.client.mu.Lock()
		if buckets, states := len(e.owner.buckets), len(e.client.tenants); buckets > 1 || states > 1 {
			t.Errorf("%d buckets and the state of %d tenants remain after all were idle", buckets, states)
		}
		e.client.mu.Unlock()
		e.owner.mu.Unlock()
	})
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkAcquire measures a granted unit at the entry that owns all shards.
func BenchmarkAcquire(b *testing.B) {
	tenant := &tree.Tenant{Name: "a", PerSecond: 1e9, Burst: 1e9}
	w := newWorld(b, 1, tenant)
	defer w.stop()
	w.entries[0].owner.options.Now, w.entries[0].client.options.Now = steady.SinceBoot, steady.SinceBoot
	benchmarkAcquire(b, w.entries[0].client, tenant)
}

// BenchmarkAcquireDenied measures a refusal by cached denials.
func BenchmarkAcquireDenied(b *testing.B) {
	tenant := &tree.Tenant{Name: "a", PerSecond: 0.01}
	w := newWorld(b, 1, tenant)
	defer w.stop()
	benchmarkAcquire(b, w.entries[0].client, tenant)
}

func benchmarkAcquire(b *testing.B, client *Client, tenant *tree.Tenant) {
	time.Sleep(2 * takeoverDelay)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = client.Acquire(b.Context(), tenant)
	}
}

// scriptedNode is a cluster of one member, whose answers a test decides.
type scriptedNode struct {
	view   *cluster.View
	answer func(shard byte) answer
}

func (n *scriptedNode) View() *cluster.View { return n.view }

func (n *scriptedNode) Query(_ context.Context, _ cluster.LiveMember, _ byte, data []byte) ([]byte, error) {
	q, _ := decodeQuestion(data)
	a := n.answer(q.shard)
	return a.encode(), nil
}

// After a start of all entries, shards begin to grant one after the other, and the first of them may
// have too few units for the requests that wait. Such a request must wait for the next shards; one
// that a shard denies as beyond the allowance is refused at once.
func TestRequestWaitsForShardsThatBeginToGrant(t *testing.T) {
	for denied, granted := range map[status]bool{statusReduced: true, statusDecided: false} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			node := &scriptedNode{
				view: cluster.NewView([]cluster.LiveMember{{Member: cluster.Member{VM: "a"}}}, 0),
				answer: func(shard byte) answer {
					switch {
					case shard == 0:
						return answer{status: denied, wait: maxDenial}
					case time.Since(began) < 100*time.Millisecond:
						return answer{status: statusNotReady, wait: 100*time.Millisecond - time.Since(began)}
					default:
						return answer{status: statusDecided, granted: 1}
					}
				},
			}
			client := NewClient(ClientOptions{Node: node, Now: func() time.Duration { return time.Since(began) }})
			_, refusal := client.Acquire(t.Context(), &tree.Tenant{Name: "t", PerSecond: 10, Burst: 10})
			if (refusal == nil) != granted {
				t.Errorf("status %d: got refusal %+v, want a grant: %v", denied, refusal, granted)
			}
		})
	}
}
