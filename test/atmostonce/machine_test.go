// Package once_test drives the real request path of several entries, in virtual
// time and over in-memory connections, against an oracle of what ran.
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

// Size of a run where the command line names none: at least 10,000 steps.
const (
	defaultChecks = "400"
	defaultSteps  = "40"
	defaultSeed   = "1"
	minSteps      = 10_000
)

// sizeNamed says that the command line sets the size of a run.
var sizeNamed bool

func TestMain(m *testing.M) {
	flag.Parse()
	named := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { named[f.Name] = true })
	sizeNamed = named["rapid.checks"] || named["rapid.steps"] || named["test.short"]
	for name, value := range map[string]string{
		"rapid.checks": defaultChecks, "rapid.steps": defaultSteps, "rapid.seed": defaultSeed, "rapid.nofailfile": "true",
	} {
		if !named[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// noLog is a log service that is down.
type noLog struct{}

func (noLog) Append(context.Context, string, json.RawMessage) (int64, error) {
	return 0, &logservice.UnavailableError{Operation: "append"}
}

func (noLog) Read(context.Context, string, int64, time.Duration) (logservice.Page, error) {
	return logservice.Page{}, &logservice.UnavailableError{Operation: "read"}
}

// machine is the state machine: a world and the operations sent so far.
type machine struct {
	*world
	sent    []call
	lookups int
	steps   int
}

// order sends a new operation through any entry.
func (m *machine) order(t *rapid.T) {
	owner := m.at(rapid.IntRange(0, entries-1).Draw(t, "owner"))
	ticket := owner.table.Ticket()
	id := fmt.Sprintf("%s.%032x", ticket, len(m.sent)+1)
	path := rapid.SampledFrom([]string{"/orders", "/orders", "/scans"}).Draw(t, "path")
	body := rapid.SampledFrom([]string{"", "kit"}).Draw(t, "body")
	c := newCall(id, "anna", path, body)
	m.sent = append(m.sent, c)
	m.send(m.at(rapid.IntRange(0, entries-1).Draw(t, "entry")), c)
}

// repeat sends an earlier operation again, sometimes wrongly.
func (m *machine) repeat(t *rapid.T) {
	if len(m.sent) == 0 {
		t.Skip("nothing sent")
	}
	c := m.sent[len(m.sent)-1-rapid.IntRange(0, min(5, len(m.sent)-1)).Draw(t, "back")]
	switch rapid.IntRange(0, 9).Draw(t, "mistake") {
	case 0:
		c = newCall(c.key.operation, "bert", c.path, c.body)
	case 1:
		c = newCall(c.key.operation, "anna", c.path, c.body+"!")
	}
	m.send(m.at(rapid.IntRange(0, entries-1).Draw(t, "entry")), c)
}

// lookup sends an idempotent call, which may be retried and hedged.
func (m *machine) lookup(t *rapid.T) {
	m.lookups++
	m.send(m.at(rapid.IntRange(0, entries-1).Draw(t, "entry")), newLookup(m.lookups))
}

func (m *machine) behave(t *rapid.T) {
	name := rapid.SampledFrom(m.names).Draw(t, "server")
	m.servers[name+":80"].set(behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "acts")))
}

func (m *machine) releaseAnswers(t *rapid.T) {
	m.servers[rapid.SampledFrom(m.names).Draw(t, "server")+":80"].releaseLate()
}

func (m *machine) freeze(t *rapid.T) { m.at(rapid.IntRange(0, entries-1).Draw(t, "entry")).freeze() }

func (m *machine) thaw(t *rapid.T) { m.at(rapid.IntRange(0, entries-1).Draw(t, "entry")).thaw() }

func (m *machine) kill(t *rapid.T) {
	slot := rapid.IntRange(0, entries-1).Draw(t, "entry")
	m.at(slot).die()
	m.start(slot)
}

// stop has an entry leave gracefully; a replacement takes its slot first, and
// calls that were on their way still reach the leaving one.
func (m *machine) stop(t *rapid.T) {
	slot := rapid.IntRange(0, entries-1).Draw(t, "entry")
	p := m.at(slot)
	m.start(slot)
	m.calls.Go(func() { m.leave(p) })
	synctest.Wait()
	if len(m.sent) > 0 && rapid.Bool().Draw(t, "late call") {
		m.send(p, m.sent[len(m.sent)-1])
		synctest.Wait()
	}
	p.die()
}

func (m *machine) relink(t *rapid.T) {
	from, to := m.at(rapid.IntRange(0, entries-1).Draw(t, "from")), m.at(rapid.IntRange(0, entries-1).Draw(t, "to"))
	state := linkState(rapid.IntRange(0, int(linkStates)-1).Draw(t, "link"))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.links[[2]int{from.number, to.number}] = state
}

func (m *machine) wait(t *rapid.T) {
	steps := []time.Duration{time.Second, 4 * time.Second, epochLength, epochsKept * epochLength}
	time.Sleep(rapid.SampledFrom(steps).Draw(t, "time"))
}

// check holds after every step.
func (m *machine) check(t *rapid.T) {
	synctest.Wait()
	m.steps++
	if problem := m.oracle.firstProblem(); problem != "" {
		t.Fatal(problem)
	}
	for slot := range entries {
		table := m.at(slot).table
		if table.Len() > maxOperations || table.KeptBytes() > maxKeptBytes {
			t.Fatalf("%d operations and %d bytes kept", table.Len(), table.KeptBytes())
		}
	}
}

func TestOperationsRunAtMostOnce(t *testing.T) {
	steps := 0
	said := map[outcome.Outcome]int{}
	synctest.Test(t, func(t *testing.T) {
		// The wrapper hides the deadline, which has no meaning in virtual time.
		rapid.Check(struct{ rapid.TB }{t}, func(t *rapid.T) {
			m := &machine{world: newWorld()}
			defer synctest.Wait()
			defer m.end()
			defer func() {
				steps += m.steps
				for o, n := range m.oracle.said {
					said[o] += n
				}
			}()
			t.Repeat(map[string]func(*rapid.T){
				"order":   m.order,
				"order2":  m.order,
				"repeat":  m.repeat,
				"repeat2": m.repeat,
				"lookup":  m.lookup,
				"behave":  m.behave,
				"release": m.releaseAnswers,
				"freeze":  m.freeze,
				"thaw":    m.thaw,
				"kill":    m.kill,
				"stop":    m.stop,
				"relink":  m.relink,
				"wait":    m.wait,
				"":        m.check,
			})
			m.end()
			m.check(t)
		})
	})
	t.Logf("%d steps, callers heard %v", steps, said)
	if steps < minSteps && !sizeNamed {
		t.Errorf("%d steps, want at least %d", steps, minSteps)
	}
}
