package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

// Open connections to the store and to servers go silent for good, without a reset, while new ones
// work. A while later a new configuration must be in force at all entries in time, and a server
// that is removed must get nothing more, as all that was read on those connections is replaced.
func TestConnectionsThatGoSilent(t *testing.T) {
	const (
		calm        = 4500 * time.Millisecond // from the fault to the changes
		changeBound = 2 * time.Second
	)
	w := newWorld(t, build(t), t.TempDir())
	defer w.close()
	w.awaitReady()
	stop := make(chan struct{})
	callers := w.runCallers(callerCount, 1, stop)
	time.Sleep(2 * time.Second)
	r := rand.New(rand.NewPCG(1, 1))
	for _, p := range w.proxies() {
		if r.Float64() < 0.7 {
			p.silenceAll()
		}
	}
	time.Sleep(calm)
	w.mu.Lock()
	w.version++
	config, removed := w.config(), w.servers[0]
	w.mu.Unlock()
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{
		"name": "new", "host": host, "pathPrefix": "/new/", "kind": "idempotent", "timeout": "800ms",
		"targetLatency": "250ms", "priority": 0, "service": "look", "maxAttempts": 2,
	})
	w.store.PutJSON("keyed.op", "config", config)
	removed.Drain()
	changedAt := time.Now()
	for _, e := range w.entries {
		for {
			status := w.statusOf(e, "/new/x")
			if status == http.StatusOK {
				break
			}
			if time.Since(changedAt) > changeBound {
				t.Errorf("%s answers with %d on a new route after %v", e.name, status, time.Since(changedAt))
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	time.Sleep(changeBound + 500*time.Millisecond - time.Since(changedAt))
	close(stop)
	callers.Wait()
	for _, run := range removed.Runs() {
		if run.At.Sub(changedAt) > changeBound {
			t.Errorf("request %s reached the removed server %v after it said that it leaves", run.ID, run.At.Sub(changedAt))
		}
	}
	between := 0
	for _, s := range w.checker.requests {
		if s.from.Before(changedAt) && s.status != http.StatusOK {
			between++
		}
		if s.from.Sub(changedAt) > 0 && s.status != http.StatusOK {
			t.Errorf("request %s at %s got status %d, %v after connections went silent", s.id, s.entry.name, s.status, s.from.Sub(changedAt)+calm)
		}
	}
	t.Logf("%d of %d requests failed before the changes", between, len(w.checker.requests))
}

// statusOf returns the status of a request on a connection of its own, zero without a response.
func (w *world) statusOf(e *entry, path string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+e.callers+path, nil)
	if err != nil {
		w.t.Fatal(err)
	}
	request.Host = host
	request.Header.Set("X-Request-Id", fmt.Sprintf("status-%d", requestNumber.Add(1)))
	request.Header.Set("Authorization", "Token "+w.keyOf(tenantSteady, false, nil).value)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
