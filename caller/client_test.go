package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/loopback"
)

// fakeEntries are entries that respond to calls with a shared script: one step for
// each call, whichever entry receives it.
type fakeEntries struct {
	servers []*httptest.Server
	tickets []string

	mu         sync.Mutex
	script     []func(w http.ResponseWriter)
	operations []string
	bodies     []string
	resolved   int // requests for the endpoint list
}

func startEntries(t *testing.T, n int, script ...func(http.ResponseWriter)) *fakeEntries {
	f := &fakeEntries{script: script}
	for i := range n {
		f.tickets = append(f.tickets, fmt.Sprintf("%024x:0", i))
		f.servers = append(f.servers, httptest.NewServer(f))
		t.Cleanup(f.servers[i].Close)
	}
	return f
}

func (f *fakeEntries) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.URL.Path == entriesPath {
		f.resolved++
		response := endpointList{TTLMs: 60_000}
		for i, s := range f.servers {
			response.Entries = append(response.Entries, Entry{Address: s.Listener.Addr().String(), Ticket: f.tickets[i]})
		}
		_ = json.NewEncoder(w).Encode(response)
		return
	}
	body, _ := io.ReadAll(r.Body)
	f.operations = append(f.operations, r.Header.Get(headerOperation))
	f.bodies = append(f.bodies, string(body))
	step := f.script[0]
	f.script = f.script[1:]
	step(w)
}

func (f *fakeEntries) client(t *testing.T) *Client {
	c := New(Options{Seeds: []string{f.servers[len(f.servers)-1].Listener.Addr().String()}, Caller: "anna"})
	t.Cleanup(c.Close)
	return c
}

func ran(w http.ResponseWriter) {
	w.Header().Set(headerOutcome, outcomeRan)
	fmt.Fprint(w, "ok")
}

func refused(status int, outcome, reason string) func(http.ResponseWriter) {
	return func(w http.ResponseWriter) {
		w.Header().Set(headerOutcome, outcome)
		w.Header().Set(headerReason, reason)
		w.WriteHeader(status)
		fmt.Fprint(w, `{"detail":"why"}`)
	}
}

func closeConnection(http.ResponseWriter) { panic(http.ErrAbortHandler) }

var (
	unknown  = refused(502, "unknown", "server_hung_up")
	notRun   = refused(503, "not-run", "queue_full")
	mismatch = refused(422, "not-run", reasonMismatch)
	notKept  = refused(410, "ran", reasonAnswerNotKept)
)

func newOrder(t *testing.T) *http.Request {
	// NewRequest sets GetBody for a strings.Reader.
	r, err := http.NewRequestWithContext(t.Context(), "POST", "http://shop.example/orders", strings.NewReader("kit"))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A retry keeps its operation id unless the previous attempt certainly did not run.
func TestOperationIDsOfRetries(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []func(http.ResponseWriter)
		same   []bool // whether each retry has the id of the attempt before it
		want   any
	}{
		{"answered", []func(http.ResponseWriter){ran}, nil, nil},
		{"unknown, then ran", []func(http.ResponseWriter){unknown, ran}, []bool{true}, nil},
		{"hung up, then ran", []func(http.ResponseWriter){closeConnection, ran}, []bool{true}, nil},
		{"not run, then ran", []func(http.ResponseWriter){notRun, ran}, []bool{false}, nil},
		{"unknown, not run, ran", []func(http.ResponseWriter){unknown, notRun, ran}, []bool{true, false}, nil},
		{"unknown for ever", []func(http.ResponseWriter){unknown, closeConnection, unknown}, []bool{true, true}, &OutcomeUnknownError{}},
		{"not run for ever", []func(http.ResponseWriter){notRun, notRun, notRun}, []bool{false, false}, &NotRunError{}},
		{"not kept", []func(http.ResponseWriter){unknown, notKept}, []bool{true}, &AnswerNotKeptError{}},
		{"mismatch", []func(http.ResponseWriter){mismatch}, nil, &OperationMismatchError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startEntries(t, 2, c.script...)
			resp, err := f.client(t).DoOnce(newOrder(t))
			if fmt.Sprintf("%T", err) != fmt.Sprintf("%T", c.want) {
				t.Fatalf("error %v, want %T", err, c.want)
			}
			if err == nil {
				resp.Body.Close()
			}
			if len(f.operations) != len(c.same)+1 {
				t.Fatalf("%d attempts, want %d", len(f.operations), len(c.same)+1)
			}
			for n, same := range c.same {
				if (f.operations[n+1] == f.operations[n]) != same {
					t.Errorf("retry %d: operation %s after %s, want the same: %v", n, f.operations[n+1], f.operations[n], same)
				}
			}
			for n, body := range f.bodies {
				if body != "kit" {
					t.Errorf("attempt %d had body %q, want \"kit\"", n, body)
				}
			}
		})
	}
}

// An operation carries the ticket of the first entry that it is sent to. A failed
// dial proves that it did not run, so an operation of the next entry replaces it.
func TestFailoverFromADeadEntry(t *testing.T) {
	f := startEntries(t, 1, ran)
	dead, err := loopback.Next()
	if err != nil {
		t.Fatal(err)
	}
	c := f.client(t)
	c.resolver.store(&endpointList{TTLMs: 60_000, Entries: []Entry{
		{Address: dead.String(), Ticket: "dead:0"},
		{Address: f.servers[0].Listener.Addr().String(), Ticket: f.tickets[0]},
	}})
	resp, err := c.DoOnce(newOrder(t))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if len(f.operations) != 1 || !strings.HasPrefix(f.operations[0], f.tickets[0]) {
		t.Errorf("operations %v, want one with the live entry's ticket", f.operations)
	}
}

// An earlier attempt of the operation may have run, so a failed dial does not prove
// that it did not run.
func TestRetryOfAnUnknownOperationStaysUnknown(t *testing.T) {
	f := startEntries(t, 1)
	c := f.client(t)
	if _, err := c.resolver.entryList(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.servers[0].Close()
	_, err := c.Repeat(newOrder(t), f.tickets[0]+".1")
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.Operation != f.tickets[0]+".1" {
		t.Errorf("error %v, want an unknown outcome of the repeated operation", err)
	}
}

func TestIdempotentCallsHaveNoOperation(t *testing.T) {
	f := startEntries(t, 2, closeConnection, ran)
	resp, err := f.client(t).Do(newOrder(t))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if f.operations[0] != "" || f.operations[1] != "" || f.bodies[1] != "kit" {
		t.Errorf("operations %q, bodies %q, want no operation and the body \"kit\" in both", f.operations, f.bodies)
	}
}

func TestEndpointListIsRequestedOnce(t *testing.T) {
	f := startEntries(t, 1, ran, ran, ran)
	c := f.client(t)
	for range 3 {
		resp, err := c.DoOnce(newOrder(t))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	if f.resolved != 1 {
		t.Errorf("requested the endpoint list %d times, want once", f.resolved)
	}
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	const calls = 50
	script := make([]func(http.ResponseWriter), calls*defaultMaxAttempts)
	for i := range script {
		script[i] = unknown
	}
	f := startEntries(t, 1, script...)
	c := f.client(t)
	for range calls {
		_, _ = c.DoOnce(newOrder(t))
	}
	if got := len(f.operations); got != calls+burstTokens {
		t.Errorf("%d attempts of %d calls, want one of each call and %d retries", got, calls, burstTokens)
	}
}

// An entry that shuts down gracefully closes its connections; the next call then
// refreshes the endpoint list.
func TestLeavingEntryMakesTheClientAskAgain(t *testing.T) {
	leaving := func(w http.ResponseWriter) {
		w.Header().Set("Connection", "close")
		ran(w)
	}
	f := startEntries(t, 1, leaving, ran)
	c := f.client(t)
	for range 2 {
		resp, err := c.DoOnce(newOrder(t))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	if f.resolved != 2 {
		t.Errorf("requested the endpoint list %d times, want 2: again after the close", f.resolved)
	}
}

// An entry that hangs lets only one call time out; later calls try other entries first.
func TestHangingEntryIsTriedLast(t *testing.T) {
	f := startEntries(t, 1, ran, ran)
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections, nobody responds
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	c := f.client(t)
	entries := &endpointList{TTLMs: 60_000, Entries: []Entry{
		{Address: hanging.Addr().String(), Ticket: "hanging:0"},
		{Address: f.servers[0].Listener.Addr().String(), Ticket: f.tickets[0]},
	}}
	c.resolver.store(entries)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.DoOnce(newOrder(t).WithContext(ctx))
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("error %v, want an unknown outcome", err)
	}
	c.resolver.store(entries) // other entries have not detected the failure yet
	resp, err := c.DoOnce(newOrder(t))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if len(f.operations) != 1 || !strings.HasPrefix(f.operations[0], f.tickets[0]) {
		t.Errorf("operations %v, want one with the live entry's ticket", f.operations)
	}
}
