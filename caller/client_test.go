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
)

// fakeEntries answer calls by a script, one step a call, whichever entry gets it.
type fakeEntries struct {
	servers []*httptest.Server
	tickets []string

	mu         sync.Mutex
	script     []func(w http.ResponseWriter)
	operations []string
	bodies     []string
	resolved   int
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
		answer := entriesAnswer{TTLMs: 60_000}
		for i, s := range f.servers {
			answer.Entries = append(answer.Entries, Entry{Address: s.Listener.Addr().String(), Ticket: f.tickets[i]})
		}
		_ = json.NewEncoder(w).Encode(answer)
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

func hungUp(http.ResponseWriter) { panic(http.ErrAbortHandler) }

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

// A repeat keeps its operation id unless the answer was a certain not-run.
func TestOperationIDsOfRepeats(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []func(http.ResponseWriter)
		same   []bool // whether each repeat has the id before it
		want   any
	}{
		{"answered", []func(http.ResponseWriter){ran}, nil, nil},
		{"unknown, then ran", []func(http.ResponseWriter){unknown, ran}, []bool{true}, nil},
		{"hung up, then ran", []func(http.ResponseWriter){hungUp, ran}, []bool{true}, nil},
		{"not run, then ran", []func(http.ResponseWriter){notRun, ran}, []bool{false}, nil},
		{"unknown, not run, ran", []func(http.ResponseWriter){unknown, notRun, ran}, []bool{true, false}, nil},
		{"unknown for ever", []func(http.ResponseWriter){unknown, hungUp, unknown}, []bool{true, true}, &OutcomeUnknownError{}},
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
				t.Fatalf("%d sends, want %d", len(f.operations), len(c.same)+1)
			}
			for n, same := range c.same {
				if (f.operations[n+1] == f.operations[n]) != same {
					t.Errorf("repeat %d: %s after %s, want the same: %v", n, f.operations[n+1], f.operations[n], same)
				}
			}
			for n, body := range f.bodies {
				if body != "kit" {
					t.Errorf("send %d had body %q", n, body)
				}
			}
		})
	}
}

// The ticket of an operation is that of the entry to which it is sent first.
func TestFailoverFromADeadEntry(t *testing.T) {
	f := startEntries(t, 1, ran)
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := f.client(t)
	c.resolver.keep(&entriesAnswer{TTLMs: 60_000, Entries: []Entry{
		{Address: dead.Addr().String(), Ticket: "dead:0"},
		{Address: f.servers[0].Listener.Addr().String(), Ticket: f.tickets[0]},
	}})
	dead.Close()
	resp, err := c.DoOnce(newOrder(t))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if len(f.operations) != 1 || !strings.HasPrefix(f.operations[0], f.tickets[0]) {
		t.Errorf("operations %v", f.operations)
	}
}

// An earlier send of the operation may have run, so a failed dial proves nothing.
func TestRepeatOfAnUnknownOperationStaysUnknown(t *testing.T) {
	f := startEntries(t, 1)
	c := f.client(t)
	if _, err := c.resolver.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.servers[0].Close()
	_, err := c.Repeat(newOrder(t), f.tickets[0]+".1")
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) || unknown.Operation != f.tickets[0]+".1" {
		t.Errorf("%v", err)
	}
}

func TestIdempotentCallsHaveNoOperation(t *testing.T) {
	f := startEntries(t, 2, hungUp, ran)
	resp, err := f.client(t).Do(newOrder(t))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if f.operations[0] != "" || f.operations[1] != "" || f.bodies[1] != "kit" {
		t.Errorf("operations %v, bodies %v", f.operations, f.bodies)
	}
}

func TestAddressesAreKept(t *testing.T) {
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
		t.Errorf("asked for addresses %d times", f.resolved)
	}
}

func TestRepeatsStayInTheirBudget(t *testing.T) {
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
		t.Errorf("%d sends of %d calls, want the burst of %d more", got, calls, burstTokens)
	}
}

// An entry that leaves closes its connections; the next call asks for addresses.
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
		t.Errorf("asked for addresses %d times, want again after the close", f.resolved)
	}
}

// An entry that hangs costs one call its time; later calls go elsewhere first.
func TestHangingEntryIsTriedLast(t *testing.T) {
	f := startEntries(t, 1, ran, ran)
	hanging, err := net.Listen("tcp", "127.0.0.1:0") // accepts in the kernel, never answers
	if err != nil {
		t.Fatal(err)
	}
	defer hanging.Close()
	c := f.client(t)
	entries := &entriesAnswer{TTLMs: 60_000, Entries: []Entry{
		{Address: hanging.Addr().String(), Ticket: "hanging:0"},
		{Address: f.servers[0].Listener.Addr().String(), Ticket: f.tickets[0]},
	}}
	c.resolver.keep(entries)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.DoOnce(newOrder(t).WithContext(ctx))
	var unknown *OutcomeUnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("%v, want an unknown outcome", err)
	}
	c.resolver.keep(entries) // the system has not noticed yet
	resp, err := c.DoOnce(newOrder(t))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if len(f.operations) != 1 || !strings.HasPrefix(f.operations[0], f.tickets[0]) {
		t.Errorf("operations %v", f.operations)
	}
}
