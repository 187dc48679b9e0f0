package allowance

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// usualShare is the usual demand of a tenant as a part of its rate.
	usualShare = 1 / 1.6
	// settleTime is how long a world runs before the load begins, so that the entries know each
	// other and the buckets are full.
	settleTime = 12 * time.Second
)

// powerLawTenants returns tenants whose sizes follow a power law with exponent 1.2 and whose usual
// demand is that many requests per second together.
func powerLawTenants(count int, demand float64) []*tree.Tenant {
	sum := 0.0
	for i := range count {
		sum += math.Pow(float64(i+1), -1.2)
	}
	var tenants []*tree.Tenant
	for i := range count {
		usual := demand * math.Pow(float64(i+1), -1.2) / sum
		tenants = append(tenants, &tree.Tenant{Name: fmt.Sprintf("tenant-%d", i), PerSecond: usual / usualShare, Burst: max(usual/usualShare, 4)})
	}
	return tenants
}

// play runs a world for a time: all tenants send their usual demand but for the first one, whose
// demand is that factor of its allowance.
func play(t *testing.T, w *world, tenants []*tree.Tenant, hot float64, length time.Duration, script func()) {
	t.Helper()
	background, stopWorld := context.WithCancel(context.Background())
	defer func() { stopWorld(); w.stop(); time.Sleep(time.Second) }()
	go w.run(background)
	time.Sleep(settleTime)
	load, cancel := context.WithTimeout(background, length)
	defer cancel()
	var offers sync.WaitGroup
	for i, tenant := range tenants {
		perSecond := usualShare * tenant.PerSecond
		if i == 0 {
			perSecond = hot * tenant.PerSecond
		}
		offers.Go(func() { w.offer(load, uint64(i), perSecond, tenant) })
	}
	if script != nil {
		script()
	}
	offers.Wait()
}

func checkBounds(w *world, tenants []*tree.Tenant) {
	w.t.Helper()
	for _, tenant := range tenants {
		w.checkBound(tenant)
	}
}

func checkNotRefused(t *testing.T, w *world, tenants []*tree.Tenant, status int) {
	t.Helper()
	for _, tenant := range tenants {
		if granted, refused := w.count(tenant, status); refused != 0 {
			t.Errorf("%s (%.1f/s, burst %.1f): %d requests within the allowance refused with %d, %d granted",
				tenant.Name, tenant.PerSecond, tenant.Burst, refused, status, granted)
		}
	}
}

// Load: 100 entries, 30 tenants by a power law; one sends 5 times its allowance, all others their
// usual demand. No other tenant may be refused, the hot one must get its allowance, and the bound
// must hold for all.
func TestHotTenantAtAHundredEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tenants := powerLawTenants(30, 300)
		w := newWorld(t, 100, tenants...)
		const length = 12 * time.Second
		play(t, w, tenants, 5, length, nil)
		checkBounds(w, tenants)
		checkNotRefused(t, w, tenants[1:], http.StatusTooManyRequests)
		checkNotRefused(t, w, tenants[1:], http.StatusServiceUnavailable)
		checkNotRefused(t, w, tenants[:1], http.StatusServiceUnavailable)
		granted, refused := w.count(tenants[0], http.StatusTooManyRequests)
		if least := 0.95 * tenants[0].PerSecond * length.Seconds(); float64(granted) < least {
			t.Errorf("the hot tenant got %d grants, want at least %.0f", granted, least)
		}
		if refused == 0 {
			t.Error("the hot tenant was never refused")
		}
	})
}

// failureTenants are a hot tenant with a high rate, for which overlaps count most, and two of
// usual demand: one with a low rate, for which single units count most.
func failureTenants() []*tree.Tenant {
	return []*tree.Tenant{
		{Name: "hot", PerSecond: 200, Burst: 100},
		{Name: "small", PerSecond: 3, Burst: 3},
		{Name: "medium", PerSecond: 30, Burst: 15},
	}
}

// owners returns the entries that own the shards of the tenant's allowance.
func (w *world) owners(tenant *tree.Tenant) []*entry {
	assignment := w.entries[0].View().Assignment()
	var owners []*entry
	for shard := range shardCount {
		owner, _ := assignment.Owner(cluster.AssignmentKey(tenant.Name, shard))
		owners = append(owners, w.find(owner.VM))
	}
	return owners
}

// Load: 30 entries in three zones; a tenant whose shards are all owned in two of them sends 5 times
// its allowance. The third zone stops hearing the others, which still hear it, so that it takes all
// shards over and the others see nobody missing. The sum of both must stay within the bound.
func TestZoneThatHearsNobodyClaimsItsPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 30)
		tenant := &tree.Tenant{PerSecond: 200}
		for i := 0; ; i++ {
			tenant.Name = fmt.Sprintf("hot-%d", i)
			inThird := false
			all := w.everyone().Assignment()
			for shard := range shardCount {
				owner, _ := all.Owner(cluster.AssignmentKey(tenant.Name, shard))
				inThird = inThird || w.find(owner.VM).zone == "zone-2"
			}
			if !inThird {
				break
			}
		}
		w.tenants[tenant.Name], w.refused[tenant.Name] = tenant, map[int]int{}
		play(t, w, []*tree.Tenant{tenant}, 5, 15*time.Second, func() {
			time.Sleep(time.Second)
			w.setCut(func(from, to *entry) bool { return to.zone == "zone-2" && from.zone != "zone-2" })
			time.Sleep(13 * time.Second)
		})
		checkBounds(w, []*tree.Tenant{tenant})
		t.Logf("at most %d of %.0f in a window", w.most(tenant), bound(tenant))
	})
}

// Load: 30 entries in three zones; a tenant sends 5 times its allowance of 200/s, two others their
// usual demand, while entries fail. The bound must hold throughout, and no request of the tenants
// that stay within their allowance may be refused with 429 while an owner can be queried.
func TestBoundHoldsThroughFailures(t *testing.T) {
	for name, script := range map[string]func(*world, []*tree.Tenant){
		"owners killed and restarted in turn": func(w *world, tenants []*tree.Tenant) {
			for _, owner := range w.owners(tenants[0]) {
				time.Sleep(time.Second)
				w.kill(owner)
				time.Sleep(700 * time.Millisecond)
				w.start(owner)
			}
		},
		"owners killed at the same time, for long": func(w *world, tenants []*tree.Tenant) {
			owners := w.owners(tenants[0])
			time.Sleep(2 * time.Second)
			for _, owner := range owners {
				w.kill(owner)
			}
			time.Sleep(6 * time.Second)
			for _, owner := range owners {
				w.start(owner)
			}
		},
		"owners paused and continued": func(w *world, tenants []*tree.Tenant) {
			for _, length := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second, 5 * time.Second} {
				time.Sleep(500 * time.Millisecond)
				owners := w.owners(tenants[0])
				for _, owner := range owners {
					w.pause(owner, true)
				}
				time.Sleep(length)
				for _, owner := range owners {
					w.pause(owner, false)
				}
			}
		},
		"an owner cut off, outgoing only": func(w *world, tenants []*tree.Tenant) {
			time.Sleep(time.Second)
			off := w.owners(tenants[0])[0]
			w.setCut(func(from, _ *entry) bool { return from == off })
			time.Sleep(6 * time.Second)
			w.setCut(func(_, _ *entry) bool { return false })
		},
		"an owner cut off, incoming only": func(w *world, tenants []*tree.Tenant) {
			time.Sleep(time.Second)
			off := w.owners(tenants[0])[0]
			w.setCut(func(_, to *entry) bool { return to == off })
			time.Sleep(6 * time.Second)
			w.setCut(func(_, _ *entry) bool { return false })
		},
		"a zone cut off from the others": func(w *world, _ []*tree.Tenant) {
			time.Sleep(time.Second)
			w.setCut(func(from, to *entry) bool {
				return from.zone != to.zone && (from.zone == "zone-1" || to.zone == "zone-1")
			})
			time.Sleep(8 * time.Second)
			w.setCut(func(_, _ *entry) bool { return false })
		},
		"a zone that does not hear the others": func(w *world, _ []*tree.Tenant) {
			time.Sleep(time.Second)
			w.setCut(func(from, to *entry) bool { return to.zone == "zone-1" && from.zone != "zone-1" })
			time.Sleep(12 * time.Second)
			w.setCut(func(_, _ *entry) bool { return false })
		},
		"a zone that the others do not hear": func(w *world, _ []*tree.Tenant) {
			time.Sleep(time.Second)
			w.setCut(func(from, to *entry) bool { return from.zone == "zone-1" && to.zone != "zone-1" })
			time.Sleep(12 * time.Second)
			w.setCut(func(_, _ *entry) bool { return false })
		},
		"all restarted at once": func(w *world, _ []*tree.Tenant) {
			time.Sleep(3 * time.Second)
			for _, e := range w.entries {
				w.kill(e)
			}
			for i, e := range w.entries {
				time.Sleep(time.Duration(i%3) * 30 * time.Millisecond)
				w.start(e)
			}
		},
		"all restarted in turn": func(w *world, _ []*tree.Tenant) {
			for _, e := range w.entries {
				w.kill(e)
				time.Sleep(300 * time.Millisecond)
				w.start(e)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tenants := failureTenants()
				w := newWorld(t, 30, tenants...)
				play(t, w, tenants, 5, 15*time.Second, func() { script(w, tenants) })
				checkBounds(w, tenants)
				checkNotRefused(t, w, tenants[1:], http.StatusTooManyRequests)
				for _, tenant := range tenants {
					granted, unavailable := w.count(tenant, http.StatusServiceUnavailable)
					t.Logf("%s: %d granted, %d refused with 503, at most %d of %.0f in a window", tenant.Name, granted, unavailable, w.most(tenant), bound(tenant))
				}
			})
		})
	}
}
