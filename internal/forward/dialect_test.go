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

// idDialect has answers carry the request's id.
type idDialect struct{}

var errOther = errors.New("answer to another request")

func (idDialect) RewriteRequest(h http.Header, server fleet.VM, _ tree.Match) {
	h.Set("For", server.Name)
}

func (idDialect) RewriteResponse(answer *http.Response, request http.Header) error {
	if answer.Header.Get("Id") != request.Get("Id") {
		return errOther
	}
	return nil
}

func newDialectForwarder(t *testing.T) *Forwarder {
	f := New(Options{Dialect: idDialect{}, DisableExpectContinue: true, MaxBufferedResponseBytes: 1 << 10, CorrelatedResponses: true})
	t.Cleanup(f.Close)
	return f
}

// sendOne makes one attempt of a request with the id "1" and reads the answer.
func sendOne(t *testing.T, f *Forwarder, s *rawServer) (string, *SendError) {
	t.Helper()
	r := newRequest("POST", "/", 3)
	r.Header = http.Header{"Id": {"1"}}
	a, failure := f.Send(t.Context(), s.vm(), orders(false), r, strings.NewReader("kit"))
	if failure != nil {
		return "", failure
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		t.Fatal(err)
	}
	if int64(len(body)) != a.ContentLength {
		t.Errorf("length %d of %d bytes", a.ContentLength, len(body))
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
		s := startRaw(t, func(n int, r *http.Request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, c.raw)
			return false
		})
		body, failure := sendOne(t, newDialectForwarder(t), s)
		if (failure == nil) != c.ok || body != c.body {
			t.Errorf("%s: %q, %v", c.name, body, failure)
		}
		if failure != nil && failure.Outcome != outcome.Unknown {
			t.Errorf("%s: a request that was read is %s", c.name, failure.Outcome)
		}
		if got := s.seen()[0].Header.Get("For"); got != s.vm().Name {
			t.Errorf("%s: the server got %q", c.name, got)
		}
	}
}

// An answer without a length that ends by a reset is not whole.
func TestResetAnswerWithoutLength(t *testing.T) {
	s := startRaw(t, func(_ int, _ *http.Request, conn net.Conn) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nok")
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	if body, failure := sendOne(t, newDialectForwarder(t), s); failure == nil {
		t.Errorf("a reset answer passed as %q", body)
	}
}

// Calls that are not idempotent have connections of their own, kept for less long.
func TestOnceConnectionsAreKeptForLessLong(t *testing.T) {
	f := New(Options{IdleTimeout: time.Minute, NonIdempotentIdleTimeout: time.Second})
	defer f.Close()
	once, look := orders(false), orders(false)
	look.Route = &tree.Route{Idempotent: true}
	if a, b := f.pools.transport(once), f.pools.transport(look); a == b || a.IdleConnTimeout != time.Second || b.IdleConnTimeout != time.Minute {
		t.Errorf("kept for %v and %v", a.IdleConnTimeout, b.IdleConnTimeout)
	}
}
