package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"
)

const (
	tenantName = "corner-shop"
	tenantKey  = "48wuakn2ftimaj3nr26t"
	// revokeBound is the bound revoke of the settings.
	revokeBound = 5 * time.Second
)

// lastTenant takes the only tenant out of the configuration, and sends requests with its key until
// well after the bound. Without the disruption the new configuration keeps the tenant.
func lastTenant(recordFile string, trouble bool) (int, error) {
	var mu sync.Mutex
	var removed time.Time // when the store acknowledged the configuration without the tenant
	sentAt := map[string]time.Time{}
	record := newRecord(func(q request, x run) string {
		mu.Lock()
		defer mu.Unlock()
		if after := sentAt[q.id].Sub(removed); !removed.IsZero() && after > revokeBound {
			return fmt.Sprintf("sent %.1f s after the configuration without its key was acknowledged, and ran with X-Tenant %q", after.Seconds(), x.tenant)
		}
		return ""
	})
	w, err := newWorld(record, 3)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	w.bounds = "strictRevocation = true\nrevoke = \"5000ms\"\nquotaWindow = \"5s\"\nquotaOver = 0.1\nquotaSlack = 20\n"
	routes := []map[string]any{route(shopHost, "/orders/", "non_idempotent", serviceShop)}
	services := []map[string]any{service(serviceShop)}
	tenants := []map[string]any{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 0, "ratePerS": 300, "burst": 300}}
	w.putConfigOf(1, routes, services, map[string]any{"tenants": tenants})
	for i := range 2 {
		if err := w.startServer(fmt.Sprintf("i-%d", i+1), serviceShop, fmt.Sprintf("zone-%d", i)); err != nil {
			return exitNotRun, err
		}
	}
	if err := w.startEntries(); err != nil {
		return exitNotRun, err
	}
	if err := w.awaitReady(); err != nil {
		return exitNotRun, err
	}
	fronts, err := w.fronts(shopHost)
	if err != nil {
		return exitNotRun, err
	}
	header := http.Header{"Authorization": {"Token " + tenantKey}}
	for n := range 240 {
		if n == 40 {
			if trouble {
				tenants = []map[string]any{}
			}
			w.putConfigOf(2, routes, services, map[string]any{"tenants": tenants})
			record.event("the operator writes version r2 with %d tenants", len(tenants))
			if trouble {
				mu.Lock()
				removed = time.Now()
				mu.Unlock()
			}
		}
		q := request{id: fmt.Sprintf("%06d", n), front: fronts[n%len(fronts)], method: http.MethodPost, host: shopHost, target: fmt.Sprintf("/orders/%d", n)}
		mu.Lock()
		sentAt[q.id] = time.Now()
		mu.Unlock()
		record.send(q)
		status, err := post(http.DefaultClient, q, maps.Clone(header))
		record.answered(q, status, err)
		time.Sleep(50 * time.Millisecond)
	}
	return record.finish(recordFile), nil
}
