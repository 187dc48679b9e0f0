package quarantine

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

const (
	heartbeatInterval = 66 * time.Millisecond
	// stability is the time after which an entry that has started must know what is held.
	stability = 3 * time.Second
)

// entries are guards that exchange heartbeats in one process, and the servers that they see.
type entries struct {
	rng    *rand.Rand
	loss   float64 // share of heartbeats that are lost
	guards []*Guard
	// current is the view of all entries.
	current *cluster.View
	bytes   int // of all crash reports sent

	mu    sync.Mutex // guards the fields below
	ended map[string]bool
}

func newEntries(n int, loss float64) *entries {
	e := &entries{rng: rand.New(rand.NewPCG(26, uint64(n))), loss: loss, ended: map[string]bool{}}
	for range n {
		e.start()
	}
	return e
}

func (e *entries) start() *Guard {
	index := len(e.guards)
	name := fmt.Sprintf("entry-%d", index)
	next := &cluster.View{}
	if e.current != nil {
		next.Live = append(next.Live, e.current.Live...)
	}
	next.Live = append(next.Live, cluster.LiveMember{Member: cluster.Member{VM: name}})
	e.current = next
	guard := NewGuard(Options{
		Check: func(context.Context, fleet.VM) ServerCheck { return Running },
		InUse: func(fleet.VM) bool { return true }, LastReport: func(fleet.VM) time.Time { return time.Time{} },
		View: e.view, Self: name, Flush: func() { e.send(index) },
	})
	guard.options.Check = func(_ context.Context, vm fleet.VM) ServerCheck {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.ended[vm.Name] {
			return Ended
		}
		return Running
	}
	e.guards = append(e.guards, guard)
	return guard
}

func (e *entries) view() *cluster.View { return e.current }

// send sends a heartbeat of one entry to all others.
func (e *entries) send(from int) {
	hb := &cluster.Heartbeat{}
	e.guards[from].Collect(hb, time.Now())
	if len(hb.CrashReports) == 0 {
		return
	}
	const reportBytes = 28
	for i, g := range e.guards {
		e.mu.Lock()
		lost := e.rng.Float64() < e.loss
		e.bytes += reportBytes * len(hb.CrashReports)
		e.mu.Unlock()
		if i != from && !lost {
			g.Receive(hb, time.Now())
		}
	}
}

// run lets the entries send their heartbeats for that time.
func (e *entries) run(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		for i := range e.guards {
			e.send(i)
		}
	}
}

func (e *entries) end(server string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended[server] = true
}

func newRequest(method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://shop.example"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	return r
}

// call sends a request that ends its server, if the entry allows it. It reports whether it did.
func (e *entries) call(g *Guard, r *http.Request, server string) bool {
	q, refusal := g.Begin(r)
	if refusal != nil {
		return false
	}
	defer q.End()
	e.end(server)
	q.ConnectionEnded(fleet.VM{Name: server})
	time.Sleep(20 * time.Millisecond)
	return true
}

// Pattern: a request that ends its servers comes six times a second at any entry, for up to 50 s,
// and heartbeats are lost. Few servers may end, at small and large clusters, and an entry that
// starts meanwhile knows the request in time.
func TestEvidenceReachesAllEntries(t *testing.T) {
	for _, n := range []int{13, 98, 471} {
		synctest.Test(t, func(t *testing.T) {
			e := newEntries(n, 0.2)
			sent := 0
			for range 300 / (1 + n/50) {
				if e.call(e.guards[e.rng.IntN(len(e.guards))], newRequest("GET", "/look/deadly", ""), fmt.Sprintf("server-%d", sent)) {
					sent++
				}
				e.run(heartbeatInterval)
				time.Sleep(100 * time.Millisecond)
			}
			if sent > 4 {
				t.Errorf("%d entries: %d servers ended in a minute, want at most 4", n, sent)
			}
			late := e.start()
			e.run(stability)
			if _, refusal := late.Begin(newRequest("GET", "/look/deadly", "")); refusal == nil {
				t.Errorf("%d entries: one that has started does not know after %v what is held", n, stability)
			}
			e.bytes = 0
			e.run(10 * time.Second)
			if perSecond := e.bytes / len(e.guards) / 10; perSecond > 3000 {
				t.Errorf("%d entries: reports of held requests take %d B/s at each, want at most half of the 6 KB/s for control", n, perSecond)
			}
		})
	}
}

// Requests that differ in anything that a server sees, and those of another named caller, are not
// held with a request that is.
func TestOnlyTheSameRequestIsHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntries(2, 0)
		deadly := func() *http.Request { return newRequest("POST", "/pay?x=1", "body") }
		for i := range heldAfter {
			e.call(e.guards[i], deadly(), fmt.Sprintf("server-%d", i))
			time.Sleep(2 * simultaneous)
		}
		if _, refusal := e.guards[0].Begin(deadly()); refusal == nil || refusal.Outcome != "not-run" || refusal.RetryAfter <= 0 {
			t.Errorf("refusal %v, want not-run with a time to come back", refusal)
		}
		named := deadly()
		named.Header.Set("Chestnut-Caller", "other")
		for _, r := range []*http.Request{
			newRequest("PUT", "/pay?x=1", "body"), newRequest("POST", "/pay?x=2", "body"),
			newRequest("POST", "/pay?x=1", "bodY"), newRequest("POST", "/paid?x=1", "body"), named,
		} {
			if _, refusal := e.guards[0].Begin(r); refusal != nil {
				t.Errorf("%s %s of caller %q is refused: %v", r.Method, r.URL, r.Header.Get("Chestnut-Caller"), refusal)
			}
		}
	})
}

// A connection ends for other reasons than a crash: the server runs on, leaves as planned, or
// can't be reached. None of them is evidence.
func TestOtherEndsAreNoEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		check ServerCheck
		inUse bool
	}{"running": {Running, true}, "leaving": {Ended, false}, "cut off": {Unknown, true}} {
		synctest.Test(t, func(t *testing.T) {
			e := newEntries(1, 0)
			g := e.guards[0]
			g.options.Check = func(context.Context, fleet.VM) ServerCheck { return c.check }
			g.options.InUse = func(fleet.VM) bool { return c.inUse }
			for i := range 5 {
				q, refusal := g.Begin(newRequest("GET", "/look/a", ""))
				if refusal != nil {
					t.Fatalf("%s: refused after %d lost connections", name, i)
				}
				q.ConnectionEnded(fleet.VM{Name: fmt.Sprint(i)})
				time.Sleep(time.Second)
			}
		})
	}
}

// The end of a server is not seen, as its last packet was lost: the request is not answered until
// its deadline. The server is checked then, if it has been silent; one that reports is not.
func TestSilentServerIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntries(1, 0)
		g := e.guards[0]
		reported := time.Now()
		g.options.LastReport = func(fleet.VM) time.Time { return reported }
		lose := func(server string) int {
			q, _ := g.Begin(newRequest("GET", "/look/a", ""))
			e.end(server)
			q.NoResponse(fleet.VM{Name: server})
			synctest.Wait()
			id, _ := q.id()
			return g.table.Crashes(id, time.Now())
		}
		if n := lose("reporting"); n != 0 {
			t.Errorf("%d crashes after a deadline at a server that reports, want none", n)
		}
		time.Sleep(time.Second)
		if n := lose("silent"); n != 1 {
			t.Errorf("%d crashes after a deadline at a server that ended, want 1", n)
		}
	})
}

// A body that is streamed is not read for its fingerprint; such a request is not tracked.
func TestStreamedBodyIsNotRead(t *testing.T) {
	g := newEntries(1, 0).guards[0]
	r := newRequest("POST", "/upload", "")
	r.Body, r.GetBody = io.NopCloser(bytes.NewReader([]byte("stream"))), nil
	q, refusal := g.Begin(r)
	if q != nil || refusal != nil {
		t.Errorf("a streamed request is tracked: %v, %v", q, refusal)
	}
	q.ConnectionEnded(fleet.VM{})
	q.Answered()
	q.End()
}

// A server is cut off or slow to refuse connections, so that the check of it takes a second. The
// other entries must learn of its end all the same.
func TestEvidenceOfASlowCheckIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEntries(2, 0)
		e.guards[0].options.Check = func(context.Context, fleet.VM) ServerCheck {
			time.Sleep(repeatTime + time.Millisecond)
			return Ended
		}
		q, _ := e.guards[0].Begin(newRequest("GET", "/look/a", ""))
		q.ConnectionEnded(fleet.VM{Name: "server"})
		e.run(2 * repeatTime)
		id, _ := q.id()
		if n := e.guards[1].table.Crashes(id, time.Now()); n != 1 {
			t.Errorf("%d crashes at the other entry, want 1", n)
		}
	})
}
