// Package atmostonce_test is a model-based test of at-most-once execution. It
// drives the real request path of several entries, in virtual time and over
// in-memory connections, and compares the outcomes that callers get with a
// reference model of what ran.
package atmostonce_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Default size and seed of a run. Such a run must take at least minSteps steps.
const (
	defaultChecks = "400"
	defaultSteps  = "40"
	defaultSeed   = "1"
	minSteps      = 10_000
)

// sizeFromFlags reports whether the command line sets the size of a run.
var sizeFromFlags bool

func TestMain(m *testing.M) {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	sizeFromFlags = setFlags["rapid.checks"] || setFlags["rapid.steps"] || setFlags["test.short"]
	for name, value := range map[string]string{
		"rapid.checks": defaultChecks, "rapid.steps": defaultSteps, "rapid.seed": defaultSeed, "rapid.nofailfile": "true",
	} {
		if !setFlags[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// unavailableLog is a log service that is down.
type unavailableLog struct{}

func (unavailableLog) Append(context.Context, string, json.RawMessage) (int64, error) {
	return 0, &logservice.UnavailableError{Operation: "append"}
}

func (unavailableLog) Read(context.Context, string, int64, time.Duration) (logservice.Page, error) {
	return logservice.Page{}, &logservice.UnavailableError{Operation: "read"}
}

// machine is the rapid state machine: a simulated cluster and the operations sent so far.
type machine struct {
	*world
	sent    []call
	lookups int
	steps   int
}

// order sends a new operation through a random entry.
func (m *machine) order(t *rapid.T) {
	owner := m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "owner"))
	ticket := owner.table.Ticket()
	id := fmt.Sprintf("%s.%032x", ticket, len(m.sent)+1)
	path := rapid.SampledFrom([]string{"/orders", "/orders", "/scans"}).Draw(t, "path")
	body := rapid.SampledFrom([]string{"", "kit"}).Draw(t, "body")
	c := newCall(id, "anna", path, body)
	m.sent = append(m.sent, c)
	m.send(m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "entry")), c)
}

// retry sends a recent operation again, sometimes by mistake with another caller
// or body.
func (m *machine) retry(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("no operation was sent yet")
	}
	c := m.sent[len(m.sent)-1-rapid.IntRange(0, min(5, len(m.sent)-1)).Draw(t, "back")]
	switch rapid.IntRange(0, 9).Draw(t, "mistake") {
	case 0:
		c = newCall(c.key.operation, "bert", c.path, c.body)
	case 1:
		c = newCall(c.key.operation, "anna", c.path, c.body+"!")
	}
	m.send(m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "entry")), c)
}

// lookup sends an idempotent call, which may be retried and hedged.
func (m *machine) lookup(t *rapid.T) {
	m.lookups++
	m.send(m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "entry")), newLookup(m.lookups))
}

func (m *machine) changeBehaviour(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "server")
	m.servers[name+":80"].setBehaviour(behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "acts")))
}

func (m *machine) releaseResponses(t *rapid.T) {
	m.servers[rapid.SampledFrom(m.names).Draw(t, "server")+":80"].releaseDelayed()
}

func (m *machine) pauseEntry(t *rapid.T) {
	m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "entry")).pause()
}

func (m *machine) resumeEntry(t *rapid.T) {
	m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "entry")).resume()
}

func (m *machine) killEntry(t *rapid.T) {
	slot := rapid.IntRange(0, entryCount-1).Draw(t, "entry")
	m.entryAt(slot).crash()
	m.start(slot)
}

// stopEntry shuts an entry down gracefully. A replacement takes its slot first, and
// a call that was already in flight may still reach the entry during its shutdown.
func (m *machine) stopEntry(t *rapid.T) {
	slot := rapid.IntRange(0, entryCount-1).Draw(t, "entry")
	p := m.entryAt(slot)
	m.start(slot)
	m.calls.Go(func() { m.shutDown(p) })
	synctest.Wait()
	if len(m.sent) > 0 && rapid.Bool().Draw(t, "late call") {
		m.send(p, m.sent[len(m.sent)-1])
		synctest.Wait()
	}
	p.crash()
}

func (m *machine) changeLink(t *rapid.T) {
	from, to := m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "from")), m.entryAt(rapid.IntRange(0, entryCount-1).Draw(t, "to"))
	state := linkState(rapid.IntRange(0, int(linkStateCount)-1).Draw(t, "link"))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[[2]int{from.number, to.number}] = state
}

func (m *machine) advanceTime(t *rapid.T) {
	steps := []time.Duration{time.Second, 4 * time.Second, epochLength, retainedEpochs * epochLength}
	time.Sleep(rapid.SampledFrom(steps).Draw(t, "time"))
}

// check verifies the invariants. It runs after every step.
func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.steps++
	if problem := m.oracle.firstProblem(); problem != "" {
		t.Fatal(problem)
	}
	for slot := range entryCount {
		table := m.entryAt(slot).table
		if table.Len() > maxOperations || table.StoredBytes() > maxStoredBytes {
			t.Fatalf("%d operations and %d bytes stored, want at most maxOperations and maxStoredBytes", table.Len(), table.StoredBytes())
		}
	}
}

func TestOperationsRunAtMostOnce(t *testing.T) {
	steps := 0
	outcomes := map[outcome.Outcome]int{}
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the test's deadline, which has no meaning in virtual time.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := &machine{world: newWorld()}
			defer synctest.Wait()
			defer m.finish()
			defer func() {
				steps += m.steps
				for o, n := range m.oracle.outcomes {
					outcomes[o] += n
				}
			}()
			t.Repeat(map[string]func(*rapid.T){
				"order":   m.order,
				"order2":  m.order,
				"repeat":  m.retry,
				"repeat2": m.retry,
				"lookup":  m.lookup,
				"behave":  m.changeBehaviour,
				"release": m.releaseResponses,
				"freeze":  m.pauseEntry,
				"thaw":    m.resumeEntry,
				"kill":    m.killEntry,
				"stop":    m.stopEntry,
				"relink":  m.changeLink,
				"wait":    m.advanceTime,
				"":        m.check,
			})
			m.finish()
			m.check(t)
		})
	})
	t.Logf("%d steps, outcomes of calls: %v", steps, outcomes)
	if steps < minSteps && !sizeFromFlags {
		t.Errorf("%d steps, want at least %d", steps, minSteps)
	}
}
