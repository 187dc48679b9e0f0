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
	// lowLimit is the global limit of the shop in calls per second.
	lowLimit = 6
	// shareTimeout bounds the time until entries have claimed or borrowed a share.
	shareTimeout = time.Minute
	// pauseTime is longer than an entry may use its share without contact with others.
	pauseTime = 6 * time.Second
)

// startLimitedFleet returns a fleet with lowLimit for the shop and as many seats as
// entries, of which each entry holds one.
func startLimitedFleet(t *testing.T, entries int) *proctest.Fleet {
	t.Helper()
	f := proctest.NewFleet(t.TempDir(), binaries)
	t.Cleanup(f.Close)
	f.StartLocalServer("server-0", "zone-a", "glazenpot/shop", backend.Options{})
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(exampleTree)); err != nil {
		t.Fatal(err)
	}
	replaceInFile(t, filepath.Join(dir, "branch.jsonc"), `"seats": 20`, fmt.Sprintf(`"seats": %d`, entries))
	replaceInFile(t, filepath.Join(dir, "glazenpot/shop/branch.jsonc"), `"calls_per_second": 20000`, fmt.Sprintf(`"calls_per_second": %d`, lowLimit))
	replaceInFile(t, filepath.Join(dir, "glazenpot/shop/payments/branch.jsonc"), `"calls_per_second": 400`, `"calls_per_second": 1`)
	if _, err := f.RunCtl(t.Context(), "publish", dir, "--publisher", "glazenpot/test"); err != nil {
		t.Fatal(err)
	}
	for i := range entries {
		startEntry(t, f, fmt.Sprint("entry-", i))
	}
	for _, e := range f.Entries() {
		waitUntil(t, func() bool { return len(mustStatus(t, e.Status).Seats) > 0 })
	}
	return f
}

func replaceInFile(t *testing.T, file, old, replacement string) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(text), old) {
		t.Fatalf("%s can't be read or does not contain %s: %v", file, old, err)
	}
	if err := os.WriteFile(file, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	if err := proctest.Until(t.Context(), shareTimeout, condition); err != nil {
		t.Fatal(err)
	}
}

// admission is the interval in which a call was admitted.
type admission struct{ from, to time.Time }

// caller makes lookups and records those that were admitted.
type caller struct {
	mu       sync.Mutex
	admitted []admission
}

// call makes one lookup through an entry and returns the status of the response.
func (c *caller) call(t *testing.T, e *proctest.Entry) int {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.VM.Address+"/jars", nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	r.Host = "shop.glazenpot.example"
	from := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.admitted = append(c.admitted, admission{from: from, to: time.Now()})
	}
	return resp.StatusCode
}

// maxInOneSecond returns the highest number of calls that were certainly admitted
// within any interval of one second.
func (c *caller) maxInOneSecond() int {
	slices.SortFunc(c.admitted, func(x, y admission) int { return cmp.Compare(x.from.UnixNano(), y.from.UnixNano()) })
	highest := 0
	for i, first := range c.admitted {
		end := first.from.Add(time.Second)
		n := 0
		for _, a := range c.admitted[i:] {
			if a.to.Before(end) {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// shopUsage returns an entry's usage of the shop's limit.
func shopUsage(t *testing.T, e *proctest.Entry) quota.LimitUsage {
	t.Helper()
	for _, usage := range mustStatus(t, e.Status).Limits {
		if usage.Scope.Service == "shop" && usage.Scope.Rank == "" {
			return usage
		}
	}
	t.Fatal("the entry has no limit for the shop")
	return quota.LimitUsage{}
}

// TestVotedLimitHoldsOverAllEntries guards against entries that together admit more
// than the global limit. One entry is flooded until it has borrowed from the others.
// Another one is paused for longer than it may use its share, then all are flooded.
func TestVotedLimitHoldsOverAllEntries(t *testing.T) {
	f := startLimitedFleet(t, 3)
	entries := f.Entries()
	c := &caller{}
	waitUntil(t, func() bool {
		c.call(t, entries[0])
		return shopUsage(t, entries[0]).Borrowed > 0
	})
	if err := entries[1].Pause(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(pauseTime); time.Now().Before(end); {
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
	if highest := c.maxInOneSecond(); highest > lowLimit {
		t.Errorf("%d calls were admitted within one second, want at most %d", highest, lowLimit)
	}
	if len(c.admitted) <= lowLimit {
		t.Errorf("%d calls were admitted in total, want more than one second's limit", len(c.admitted))
	}
}
