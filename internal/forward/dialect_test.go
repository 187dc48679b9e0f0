package forward

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// correlatingDialect expects the request's id in each response.
type correlatingDialect struct{}

var errWrongRequest = errors.New("response to another request")

func (correlatingDialect) RewriteRequest(h http.Header, server fleet.VM, _ tree.Match) {
	h.Set("For", server.Name)
}

func (correlatingDialect) RewriteResponse(resp *http.Response, request http.Header) error {
	if resp.Header.Get("Id") != request.Get("Id") {
		return errWrongRequest
	}
	return nil
}

func newDialectForwarder(t *testing.T) *Forwarder {
	f := New(Options{Dialect: correlatingDialect{}, DisableExpectContinue: true, MaxBufferedResponseBytes: 1 << 10, CorrelatedResponses: true})
	t.Cleanup(f.Close)
	return f
}

// sendOne sends a request with the id "1" and returns the response body.
func sendOne(t *testing.T, f *Forwarder, s *rawServer) (string, *SendError) {
	t.Helper()
	r := newRequest("POST", "/", 3)
	r.Header = http.Header{"Id": {"1"}}
	resp, failure := f.Send(t.Context(), s.vm(), ordersMatch(false), r, strings.NewReader("kit"))
	if failure != nil {
		return "", failure
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if int64(len(body)) != resp.ContentLength {
		t.Errorf("ContentLength %d, want the body's length %d", resp.ContentLength, len(body))
	}
	return string(body), nil
}

func TestIdentifiedAnswers(t *testing.T) {
	for _, c := range []struct {
		name, raw, body string
		ok              bool
	}{
		{"whole", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", "ok", true},
		{"of another request", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nno", "", false},
		{"with another one behind", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n", "ok", true},
		{"without length", "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nok", "ok", true},
		{"broken off", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\nok", "", false},
	} {
		s := startRawServer(t, func(n int, r *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, c.raw)
			return false
		})
		body, failure := sendOne(t, newDialectForwarder(t), s)
		if (failure == nil) != c.ok || body != c.body {
			t.Errorf("%s: got body %q, failure %v", c.name, body, failure)
		}
		if failure != nil && failure.Outcome != outcome.Unknown {
			t.Errorf("%s: outcome %s of a request that the server read, want unknown", c.name, failure.Outcome)
		}
		if got := s.received()[0].Header.Get("For"); got != s.vm().Name {
			t.Errorf("%s: the server got the header For: %q, want its own name", c.name, got)
		}
	}
}

// A response without a length that ends in a connection reset is truncated.
func TestResetResponseWithoutLength(t *testing.T) {
	s := startRawServer(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nok")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	if body, failure := sendOne(t, newDialectForwarder(t), s); failure == nil {
		t.Errorf("a response that ended in a reset was accepted with body %q", body)
	}
}

// Non-idempotent calls use separate connections with a shorter idle timeout.
func TestNonIdempotentConnectionsIdleForLessLong(t *testing.T) {
	f := New(Options{IdleTimeout: time.Minute, NonIdempotentIdleTimeout: time.Second})
	defer f.Close()
	nonIdempotent, idempotent := ordersMatch(false), ordersMatch(false)
	idempotent.Route = &tree.Route{Idempotent: true}
	if a, b := f.pools.transport(nonIdempotent), f.pools.transport(idempotent); a == b || a.IdleConnTimeout != time.Second || b.IdleConnTimeout != time.Minute {
		t.Errorf("idle timeouts %v and %v, want 1s and 1m0s in separate transports", a.IdleConnTimeout, b.IdleConnTimeout)
	}
}
