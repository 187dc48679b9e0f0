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

// giveUp is far longer than any bound of the test's routes.
const giveUp = 30 * time.Second

type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }
func (endlessBody) Close() error               { return nil }

// dial sends the start of a request on a connection of its own.
func dial(t *testing.T, server *httptest.Server, start string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, start); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestCallerThatDoesNotReadHoldsNoPlace(t *testing.T) {
	b := newBench(t)
	b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		a := wholeAnswer("")
		a.Body = endlessBody{}
		a.ContentLength = -1
		return a, nil
	}
	server := httptest.NewServer(b)
	defer server.Close()
	conn := dial(t, server, "GET /kits HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n")
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), giveUp)
	defer cancel()
	if err := b.Drain.Wait(ctx); err != nil {
		t.Errorf("the call did not end: %v", err)
		conn.Close()
	}
}

func TestCallerThatDoesNotSendItsBodyIsRefused(t *testing.T) {
	b := newBench(t)
	b.tree.Services[0].Routes[0].Timeout = 100 * time.Millisecond
	server := httptest.NewServer(b)
	defer server.Close()
	conn := dial(t, server, fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 9\r\n\r\nkit",
		testHost, wire.HeaderOperation, b.newID("1")))
	if err := conn.SetReadDeadline(time.Now().Add(giveUp)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("no end of the connection: %v after %q", err, answer)
	}
	if b.runs.Load() != 0 || b.refusals(outcome.ReasonMalformed) != 1 {
		t.Errorf("%d runs, answer %q", b.runs.Load(), answer)
	}
}
