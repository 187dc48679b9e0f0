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

// leaveTime is how long after the first sign a leaving server may get new work.
const leaveTime = 5 * time.Second

// callsAtOnce is more than what the other servers of the shop can run at once.
const callsAtOnce = 10

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

// lookups sends that many calls at once, so that all servers get some, and
// returns how many were answered.
func lookups(t *testing.T, e *proctest.Entry, n int) int64 {
	t.Helper()
	var calls sync.WaitGroup
	var answered atomic.Int64
	for range n {
		calls.Go(func() {
			if lookup(t, e) == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	calls.Wait()
	return answered.Load()
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
	// The first sign is an answer to one entry alone, or a probe.
	lookups(t, f.Entries()[0], callsAtOnce)
	time.Sleep(leaveTime)
	before := servers[0].Runs().WhileDraining
	for range 20 {
		for _, e := range f.Entries() {
			if got := lookups(t, e, callsAtOnce); got == 0 {
				t.Errorf("%s answered none of %d calls", e.VM.Name, callsAtOnce)
			}
		}
	}
	if after := servers[0].Runs().WhileDraining; after != before {
		t.Errorf("the draining server got %d calls after %s", after-before, leaveTime)
	}
	// A restarted server serves again on the same VM.
	servers[0].SetFaults(backend.Faults{})
	for _, e := range f.Entries() {
		before := servers[0].Runs().Total
		err := proctest.Until(t.Context(), agreeTimeout, func() bool {
			lookups(t, e, callsAtOnce)
			return servers[0].Runs().Total > before
		})
		if err != nil {
			t.Errorf("%s sends the server that is back nothing: %v", e.VM.Name, err)
		}
	}
}
