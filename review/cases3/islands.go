package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	tenantRate  = 40
	tenantBurst = 40
	// storeDelay is the time that the platform's store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// slowFactor and slowTime are how much slower the store is at the start, and for how long.
	slowFactor = 60
	slowTime   = 4500 * time.Millisecond
	// leadTime is the time from the start of the machines to that of the traffic, and startSpread that
	// between the starts of the first and the last machine.
	leadTime    = 8 * time.Second
	startSpread = 150 * time.Millisecond
)

// arrival is when a request was sent and when it ran.
type arrival struct{ sent, ran time.Time }

// islands starts all entries within 0.3 s, with seeds of which only one runs, so that the entries
// that know each other by them are two groups until they meet by the platform's store. The store is
// slow at the start; without the disruption it is not.
func islands(recordFile string, trouble bool) (int, error) {
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var arrivals []arrival
	record := newRecord(func(q request, _ run) string {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{sentAt[q.id], time.Now()})
		return ""
	})
	w, err := newWorld(record, 4)
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	w.bounds = "strictRevocation = true\nrevoke = \"5000ms\"\nquotaWindow = \"5s\"\nquotaOver = 0.1\nquotaSlack = 20\n"
	w.seedsOf = func(number int) []string {
		other := number ^ 1 // the entries 0 and 1 know each other, and 2 and 3
		return []string{w.at(w.ips[other], portControl), w.at("127.63.0.1", portControl), w.at("127.63.0.2", portControl)}
	}
	w.pauseBefore = map[int]time.Duration{2: startSpread}
	routes := []map[string]any{route(shopHost, "/look/", "idempotent", serviceShop)}
	w.putConfigOf(1, routes, []map[string]any{service(serviceShop)}, map[string]any{"tenants": []map[string]any{
		{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 0, "ratePerS": tenantRate, "burst": tenantBurst},
	}})
	for i := range 6 {
		if err := w.startServer(fmt.Sprintf("i-%d", i+1), serviceShop, fmt.Sprintf("zone-%d", i%2)); err != nil {
			return exitNotRun, err
		}
	}
	w.storeDelay = storeDelay
	if trouble {
		w.storeDelay = slowFactor * storeDelay
		time.AfterFunc(slowTime, func() { w.setStoreDelay(storeDelay) })
	}
	began := time.Now()
	if err := w.startEntries(); err != nil {
		return exitNotRun, err
	}
	if err := w.awaitReady(); err != nil {
		return exitNotRun, err
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	var callers sync.WaitGroup
	for i := range 16 {
		front := w.at(w.entries[i%len(w.entries)].ip, portFront)
		callers.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
			for n := 0; ctx.Err() == nil; n++ {
				q := request{id: fmt.Sprintf("%02d-%06d", i, n), front: front, method: http.MethodGet, host: shopHost, target: fmt.Sprintf("/look/%d", n)}
				mu.Lock()
				sentAt[q.id] = time.Now()
				mu.Unlock()
				record.send(q)
				status, err := post(client, q, http.Header{"Authorization": {"Token " + tenantKey}})
				record.answered(q, status, err)
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	mu.Lock()
	defer mu.Unlock()
	allowed := (tenantRate*quotaWindow.Seconds()+tenantBurst)*(1+quotaOver) + quotaSlack
	most, at := mostInWindow(arrivals)
	record.event("at most %d requests of the tenant were sent and ran within %v, from %.3f s on; allowed are %.0f", most, quotaWindow, at.Sub(record.began).Seconds(), allowed)
	fmt.Printf("at most %d requests within %v, allowed are %.0f\n", most, quotaWindow, allowed)
	if float64(most) > allowed {
		record.fail("the allowance")
	}
	return record.finish(recordFile), nil
}

// mostInWindow returns the largest number of requests that were sent and ran within a window, and
// when it began.
func mostInWindow(arrivals []arrival) (most int, at time.Time) {
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.sent.Compare(b.sent) })
	for i, first := range arrivals {
		n := 0
		for _, a := range arrivals[i:] {
			if a.ran.Sub(first.sent) <= quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return most, at
}
