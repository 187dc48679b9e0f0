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
	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// sendOK sends a request that must get the complete body "ok".
func sendOK(t *testing.T, f *Forwarder, s *rawServer) {
	t.Helper()
	resp, failure := f.Send(context.Background(), s.vm(), ordersMatch(false), newRequest("GET", "/", 0), nil)
	if failure != nil {
		t.Fatal(failure)
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil || string(body) != "ok" {
		t.Fatalf("body %q, error %v, want body \"ok\"", body, err)
	}
}

// A server that reads a request on a reused connection and hangs up must not get
// the request again, even if its method or headers make the transport retry it.
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
			s := startRawServer(t, func(n int, _ *http.Request, conn net.Conn) bool {
				return n == 0 && respondWith(okResponse)(n, nil, conn)
			})
			f := newForwarder(t)
			sendOK(t, f, s)
			r := newRequest(c.method, "/orders", 0)
			r.Header.Set(c.header, "k-1")
			resp, failure := f.Send(context.Background(), s.vm(), ordersMatch(false), r, nil)
			if resp != nil {
				resp.Body.Close()
			}
			if failure == nil || failure.Outcome != outcome.Unknown || failure.Written == 0 {
				t.Fatalf("failure %v, want outcome unknown with bytes written", failure)
			}
			if got := len(s.received()); got != 2 {
				t.Fatalf("the server read %d requests, want 2: the one of sendOK and the tested one", got)
			}
		})
	}
}

func TestFailedDialIsNotRun(t *testing.T) {
	address, err := loopback.Next()
	if err != nil {
		t.Fatal(err)
	}
	_, failure := newForwarder(t).Send(context.Background(), fleet.VM{Address: address.String()}, ordersMatch(false), newRequest("POST", "/", 0), nil)
	if failure == nil || failure.Outcome != outcome.NotRun || failure.Stage != StageDial {
		t.Fatalf("failure %v, want outcome not-run at stage dial", failure)
	}
}

// truncatingConn fails every write and passes on only the first remaining bytes.
type truncatingConn struct {
	net.Conn
	remaining int
}

func (c *truncatingConn) Write(p []byte) (int, error) {
	n := min(c.remaining, len(p))
	c.remaining -= n
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
		s := startRawServer(t, respondWith(okResponse))
		f := New(Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &truncatingConn{conn, c.bytes}, err
		}})
		_, failure := f.Send(context.Background(), s.vm(), ordersMatch(false), newRequest("POST", "/", 0), nil)
		if failure == nil || failure.Outcome != c.want || failure.Written != int64(c.bytes) {
			t.Errorf("%d bytes written: failure %v, want outcome %s", c.bytes, failure, c.want)
		}
	}
}

func TestShedIsNotRunAndPlain503IsAnAnswer(t *testing.T) {
	shed := startRawServer(t, respondWith("HTTP/1.1 503 Busy\r\nLoad-Shed: not-run\r\nLoad-Report: inflight=3\r\nContent-Length: 0\r\n\r\n"))
	_, failure := newForwarder(t).Send(context.Background(), shed.vm(), ordersMatch(false), newRequest("POST", "/", 0), nil)
	if failure == nil || failure.Outcome != outcome.NotRun || failure.Reason != outcome.ReasonShed || failure.LoadReport != "inflight=3" {
		t.Errorf("shed: failure %v, want outcome not-run, reason shed and the load report", failure)
	}
	plain := startRawServer(t, respondWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	resp, failure := newForwarder(t).Send(context.Background(), plain.vm(), ordersMatch(false), newRequest("POST", "/", 0), nil)
	if failure != nil || resp.Status != http.StatusServiceUnavailable {
		t.Fatalf("503 without Load-Shed: failure %v, want a response with status 503", failure)
	}
	resp.Body.Close()
}

// A truncated response, or one longer than announced, must abort the caller's
// connection, however much of it was sent before. The caller reads it with
// net/http, which reports the abort.
func TestBrokenAnswerBreaksTheCallersConnection(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	for _, c := range []struct {
		name, raw string
		complete  bool
	}{
		{"whole", okResponse, true},
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
			s := startRawServer(t, func(_ int, r *http.Request, conn net.Conn) bool {
				respondWith(c.raw)(0, r, conn)
				return c.complete
			})
			f := newForwarder(t)
			entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				resp, failure := f.Send(r.Context(), s.vm(), ordersMatch(false), r, nil)
				if failure != nil {
					t.Error(failure)
					return
				}
				_ = WriteResponse(w, resp)
			}))
			defer entry.Close()
			resp, err := http.Get(entry.URL)
			if err == nil {
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
			}
			if (err == nil) != c.complete {
				t.Fatalf("reading the response: error %v, want complete response %v", err, c.complete)
			}
		})
	}
}

// Bytes that a server sends after its response must never be taken for the response
// to the next request.
func TestSurplusNeverAnswersTheNextRequest(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"
	for _, first := range []string{
		okResponse + forged,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" + forged,
		"HTTP/1.1 204 No Content\r\n\r\n" + forged,
	} {
		s := startRawServer(t, func(n int, r *http.Request, c net.Conn) bool {
			if r.URL.Path == "/first" {
				return respondWith(first)(n, r, c)
			}
			return respondWith(okResponse)(n, r, c)
		})
		f := newForwarder(t)
		resp, failure := f.Send(context.Background(), s.vm(), ordersMatch(false), newRequest("GET", "/first", 0), nil)
		if failure != nil {
			t.Fatal(failure)
		}
		_, _ = io.ReadAll(resp.Body)
		resp.Body.Close()
		sendOK(t, f, s)
	}
}
