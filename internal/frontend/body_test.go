package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/buffer"
	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const testUploadBytes = 1 << 20

// newUploadServer serves a harness that reads uploads completely, with memory for 8 of them.
func newUploadServer(t *testing.T) (*harness, *httptest.Server) {
	t.Helper()
	h := newHarness(t)
	service := h.tree.Services[0]
	service.Routes = append(service.Routes, &tree.Route{
		Methods: []string{"POST"}, PathPrefix: "/uploads", Rank: "uploads", Upload: true, Idempotent: true, MaxBodyBytes: 64 << 20, Timeout: testTimeout,
	})
	h.BufferUploads = true
	h.Bodies = buffer.NewBudget(10*testUploadBytes, tally.NoopScope)
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return h, server
}

// beginUpload sends the header of an upload and the first bytes of its body.
func beginUpload(t *testing.T, server *httptest.Server, bytes int) net.Conn {
	t.Helper()
	header := fmt.Sprintf("POST /uploads/scan HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", testHost, testUploadBytes)
	conn := dialAndSend(t, server, header+strings.Repeat("x", bytes))
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// endUpload sends the rest of an upload, over the given time, before it reads the response.
func endUpload(t *testing.T, conn net.Conn, sent int, over time.Duration) *http.Response {
	t.Helper()
	const parts = 8
	for rest := testUploadBytes - sent; rest > 0; {
		n := min(rest, (testUploadBytes-sent)/parts+1)
		if _, err := io.WriteString(conn, strings.Repeat("x", n)); err != nil {
			t.Fatalf("%d bytes before the end of the upload: %v", rest, err)
		}
		rest -= n
		time.Sleep(over / parts)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// More uploads than there is memory for are refused, and do not make the entry exceed the memory
// of its VM, which would end it with the requests of all callers (review, case 2). Small requests
// are served beside them.
func TestUploadsBeyondTheMemoryAreRefused(t *testing.T) {
	h, server := newUploadServer(t)
	const sent = testUploadBytes - 1
	var uploads []net.Conn
	for range 8 {
		uploads = append(uploads, beginUpload(t, server, sent))
	}
	waitForHeldBytes(t, h, 8*testUploadBytes)
	if got := endUpload(t, beginUpload(t, server, 0), 0, 0); got.StatusCode != http.StatusServiceUnavailable ||
		got.Header.Get(wire.HeaderReason) != string(outcome.ReasonBodyMemory) || got.Header.Get("Retry-After") == "" {
		t.Errorf("upload without memory: status %d, header %v, want 503 body_memory with a Retry-After", got.StatusCode, got.Header)
	}
	if h.runs.Load() != 0 || h.refusals(outcome.ReasonBodyMemory) != 1 {
		t.Errorf("%d runs and %d refusals, want none and 1", h.runs.Load(), h.refusals(outcome.ReasonBodyMemory))
	}
	if w := h.send("POST", "/orders", "one jar kit", wire.HeaderOperation, h.newID("1")); w.Code != http.StatusOK {
		t.Errorf("order beside the uploads: status %d, want 200", w.Code)
	}
	for _, conn := range uploads {
		if got := endUpload(t, conn, sent, 0); got.StatusCode != http.StatusOK {
			t.Errorf("upload with memory: status %d, want 200", got.StatusCode)
		}
	}
	if got := endUpload(t, beginUpload(t, server, 0), 0, 0); got.StatusCode != http.StatusOK {
		t.Errorf("upload after the others: status %d, want 200", got.StatusCode)
	}
	waitForHeldBytes(t, h, 0)
}

func waitForHeldBytes(t *testing.T, h *harness, want int64) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); h.Bodies.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes held, want %d", h.Bodies.Held(), want)
		}
	}
}

// An upload that does not come gives way to one that does, and its caller is told that it did not run.
func TestUploadThatDoesNotComeGivesWay(t *testing.T) {
	h, _ := newUploadServer(t)
	connections := account.New(account.Limits{}, func(string, ...any) {}, tally.NoopScope)
	h.Bodies = buffer.NewBudget(testUploadBytes*3/2, tally.NoopScope).WithShedder(connections)
	server := httptest.NewUnstartedServer(h)
	listener, err := connections.Listen("callers", "127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	server.Listener.Close()
	server.Listener = listener
	connections.Prepare(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	stopped := beginUpload(t, server, testUploadBytes-1)
	waitForHeldBytes(t, h, testUploadBytes)
	for deadline := time.Now().Add(testTimeout); endUpload(t, beginUpload(t, server, 0), 0, 0).StatusCode != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("an upload that comes was not served beside one that does not")
		}
	}
	got, err := http.ReadResponse(bufio.NewReader(stopped), nil)
	if err != nil || got.StatusCode != http.StatusServiceUnavailable || got.Header.Get(wire.HeaderReason) != string(outcome.ReasonBodyMemory) ||
		got.Header.Get(wire.HeaderOutcome) != string(outcome.NotRun) {
		t.Errorf("upload that does not come: got %+v, error %v; want 503 body_memory, not run", got, err)
	}
	if n := h.runs.Load(); n != 1 {
		t.Errorf("%d runs, want 1", n)
	}
	waitForHeldBytes(t, h, 0)
}

// A caller that sends its whole body before it reads gets the refusal. A closed connection would
// leave open whether the request ran, so that the caller could not try again.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	for _, c := range []struct {
		name   string
		refuse func(t *testing.T, h *harness, server *httptest.Server)
		reason outcome.Reason
		status int
		// streamed uploads are refused by the Runner, before their body is read.
		streamed bool
	}{
		{"no memory", func(t *testing.T, h *harness, server *httptest.Server) {
			h.Bodies = buffer.NewBudget(testUploadBytes*3/2, tally.NoopScope)
			beginUpload(t, server, testUploadBytes-1)
			waitForHeldBytes(t, h, testUploadBytes)
		}, outcome.ReasonBodyMemory, http.StatusServiceUnavailable, false},
		{"more than all memory", func(_ *testing.T, h *harness, _ *httptest.Server) {
			h.Bodies = buffer.NewBudget(testUploadBytes, tally.NoopScope)
		}, outcome.ReasonTooLarge, http.StatusRequestEntityTooLarge, false},
		{"no configuration", func(_ *testing.T, h *harness, _ *httptest.Server) { h.tree = nil }, outcome.ReasonNoConfiguration, http.StatusServiceUnavailable, false},
		{"stopping", func(_ *testing.T, h *harness, _ *httptest.Server) { h.Drainer.Start(drain.Plan{}) }, outcome.ReasonStopping, http.StatusServiceUnavailable, false},
		{"streamed, queue full", func(_ *testing.T, h *harness, _ *httptest.Server) {
			h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
				return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonQueueFull, "the queue is full")
			}
		}, outcome.ReasonQueueFull, http.StatusServiceUnavailable, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h, server := newUploadServer(t)
			h.BufferUploads = !c.streamed
			c.refuse(t, h, server)
			// net/http closes a connection with an unread body after half a second.
			got := endUpload(t, beginUpload(t, server, 0), 0, 1500*time.Millisecond)
			if got.StatusCode != c.status || got.Header.Get(wire.HeaderReason) != string(c.reason) || !got.Close {
				t.Errorf("status %d, header %v, close %v, want %d %s and a closed connection", got.StatusCode, got.Header, got.Close, c.status, c.reason)
			}
		})
	}
}

// A caller that waits for 100 Continue before it sends its body gets the refusal in its place.
func TestRefusalInPlaceOf100Continue(t *testing.T) {
	h, server := newUploadServer(t)
	h.Drainer.Start(drain.Plan{})
	conn := dialAndSend(t, server, fmt.Sprintf("POST /uploads/scan HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", testHost, testUploadBytes))
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503 at once", response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Error(err)
	}
	if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(reader); err != nil || len(rest) > 0 {
		t.Errorf("after the response: %q, error %v, want the end of the connection", rest, err)
	}
}
