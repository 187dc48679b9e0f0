package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	firstSeed  = flag.Uint64("soak.seed", 1, "the first seed")
	seedCount  = flag.Int("soak.seeds", 1, "how many seeds")
	seconds    = flag.Int("soak.seconds", 6, "the length of the faults of one seed, in seconds")
	entryCount = flag.Int("soak.entries", 5, "how many entries")
	keepLogs   = flag.String("soak.logs", "", "a folder that keeps the logs; else they go with the run")
)

// regressions are seeds that failed in the past, with their duration and the cause.
var regressions = []struct {
	seed    uint64
	seconds int
	cause   string
}{
	{8002, 6, stopCutCause},
	{8005, 6, stopCutCause},
	{8010, 6, stopCutCause},
	{8012, 6, stopCutCause},
}

const stopCutCause = "an entry that stopped as planned accepted requests that it could not complete, and cut them"

const (
	// callerCount is the number of callers in one run.
	callerCount = 12
	// maxListed is the most addresses that an endpoint list has.
	maxListed = 64
)

func TestSoak(t *testing.T) {
	binary := build(t)
	for i := range *seedCount {
		runSeed(t, binary, *firstSeed+uint64(i), time.Duration(*seconds)*time.Second)
	}
}

func TestRegressions(t *testing.T) {
	binary := build(t)
	for _, r := range regressions {
		t.Log(r.cause)
		runSeed(t, binary, r.seed, time.Duration(r.seconds)*time.Second)
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "chestnutrouter")
	out, err := exec.Command("go", "build", "-o", binary, "chestnutrouter.example/chestnutrouter/cmd/chestnutrouter").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binary
}

// runSeed runs the faults of one seed, then checks that every entry serves again and
// that no guarantee was violated.
func runSeed(t *testing.T, binary string, seed uint64, duration time.Duration) {
	t.Helper()
	dir := t.TempDir()
	if *keepLogs != "" {
		dir = filepath.Join(*keepLogs, "seed-"+time.Now().Format("150405.000"))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	plan := withOperations(newSchedule(seed, duration), seed, duration)
	w := newWorld(t, binary, dir)
	defer w.close()
	w.awaitReady()
	stop := make(chan struct{})
	callers := w.runCallers(callerCount, seed, stop)
	others := w.runTenantCallers(seed, stop)
	w.runSchedule(plan)
	w.awaitRecovery()
	close(stop)
	callers.Wait()
	others.Wait()
	time.Sleep(time.Second) // let requests that still run at a server end and be counted
	w.checker.checkFinal(w.servers)
	w.checkPromises()
	t.Logf("seed %d: %d faults, %d requests, %d served, %d broken promises", seed, len(plan), len(w.checker.requests), w.checker.served, len(w.checker.violations))
	if len(w.checker.violations) > 0 {
		var steps []string
		for _, s := range plan {
			steps = append(steps, s.String())
		}
		t.Errorf("seed %d, logs %s\nschedule: %s\n%s", seed, dir, strings.Join(steps, "; "), strings.Join(w.checker.violations, "\n"))
	}
}

// runSchedule injects the faults of the plan and waits until each of them has ended.
func (w *world) runSchedule(plan []scheduledFault) {
	began := time.Now()
	var group sync.WaitGroup
	for _, s := range plan {
		time.Sleep(time.Until(began.Add(s.at)))
		group.Go(func() { s.fault.inject(w, rand.New(rand.NewPCG(s.seed, 2))) })
	}
	group.Wait()
}

// awaitReady waits until the directory lists all entries.
func (w *world) awaitReady() {
	w.t.Helper()
	c := &caller{world: w, number: -1, rand: rand.New(rand.NewPCG(0, 0)), conns: map[string]*callerConn{}, tenant: tenantSteady}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		c.resolve()
		if len(c.addresses) == min(*entryCount, maxListed) {
			return
		}
	}
	w.t.Fatalf("the directory does not list all entries, only %v", c.addresses)
}

// recoveryTimeout bounds the time after the last fault until every entry serves again.
const recoveryTimeout = 8 * time.Second

// awaitRecovery waits until all entries have served five requests in a row, each at the same
// time as the others: one after the other, thirty entries take longer than recoveryTimeout.
func (w *world) awaitRecovery() {
	callers := make([]*caller, len(w.entries))
	for i := range callers {
		callers[i] = &caller{world: w, number: -2 - i, rand: rand.New(rand.NewPCG(0, uint64(i))), conns: map[string]*callerConn{}, tenant: tenantSteady}
	}
	var failed []string
	good := 0
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if failed = w.requestFromAll(callers); len(failed) > 0 {
			good = 0
			continue
		}
		if good++; good == 5 {
			return
		}
	}
	w.checker.addViolation("recovery: some entry does not serve all requests %v after the last fault; the last requests that failed: %s",
		recoveryTimeout, strings.Join(failed, ", "))
}

// requestFromAll sends one request to each entry, all at once, and returns those that failed.
func (w *world) requestFromAll(callers []*caller) []string {
	var mu sync.Mutex // guards failed
	var failed []string
	var group sync.WaitGroup
	for i, e := range w.entries {
		group.Go(func() {
			if got := callers[i].request(e); got.status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, fmt.Sprintf("%s at %s with status %d", got.id, e.name, got.status))
			}
		})
	}
	group.Wait()
	return failed
}
