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
		checkNotRefused(t, w, tenants[1:], http.StatusTooManyRequests)
		checkNotRefused(t, w, tenants[1:], http.StatusServiceUnavailable)
		granted, refused := w.count(tenants[0], http.StatusTooManyRequests)
		if least := 0.95 * tenants[0].PerSecond * length.Seconds(); float64(granted) < least {
			t.Errorf("the hot tenant got %d grants, want at least %.0f", granted, least)
		}
		if refused == 0 {
			t.Error("the hot tenant was never refused")
		}
	})
}
