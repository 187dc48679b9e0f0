package process_test

import (
	"cmp"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/internal/quota"
	"chestnutrouter.example/chestnutrouter/standin/backend"
)

const (
	// narrowLimit is the voted limit of the shop in calls a second.
	narrowLimit = 6
	// shareTimeout bounds the time until entries have claimed or borrowed a share.
	shareTimeout = time.Minute
	// freezeTime is longer than an entry spends without hearing others.
	freezeTime = 6 * time.Second
)

// narrowFleet returns entries that hold one of as many seats each, under
// narrowLimit for the shop.
func narrowFleet(t *testing.T, entries int) *proctest.Fleet {
	t.Helper()
	f := proctest.NewFleet(t.TempDir(), binaries)
	t.Cleanup(f.Close)
	f.StartLocalServer("server-0", "zone-a", "glazenpot/shop", backend.Options{})
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(exampleTree)); err != nil {
		t.Fatal(err)
	}
	edit(t, filepath.Join(dir, "branch.jsonc"), `"seats": 20`, fmt.Sprintf(`"seats": %d`, entries))
	edit(t, filepath.Join(dir, "glazenpot/shop/branch.jsonc"), `"calls_per_second": 20000`, fmt.Sprintf(`"calls_per_second": %d`, narrowLimit))
	edit(t, filepath.Join(dir, "glazenpot/shop/payments/branch.jsonc"), `"calls_per_second": 400`, `"calls_per_second": 1`)
	if _, err := f.RunCtl(t.Context(), "publish", dir, "--publisher", "glazenpot/test"); err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		startEntry(t, f, fmt.Sprint("entry-", i))
	}
	for _, e := range f.Entries() {
		until(t, func() bool { return len(mustStatus(t, e.Status).Seats) > 0 })
	}
	return f
}

func edit(t *testing.T, file, old, replacement string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(text), old) {
		t.Fatalf("%s has no %s: %v", file, old, err)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func until(t *testing.T, condition func() bool) {
	t.Helper()
	if err := proctest.Until(t.Context(), shareTimeout, condition); err != nil {
		t.Fatal(err)
	}
}

// admission is a call that was admitted between two times.
type admission struct{ from, to time.Time }

// caller makes lookups and notes those that were admitted.
type caller struct {
	mu       sync.Mutex
	admitted []admission
}

// call makes one lookup through an entry and returns the status of the answer.
func (c *caller) call(t *testing.T, e *proctest.Entry) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.VM.Address+"/jars", nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	r.Host = "shop.glazenpot.example"
	from := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.admitted = append(c.admitted, admission{from: from, to: time.Now()})
	}
	return response.StatusCode
}

// mostInASecond returns the most calls that were certainly admitted within one
// second, wherever it begins.
func (c *caller) mostInASecond() int {
	slices.SortFunc(c.admitted, func(x, y admission) int { return cmp.Compare(x.from.UnixNano(), y.from.UnixNano()) })
	most := 0
	for i, first := range c.admitted {
		end := first.from.Add(time.Second)
		n := 0
		for _, a := range c.admitted[i:] {
			if a.to.Before(end) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// shopHolding returns what an entry has of the shop's limit.
func shopHolding(t *testing.T, e *proctest.Entry) quota.LimitUsage {
	t.Helper()
	for _, h := range mustStatus(t, e.Status).Limits {
		if h.Scope.Service == "shop" && h.Scope.Rank == "" {
			return h
		}
	}
	t.Fatal("the entry has no limit for the shop")
	return quota.LimitUsage{}
}

// TestVotedLimitHoldsOverAllEntries floods one entry until it has borrowed from
// the others, freezes another one past its fence, and floods all after that.
func TestVotedLimitHoldsOverAllEntries(t *testing.T) {
	f := narrowFleet(t, 3)
	entries := f.Entries()
	c := &caller{}
	until(t, func() bool {
		c.call(t, entries[0])
		return shopHolding(t, entries[0]).Borrowed > 0
	})
	if err := entries[1].Pause(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(freezeTime); time.Now().Before(end); {
		c.call(t, entries[0])
		c.call(t, entries[2])
	}
	if err := entries[1].Resume(); err != nil {
		t.Fatal(err)
	}
	var group sync.WaitGroup
	for _, e := range entries {
		group.Go(func() {
			for end := time.Now().Add(3 * time.Second); time.Now().Before(end); {
				c.call(t, e)
			}
		})
	}
	group.Wait()
	if most := c.mostInASecond(); most > narrowLimit {
		t.Errorf("%d calls within one second, the limit is %d", most, narrowLimit)
	}
	if len(c.admitted) <= narrowLimit {
		t.Errorf("only %d calls were admitted in all", len(c.admitted))
	}
}
