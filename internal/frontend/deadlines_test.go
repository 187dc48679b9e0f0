package frontend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// testTimeout is far longer than any timeout of the test's routes.
const testTimeout = 30 * time.Second

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (endlessBody) Close() error               { return nil }

// dialAndSend opens a connection and sends the start of a request on it.
func dialAndSend(t *testing.T, server *httptest.Server, prefix string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, prefix); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestCallerThatDoesNotReadHoldsNoSlot(t *testing.T) {
	h := newHarness(t)
	h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		resp := completeResponse("")
		resp.Body = endlessBody{}
		resp.ContentLength = -1
		return resp, nil
	}
	server := httptest.NewServer(h)
	defer server.Close()
	conn := dialAndSend(t, server, "GET /kits HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n")
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := h.Drainer.Wait(ctx); err != nil {
		t.Errorf("the call of a caller that does not read its response did not end: %v", err)
		conn.Close()
	}
}

func TestCallerThatDoesNotSendItsBodyIsRefused(t *testing.T) {
	h := newHarness(t)
	h.tree.Services[0].Routes[0].Timeout = 100 * time.Millisecond
	server := httptest.NewServer(h)
	defer server.Close()
	conn := dialAndSend(t, server, fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 9\r\n\r\nkit",
		testHost, wire.HeaderOperation, h.newID("1")))
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	resp, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("the connection was not closed: error %v after response %q", err, resp)
	}
	if h.runs.Load() != 0 || h.refusals(outcome.ReasonMalformed) != 1 {
		t.Errorf("%d runs, response %q, want no run and one refusal counted as malformed", h.runs.Load(), resp)
	}
}
