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
	entries     = 3
	servers     = 2
	callTimeout = 8 * time.Second
)

// linkState is how messages travel from one entry to another.
type linkState int

const (
	whole linkState = iota
	cut
	replyLost
	linkStates
)

// world is a fleet in one process.
type world struct {
	oracle  *oracle
	tree    *tree.Tree
	names   []string
	servers map[string]*server
	calls   sync.WaitGroup

	mu        sync.Mutex
	processes []*process // by number; a replaced one stays, ended
	live      [entries]int
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
	for n := range servers {
		name := fmt.Sprint("server-", n)
		w.names = append(w.names, name)
		w.servers[name+":80"] = newServer(name, w.oracle)
	}
	for slot := range entries {
		w.start(slot)
	}
	return w
}

// start puts a new process into the slot.
func (w *world) start(slot int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := newProcess(w, len(w.processes))
	w.processes = append(w.processes, p)
	w.live[slot] = p.number
}

func (w *world) at(slot int) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[w.live[slot]]
}

// address implements operation.OwnerClientOptions.Address; ended processes stay known.
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

func (w *world) link(from int, address string) (*process, linkState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if fmt.Sprint(p.number) == address {
			return p, w.links[[2]int{from, p.number}]
		}
	}
	return nil, cut
}

// leave stops a process gracefully: its seal goes to whoever can be reached.
func (w *world) leave(p *process) {
	if p.pass() != nil {
		return
	}
	seal := p.table.Seal()
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	var others []string
	for slot := range entries {
		if other := w.at(slot); other != p {
			others = append(others, fmt.Sprint(other.number))
		}
	}
	operation.PublishSeal(ctx, seal, p, others, noLog{})
}

// call is a request of a caller.
type call struct {
	key     attemptKey
	method  string
	path    string
	body    string
	headers http.Header
}

func newCall(id, caller, path, body string) call {
	return call{
		key: attemptKey{id, caller, path + body}, method: "POST", path: path, body: body,
		headers: http.Header{wire.HeaderOperation: {id}, wire.HeaderCaller: {caller}, "Idempotency-Key": {"k"}},
	}
}

// newLookup returns an idempotent call with a path of its own.
func newLookup(number int) call {
	path := fmt.Sprint("/kits/", number)
	return call{
		key: attemptKey{"", "anna", path}, method: "GET", path: path,
		headers: http.Header{wire.HeaderCaller: {"anna"}},
	}
}

// send starts a call at an entry; the oracle hears its end.
func (w *world) send(p *process, c call) {
	w.calls.Go(func() {
		said, answered := w.exchange(p, c)
		w.oracle.told(c.key, said, answered)
	})
}

// exchange returns what the caller learns. A connection that breaks tells nothing.
func (w *world) exchange(p *process, c call) (said outcome.Outcome, answered *attemptKey) {
	if p.pass() != nil {
		return outcome.Unknown, nil
	}
	r := httptest.NewRequest(c.method, "http://shop.example"+c.path, io.NopCloser(strings.NewReader(c.body)))
	r.ContentLength = int64(len(c.body))
	r.Header = c.headers.Clone()
	recorder := &recorder{ResponseRecorder: httptest.NewRecorder()}
	if broke := serve(p.handler, recorder, r); broke || p.pass() != nil {
		return outcome.Unknown, nil
	}
	return recorder.read()
}

// serve reports whether the handler broke the caller's connection off.
func serve(h http.Handler, w http.ResponseWriter, r *http.Request) (broke bool) {
	defer func() {
		cause := recover()
		broke = cause != nil
		if broke && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	h.ServeHTTP(w, r)
	return false
}

type recorder struct{ *httptest.ResponseRecorder }

// read returns the outcome, and the request that a whole answer names.
func (r *recorder) read() (outcome.Outcome, *attemptKey) {
	said := outcome.Outcome(r.Header().Get(wire.HeaderOutcome))
	if r.Header().Get(wire.HeaderReason) != "" {
		return said, nil
	}
	parts := bytes.Split(r.Body.Bytes(), []byte("|"))
	if len(parts) != 3 {
		return said, &attemptKey{request: "garbled: " + r.Body.String()}
	}
	return said, &attemptKey{string(parts[0]), string(parts[1]), string(parts[2])}
}

// end lets everything come to its end.
func (w *world) end() {
	for _, s := range w.servers {
		s.releaseLate()
	}
	for _, p := range w.processes {
		p.thaw()
	}
	w.calls.Wait()
	for _, p := range w.processes {
		p.die()
		p.forwarder.Close()
	}
}
