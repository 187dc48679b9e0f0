package atmostonce_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const (
	entryCount  = 3
	serverCount = 2
	callTimeout = 8 * time.Second // of every route
)

// linkState is the state of the directed network link from one entry to another.
type linkState int

const (
	linkUp linkState = iota
	linkDown
	linkReplyLost // calls arrive, their replies do not
	linkStateCount
)

// world is a simulated cluster: entries, backend servers and the network between them.
type world struct {
	oracle  *oracle
	tree    *tree.Tree
	names   []string
	servers map[string]*server
	calls   sync.WaitGroup

	mu        sync.Mutex
	processes []*process      // by number; replaced processes stay in the list
	live      [entryCount]int // number of the current process in each slot
	links     map[[2]int]linkState
}

func newWorld() *world {
	w := &world{oracle: newOracle(), servers: map[string]*server{}, links: map[[2]int]linkState{}}
	w.tree = &tree.Tree{Services: []*tree.Service{{
		Member: "glazenpot", Name: "shop", Hosts: []string{"shop.example"}, ConnectionsPerServer: 20,
		Budgets: tree.Budgets{RetryShare: 0.5, HedgeShare: 0.5},
		Ranks:   []tree.Rank{{Name: "payments"}},
		Routes: []*tree.Route{
			{PathPrefix: "/kits", Rank: "payments", MaxBodyBytes: 100, Timeout: callTimeout, Idempotent: true},
			{PathPrefix: "/orders", Rank: "payments", MaxBodyBytes: 100, Timeout: callTimeout},
			{PathPrefix: "/scans", Rank: "payments", MaxBodyBytes: 100, Timeout: callTimeout, Upload: true},
		},
	}}}
	for n := range serverCount {
		name := fmt.Sprint("server-", n)
		w.names = append(w.names, name)
		w.servers[name+":80"] = newServer(name, w.oracle)
	}
	for slot := range entryCount {
		w.start(slot)
	}
	return w
}

// start starts a new process in the slot, in place of the current one.
func (w *world) start(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := newProcess(w, len(w.processes))
	w.processes = append(w.processes, p)
	w.live[slot] = p.number
}

// entryAt returns the current process in the slot.
func (w *world) entryAt(slot int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[w.live[slot]]
}

// address implements operation.OwnerClientOptions.Address. It also finds processes
// that have ended.
func (w *world) address(incarnation string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.table.Incarnation() == incarnation {
			return fmt.Sprint(p.number), true
		}
	}
	return "", false
}

// link returns the process at the address and the state of the link to it.
func (w *world) link(from int, address string) (*process, linkState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if fmt.Sprint(p.number) == address {
			return p, w.links[[2]int{from, p.number}]
		}
	}
	return nil, linkDown
}

// shutDown stops a process gracefully: it publishes its seal, the final record of
// its operations, to all entries that it can reach.
func (w *world) shutDown(p *process) {
	if p.waitRunning() != nil {
		return
	}
	seal := p.table.Seal()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	var others []string
	for slot := range entryCount {
		if other := w.entryAt(slot); other != p {
			others = append(others, fmt.Sprint(other.number))
		}
	}
	operation.PublishSeal(ctx, seal, p, others, unavailableLog{})
}

// call is one request of a caller.
type call struct {
	key     requestKey
	method  string
	path    string
	body    string
	headers http.Header
}

func newCall(id, caller, path, body string) call {
	return call{
		key: requestKey{id, caller, path + body}, method: "POST", path: path, body: body,
		headers: http.Header{wire.HeaderOperation: {id}, wire.HeaderCaller: {caller}, "Idempotency-Key": {"k"}},
	}
}

// newLookup returns an idempotent call with a unique path.
func newLookup(number int) call {
	path := fmt.Sprint("/kits/", number)
	return call{
		key: requestKey{"", "anna", path}, method: "GET", path: path,
		headers: http.Header{wire.HeaderCaller: {"anna"}},
	}
}

// send starts a call at an entry and reports its outcome to the oracle.
func (w *world) send(p *process, c call) {
	w.calls.Go(func() {
		got, respondedTo := w.exchange(p, c)
		w.oracle.recordOutcome(c.key, got, respondedTo)
	})
}

// exchange returns the outcome that the caller gets. A closed connection leaves the
// outcome unknown.
func (w *world) exchange(p *process, c call) (got outcome.Outcome, respondedTo *requestKey) {
	if p.waitRunning() != nil {
		return outcome.Unknown, nil
	}
	r := httptest.NewRequest(c.method, "http://shop.example"+c.path, io.NopCloser(strings.NewReader(c.body)))
	r.ContentLength = int64(len(c.body))
	r.Header = c.headers.Clone()
	recorder := &recorder{ResponseRecorder: httptest.NewRecorder()}
	if aborted := serve(p.handler, recorder, r); aborted || p.waitRunning() != nil {
		return outcome.Unknown, nil
	}
	return recorder.read()
}

// serve reports whether the handler aborted the caller's connection.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (aborted bool) {
	defer func() {
		cause := recover()
		aborted = cause != nil
		if aborted && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	h.ServeHTTP(w, r)
	return false
}

type recorder struct{ *httptest.ResponseRecorder }

// read returns the outcome and, for a response of a backend server, the request that
// it names.
func (r *recorder) read() (outcome.Outcome, *requestKey) {
	got := outcome.Outcome(r.Header().Get(wire.HeaderOutcome))
	if r.Header().Get(wire.HeaderReason) != "" {
		return got, nil
	}
	parts := bytes.Split(r.Body.Bytes(), []byte("|"))
	if len(parts) != 3 {
		return got, &requestKey{request: "garbled: " + r.Body.String()}
	}
	return got, &requestKey{string(parts[0]), string(parts[1]), string(parts[2])}
}

// finish releases everything that is held back, waits for all calls to complete and
// ends all processes. It may be called more than once.
func (w *world) finish() {
	for _, s := range w.servers {
		s.releaseDelayed()
	}
	for _, p := range w.processes {
		p.resume()
	}
	w.calls.Wait()
	for _, p := range w.processes {
		p.crash()
		p.forwarder.Close()
	}
}
