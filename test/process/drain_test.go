package process_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/standin/backend"
)

// drainNoticeTime is how long a draining server may still get new requests after it
// first reported that it drains.
const drainNoticeTime = 5 * time.Second

// concurrentCalls is more than the other servers of the shop can run concurrently, so that
// every server is needed.
const concurrentCalls = 10

// lookup sends an idempotent call for the shop through an entry.
func lookup(t *testing.T, e *proctest.Entry) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.VM.Address+"/kits", nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Host = "shop.glazenpot.example"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// concurrentLookups sends n calls concurrently, so that all servers get some, and returns
// how many were served.
func concurrentLookups(t *testing.T, e *proctest.Entry, n int) int64 {
	t.Helper()
	var calls sync.WaitGroup
	var served atomic.Int64
	for range n {
		calls.Go(func() {
			if lookup(t, e) == http.StatusOK {
				served.Add(1)
			}
		})
	}
	calls.Wait()
	return served.Load()
}

func TestDrainingServerGetsNoNewWorkFromAnyEntry(t *testing.T) {
	f := startFleet(t, 0)
	var servers []*backend.Server
	for i := range 3 {
		servers = append(servers, f.StartLocalServer(fmt.Sprint("shop-", i), "zone-a", "glazenpot/shop", backend.Options{}))
	}
	for i := range 3 {
		startEntry(t, f, fmt.Sprint("entry-", i))
	}
	servers[0].SetFaults(backend.Faults{Draining: true})
	// At first only one entry detects the drain, by a response or a probe.
	concurrentLookups(t, f.Entries()[0], concurrentCalls)
	time.Sleep(drainNoticeTime)
	before := servers[0].Runs().WhileDraining
	for range 20 {
		for _, e := range f.Entries() {
			if got := concurrentLookups(t, e, concurrentCalls); got == 0 {
				t.Errorf("%s served none of %d calls", e.VM.Name, concurrentCalls)
			}
		}
	}
	if after := servers[0].Runs().WhileDraining; after != before {
		t.Errorf("the draining server got %d calls later than %s, want none", after-before, drainNoticeTime)
	}
	// A restarted server serves again on the same VM.
	servers[0].SetFaults(backend.Faults{})
	for _, e := range f.Entries() {
		before := servers[0].Runs().Total
		err := proctest.Until(t.Context(), agreeTimeout, func() bool {
			concurrentLookups(t, e, concurrentCalls)
			return servers[0].Runs().Total > before
		})
		if err != nil {
			t.Errorf("%s sends no calls to the restarted server: %v", e.VM.Name, err)
		}
	}
}
