package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	// tenantSteady is always far within its allowance, tenantSurge now and then far beyond it.
	// The keys of tenantRotating are replaced.
	tenantSteady, tenantSurge, tenantRotating = "steady", "surge", "rotating"
	// forgedTenant is what callers send as X-Tenant.
	forgedTenant = "forged"
	// keyPrefix begins each key.
	keyPrefix = "soak-secret-"
	// revokeBound is short, so that a short run has requests after it.
	revokeBound = 2 * time.Second
	// configBound is the platform's default of the time until a new key works.
	configBound = 2500 * time.Millisecond
	// rotatingCallers send present and former keys.
	rotatingCallers = 3
)

// publicRoute needs no key.
var publicRoute = route{service: "look", deadline: 900 * time.Millisecond, public: true}

// path returns the first segment of the route's path.
func (r route) path() string {
	if r.public {
		return "open"
	}
	return r.service
}

// tenant is a tenant of the configuration. Its fields are guarded by world.mu.
type tenant struct {
	name   string
	key    *tenantKey
	limits []limit
}

// limit is an allowance, from the time at which it was written until the next one.
type limit struct {
	from        time.Time
	rate, burst float64
}

// tenantKey is a key, when its removal was written, and when the store acknowledged its addition
// and its removal. The times are zero before that.
type tenantKey struct {
	value, tenant             string
	mu                        sync.Mutex // guards the fields below
	added, replacing, removed time.Time
}

func (k *tenantKey) setAdded(at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.added = at
}

func (k *tenantKey) setRemoved(written, acknowledged time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replacing, k.removed = written, acknowledged
}

// mayBeUnknown reports whether an entry may not know the key at some time from the first moment
// to the last one.
func (k *tenantKey) mayBeUnknown(from, to time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return from.Before(k.added.Add(configBound)) || !k.replacing.IsZero() && to.After(k.replacing)
}

// isRevoked reports whether the key must not work for a request sent then.
func (k *tenantKey) isRevoked(sent time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.removed.IsZero() && sent.After(k.removed.Add(revokeBound))
}

func (w *world) addTenants() {
	for _, t := range []*tenant{
		{name: tenantSteady, limits: []limit{{rate: 800, burst: 400}}},
		{name: tenantSurge, limits: []limit{{rate: 20, burst: 10}}},
		{name: tenantRotating, limits: []limit{{}}},
	} {
		t.key = w.newKey(t.name)
		t.key.setAdded(time.Now())
		w.tenants = append(w.tenants, t)
	}
	// Callers send a key that is in no configuration as well.
	unknown := w.newKey(tenantRotating)
	unknown.setRemoved(time.Now(), time.Now().Add(-revokeBound))
}

// newKey returns a new key of the tenant. w.mu must be held while the entries run.
func (w *world) newKey(tenant string) *tenantKey {
	k := &tenantKey{value: fmt.Sprintf("%s%s-%d", keyPrefix, tenant, len(w.keys)), tenant: tenant}
	w.keys = append(w.keys, k)
	return k
}

// withTenants adds the tenants and the public route to the configuration. w.mu must be held.
func (w *world) withTenants(config map[string]any) map[string]any {
	var tenants []map[string]any
	for _, t := range w.tenants {
		l := t.limits[len(t.limits)-1]
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": []string{t.key.value}, "ratePerS": l.rate, "burst": l.burst})
	}
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "open", "host": host, "pathPrefix": "/open/", "kind": "idempotent", "timeout": "800ms",
		"targetLatency": "250ms", "priority": 0, "service": publicRoute.service, "maxAttempts": 2, "public": true,
	})
	for _, s := range config["services"].([]map[string]any) {
		s["warmup"], s["warmupPerS"] = warmUp.String(), warmUpPerSecond
	}
	return usersplatform.WithTenants(config, nil, tenants...)
}

func (w *world) tenant(name string) *tenant {
	return w.tenants[slices.IndexFunc(w.tenants, func(t *tenant) bool { return t.name == name })]
}

// keyOf returns the key of the tenant, or with former one of those that it ever had.
func (w *world) keyOf(name string, former bool, r *rand.Rand) *tenantKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !former || r.IntN(2) == 0 {
		return w.tenant(name).key
	}
	var all []*tenantKey
	for _, k := range w.keys {
		if k.tenant == name {
			all = append(all, k)
		}
	}
	return all[r.IntN(len(all))]
}

// runTenantCallers runs the callers of the tenants other than tenantSteady.
func (w *world) runTenantCallers(seed uint64, stop <-chan struct{}) *sync.WaitGroup {
	var group sync.WaitGroup
	for i := range rotatingCallers {
		c := w.newCaller(tenantRotating, 100+i, seed)
		c.formerKeys = true
		group.Go(func() { c.run(stop) })
	}
	c := w.newCaller(tenantSurge, 200, seed)
	group.Go(func() { c.run(stop) })
	return &group
}

func (w *world) newCaller(tenant string, number int, seed uint64) *caller {
	return &caller{
		world: w, tenant: tenant, number: number, rand: rand.New(rand.NewPCG(seed, uint64(number))),
		conns: map[string]*callerConn{}, hold: 1, pause: callerPause,
	}
}
