package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// startEntry serves callers by forwarding each request to the server.
func startEntry(t *testing.T, server fleet.VM, m tree.Match) *httptest.Server {
	f := newForwarder(t)
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		resp, failure := f.Send(r.Context(), server, m, r, r.Body)
		if failure != nil {
			http.Error(w, failure.Error(), http.StatusBadGateway)
			return
		}
		_ = WriteResponse(w, resp)
	}))
	t.Cleanup(entry.Close)
	return entry
}

// exchange sends raw bytes to the entry and returns its response and the body.
func exchange(t *testing.T, entry *httptest.Server, raw string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", entry.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(closeTimeout))
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body)
}

func TestConnectionHeadersStayOnTheirConnection(t *testing.T) {
	s := startRawServer(t, respondWith("HTTP/1.1 307 Go\r\nLocation: /elsewhere\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"+
		"Chestnut-Outcome: not-run\r\nLoad-Report: inflight=1\r\nContent-Length: 0\r\n\r\n"))
	entry := startEntry(t, s.vm(), ordersMatch(false))
	resp, _ := exchange(t, entry, "GET / HTTP/1.1\r\nHost: shop.example\r\nConnection: close, x-secret\r\nX-Secret: 1\r\n"+
		"Keep-Alive: 5\r\nProxy-Authorization: p\r\nTe: trailers, deflate\r\nUpgrade: x\r\nX-End: 3\r\nIdempotency-Key: k\r\n\r\n")
	got := s.received()[0]
	for _, name := range []string{"X-Secret", "Keep-Alive", "Proxy-Authorization", "Upgrade", "Connection"} {
		if got.Header.Get(name) != "" {
			t.Errorf("the server got the hop-by-hop header %s", name)
		}
	}
	if got.Header.Get("X-End") != "3" || got.Header.Get("Te") != "trailers" || got.Header.Get("Idempotency-Key") != "k" || got.Host != "shop.example" {
		t.Errorf("the server got host %q and header %v, want host \"shop.example\", X-End, Te: trailers and Idempotency-Key", got.Host, got.Header)
	}
	if resp.StatusCode != 307 || resp.Header.Get("X-End") != "2" || resp.Header.Get("Location") != "/elsewhere" {
		t.Errorf("the caller got status %d and header %v, want 307 with X-End and Location", resp.StatusCode, resp.Header)
	}
	if resp.Header.Get("X-Hop") != "" || resp.Header.Get("Load-Report") != "" || resp.Header.Get(wire.HeaderOutcome) != "ran" {
		t.Errorf("the caller got header %v, want outcome ran, no X-Hop and no Load-Report", resp.Header)
	}
}

// Request smuggling: a request whose body length is ambiguous must be rejected, or
// reach the server with exactly one length.
func TestConflictingLengths(t *testing.T) {
	smuggled := "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n"
	for _, c := range []struct{ name, head string }{
		{"length and chunks", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(smuggled))},
		{"two lengths", "Content-Length: 4\r\nContent-Length: 44\r\n"},
		{"odd encoding", "Transfer-Encoding: xchunked\r\n"},
		{"space before the colon", "Transfer-Encoding : chunked\r\n"},
		{"signed length", "Content-Length: +4\r\n"},
	} {
		s := startRawServer(t, respondWith(okResponse))
		entry := startEntry(t, s.vm(), ordersMatch(false))
		exchange(t, entry, "POST /orders HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"+c.head+"\r\n"+smuggled)
		for _, r := range s.received() {
			if r.URL.Path != "/orders" || len(r.Header["Content-Length"]) > 0 {
				t.Errorf("%s: the server got path %s, header %v, want /orders without Content-Length", c.name, r.URL.Path, r.Header)
			}
		}
	}
}

func TestResponsesWithConflictingLengthsAreUnknown(t *testing.T) {
	for _, raw := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"garbage\r\n\r\n",
	} {
		s := startRawServer(t, respondWith(raw))
		_, failure := newForwarder(t).Send(t.Context(), s.vm(), ordersMatch(false), newRequest("POST", "/", 0), nil)
		if failure == nil || failure.Outcome != outcome.Unknown {
			t.Errorf("%q: failure %v, want outcome unknown", raw, failure)
		}
	}
}

func TestTrailersGoBothWays(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "X-Sum")
		fmt.Fprintf(w, "%s %s", body, r.Trailer.Get("X-Up"))
		w.Header().Set("X-Sum", "42")
		w.Header().Set(http.TrailerPrefix+"X-Late", "43")
	}))
	defer server.Close()
	entry := startEntry(t, fleet.VM{Address: server.Listener.Addr().String()}, ordersMatch(true))
	resp, body := exchange(t, entry, "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTrailer: X-Up\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"4\r\nscan\r\n0\r\nX-Up: 41\r\n\r\n")
	if body != "scan 41" || resp.Trailer.Get("X-Sum") != "42" || resp.Trailer.Get("X-Late") != "43" {
		t.Errorf("body %q, trailer %v, want \"scan 41\", X-Sum: 42 and X-Late: 43", body, resp.Trailer)
	}
}

// A shed upload must not consume the caller's body, so that it can be sent to another
// server.
func TestShedUploadIsNotRead(t *testing.T) {
	s := startRawServer(t, func(n int, r *http.Request, c net.Conn) bool {
		respondWith("HTTP/1.1 503 Busy\r\nLoad-Shed: not-run\r\nContent-Length: 0\r\n\r\n")(n, r, c)
		return false
	})
	body := &requestBody{reader: strings.NewReader(strings.Repeat("x", 1<<20))}
	_, failure := newForwarder(t).Send(t.Context(), s.vm(), ordersMatch(true), newRequest("POST", "/", 1<<20), body)
	if failure == nil || failure.Outcome != outcome.NotRun || failure.BodyRead || body.readStarted.Load() {
		t.Fatalf("failure %v, body read %v, want outcome not-run and an unread body", failure, body.readStarted.Load())
	}
	if s.received()[0].Header.Get("Expect") != "100-continue" {
		t.Error("the server got no Expect: 100-continue")
	}
}

// maxUploadAllocBytes bounds the memory that one streamed upload may allocate.
const maxUploadAllocBytes = 1 << 20

func TestUploadsAreStreamed(t *testing.T) {
	const size = 64 << 20
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n)
	}))
	defer server.Close()
	f := newForwarder(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	body := io.LimitReader(zeros{}, size)
	resp, failure := f.Send(t.Context(), fleet.VM{Address: server.Listener.Addr().String()}, ordersMatch(true), newRequest("POST", "/", size), body)
	if failure != nil {
		t.Fatal(failure)
	}
	got, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	runtime.ReadMemStats(&after)
	if err != nil || string(got) != fmt.Sprint(size) {
		t.Fatalf("the server read %s bytes, error %v, want the whole upload", got, err)
	}
	if used := after.TotalAlloc - before.TotalAlloc; used > maxUploadAllocBytes {
		t.Errorf("%d bytes allocated for an upload of %d bytes, want at most 1 MiB", used, size)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// If the caller aborts its upload, the server must not see a complete body.
func TestBrokenUploadReachesTheServerBroken(t *testing.T) {
	readErrs := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		readErrs <- err
	}))
	defer server.Close()
	body := io.MultiReader(strings.NewReader("half"), failingReader{})
	for _, length := range []int64{-1, 1000} {
		_, failure := newForwarder(t).Send(t.Context(), fleet.VM{Address: server.Listener.Addr().String()}, ordersMatch(true), newRequest("POST", "/", length), body)
		if failure == nil || failure.Outcome != outcome.Unknown {
			t.Errorf("failure %v, want outcome unknown", failure)
		}
		select {
		case err := <-readErrs:
			if err == nil {
				t.Errorf("length %d: the server read a complete body, want an error", length)
			}
		case <-time.After(closeTimeout):
			server.CloseClientConnections() // Close waits for the handler
			t.Fatalf("length %d: the server still waits for the body", length)
		}
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func TestCancelReachesTheServer(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	s := startRawServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
		close(started)
		_, _ = c.Read(make([]byte, 1)) // returns when the entry closes
		close(ended)
		return false
	})
	ctx, cancel := context.WithTimeout(t.Context(), closeTimeout)
	defer cancel()
	go func() { <-started; cancel() }()
	_, failure := newForwarder(t).Send(ctx, s.vm(), ordersMatch(false), newRequest("POST", "/", 0), nil)
	if failure == nil || failure.Outcome != outcome.Unknown || failure.Reason != outcome.ReasonCallerGone {
		t.Fatalf("failure %v, want outcome unknown, reason caller_gone", failure)
	}
	select {
	case <-ended:
	case <-time.After(closeTimeout):
		t.Error("the connection to the server is still open")
	}
}

func TestDeadlineIsForwardedWithoutTheTimeSpent(t *testing.T) {
	r := newRequest("GET", "/", 0)
	r.Header.Set(wire.HeaderTimeoutMs, "9000")
	header := requestHeader(r, ordersMatch(false), time.Now().Add(time.Second))
	var remaining int
	if _, err := fmt.Sscan(header.Get(wire.HeaderTimeoutMs), &remaining); err != nil || remaining > 1000 {
		t.Errorf("%q milliseconds remaining, want at most 1000", header.Get(wire.HeaderTimeoutMs))
	}
}

func TestConnectionsPerServerAreBounded(t *testing.T) {
	for _, c := range []struct{ perServer, entries, want int }{
		{250, 19, 12},
		{250, 13, 15},
		{200, 1, 200},
		{0, 5, 1},
		{3, 19, 1},
	} {
		if got := connectionLimit(c.perServer, c.entries); got != c.want {
			t.Errorf("%d connections shared by %d entries: %d each, want %d", c.perServer, c.entries, got, c.want)
		}
	}
	var open, maxOpen atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		}
	}
	server.Start()
	defer server.Close()
	m := ordersMatch(false)
	m.Service.ConnectionsPerServer = 3
	f := newForwarder(t)
	var calls sync.WaitGroup
	for range 30 {
		calls.Go(func() {
			resp, failure := f.Send(t.Context(), fleet.VM{Address: server.Listener.Addr().String()}, m, newRequest("GET", "/", 0), nil)
			if failure != nil {
				t.Error(failure)
				return
			}
			_, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
		})
	}
	calls.Wait()
	if maxOpen.Load() > 3 {
		t.Errorf("%d connections, want at most 3", maxOpen.Load())
	}
}

func TestEntriesThatComeAndGoKeepWarmConnections(t *testing.T) {
	entries := 16
	f := New(Options{Entries: func() int { return entries }})
	svc := ordersMatch(false).Service
	at := func(n int) *http.Transport { entries = n; return f.pools.transport(tree.Match{Service: svc}) }
	sixteen := at(16)
	seventeen := at(17)
	if sixteen == seventeen {
		t.Error("a smaller limit did not replace the transport")
	}
	if at(16) != seventeen || at(18) != seventeen {
		t.Error("a slightly larger limit replaced the transport, want its idle connections kept")
	}
	if at(8) == seventeen {
		t.Error("a much larger limit did not replace the transport")
	}
}
