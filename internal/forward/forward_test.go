package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// sendOK makes one attempt that must be answered whole.
func sendOK(t *testing.T, f *Forwarder, s *rawServer) {
	t.Helper()
	a, failure := f.Send(context.Background(), s.vm(), orders(false), newRequest("GET", "/", 0), nil)
	if failure != nil {
		t.Fatal(failure)
	}
	body, err := io.ReadAll(a.Body)
	a.Body.Close()
	if err != nil || string(body) != "ok" {
		t.Fatalf("body %q, %v", body, err)
	}
}

// A server that reads a request on a reused connection and hangs up must not get
// it a second time, whatever the transport thinks of its method and headers.
func TestTransportNeverRepeats(t *testing.T) {
	for _, c := range []struct {
		name, method, header string
	}{
		{"empty post with Idempotency-Key", "POST", "Idempotency-Key"},
		{"empty post with X-Idempotency-Key", "POST", "X-Idempotency-Key"},
		{"get", "GET", "Accept"},
		{"delete", "DELETE", "Idempotency-Key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startRaw(t, func(n int, _ *http.Request, conn net.Conn) bool {
				return n == 0 && write(okAnswer)(n, nil, conn)
			})
			f := newForwarder(t)
			sendOK(t, f, s)
			r := newRequest(c.method, "/orders", 0)
			r.Header.Set(c.header, "k-1")
			a, failure := f.Send(context.Background(), s.vm(), orders(false), r, nil)
			if a != nil {
				a.Body.Close()
			}
			if failure == nil || failure.Outcome != outcome.Unknown || failure.Written == 0 {
				t.Fatalf("failure %v, want unknown after written bytes", failure)
			}
			if got := len(s.seen()); got != 2 {
				t.Fatalf("the server read %d requests, want the warm-up and one", got)
			}
		})
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, failure := newForwarder(t).Send(context.Background(), fleet.VM{Address: address}, orders(false), newRequest("POST", "/", 0), nil)
	if failure == nil || failure.Outcome != outcome.NotRun || failure.Stage != StageDial {
		t.Fatalf("got %v", failure)
	}
}

// cutConn fails its first write after a number of bytes.
type cutConn struct {
	net.Conn
	allow int
}

func (c *cutConn) Write(p []byte) (int, error) {
	n := min(c.allow, len(p))
	c.allow -= n
	if n > 0 {
		_, _ = c.Conn.Write(p[:n])
	}
	return n, net.ErrClosed
}

func TestOneWrittenByteIsUnknown(t *testing.T) {
	for _, c := range []struct {
		bytes int
		want  outcome.Outcome
	}{{0, outcome.NotRun}, {1, outcome.Unknown}} {
		s := startRaw(t, write(okAnswer))
		f := New(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &cutConn{conn, c.bytes}, err
		}})
		_, failure := f.Send(context.Background(), s.vm(), orders(false), newRequest("POST", "/", 0), nil)
		if failure == nil || failure.Outcome != c.want || failure.Written != int64(c.bytes) {
			t.Errorf("%d bytes: %v, want %s", c.bytes, failure, c.want)
		}
	}
}

func TestShedIsNotRunAndPlain503IsAnAnswer(t *testing.T) {
	shed := startRaw(t, write("HTTP/1.1 503 Busy\r\nLoad-Shed: not-run\r\nLoad-Report: inflight=3\r\nContent-Length: 0\r\n\r\n"))
	_, failure := newForwarder(t).Send(context.Background(), shed.vm(), orders(false), newRequest("POST", "/", 0), nil)
	if failure == nil || failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonShed || failure.LoadReport != "inflight=3" {
		t.Errorf("shed: %v", failure)
	}
	plain := startRaw(t, write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	a, failure := newForwarder(t).Send(context.Background(), plain.vm(), orders(false), newRequest("POST", "/", 0), nil)
	if failure != nil || a.Status != http.StatusServiceUnavailable {
		t.Fatalf("plain 503: %v", failure)
	}
	a.Body.Close()
}

// A broken answer must break the caller's connection, whatever it looked like
// before. The caller reads it with net/http, which reports the break.
func TestBrokenAnswerBreaksTheCallersConnection(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, c := range []struct {
		name, raw string
		whole     bool
	}{
		{"whole", okAnswer, true},
		{"whole chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"longer than its length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", false},
		{"longer after an interim answer", "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokay", false},
		{"longer and large", "HTTP/1.1 200 OK\r\nContent-Length: 102399\r\n\r\n" + long, false},
		{"chunked and cut", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"no length at all", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", false},
		{"large and cut", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startRaw(t, func(_ int, r *http.Request, conn net.Conn) bool {
				write(c.raw)(0, r, conn)
				return c.whole
			})
			f := newForwarder(t)
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				a, failure := f.Send(r.Context(), s.vm(), orders(false), r, nil)
				if failure != nil {
					t.Error(failure)
					return
				}
				_ = WriteResponse(w, a)
			}))
			defer entry.Close()
			resp, err := http.Get(entry.URL)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
			}
			if (err == nil) != c.whole {
				t.Fatalf("error %v, want whole %v", err, c.whole)
			}
		})
	}
}

// Bytes that a server sends beyond its answer must never answer the next request.
func TestSurplusNeverAnswersTheNextRequest(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	for _, first := range []string{
		okAnswer + forged,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + forged,
		"HTTP/1.1 204 No Content\r\n\r\n" + forged,
	} {
		s := startRaw(t, func(n int, r *http.Request, c net.Conn) bool {
			if r.URL.Path == "/first" {
				return write(first)(n, r, c)
			}
			return write(okAnswer)(n, r, c)
		})
		f := newForwarder(t)
		a, failure := f.Send(context.Background(), s.vm(), orders(false), newRequest("GET", "/first", 0), nil)
		if failure != nil {
			t.Fatal(failure)
		}
		_, _ = io.ReadAll(a.Body)
		a.Body.Close()
		sendOK(t, f, s)
	}
}
