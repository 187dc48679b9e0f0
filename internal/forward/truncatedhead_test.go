package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// A server stops in the middle of its response's head and closes, or resets, the connection. That
// is no response, whatever is missing, so no caller may get a success with an empty or short body.
func TestTruncatedHeadIsNoResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/plain\r\nContent-Length: 400\r\n\r\n"
	end := len(whole) - 1
	for cut := 0; cut <= end; cut++ {
		for _, reset := range []bool{false, true} {
			head := whole[:cut]
			s := startRawServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, head)
				if tcp, ok := c.(*net.TCPConn); ok && reset {
					_ = tcp.SetLinger(0)
				}
				return false
			})
			body, failure := sendOne(t, newDialectForwarder(t), s)
			if failure == nil {
				t.Errorf("after %d bytes of the head (reset %v): got a response with body %q, want none", cut, reset, body)
			} else if failure.Outcome != outcome.Unknown {
				t.Errorf("after %d bytes of the head (reset %v): outcome %s, want unknown", cut, reset, failure.Outcome)
			}
		}
	}
}

// The same with the head of the final response after an interim one, and with a head that is whole
// but for its body.
func TestTruncatedResponseIsNoSuccess(t *testing.T) {
	for name, raw := range map[string]string{
		"interim response, then a status line": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n",
		"interim response only":                "HTTP/1.1 103 Early Hints\r\nId: 1\r\n\r\n",
		"whole head, no body":                  "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\n",
		"whole head, short body":               "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\no",
		"chunked, no chunk":                    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"chunked, without its last chunk":      "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"chunked, within its trailer":          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrailer: x",
	} {
		t.Run(name, func(t *testing.T) {
			s := startRawServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, raw)
				return false
			})
			if body, failure := sendOne(t, newDialectForwarder(t), s); failure == nil {
				t.Errorf("got a response with body %q, want none", body)
			}
		})
	}
}

// The head stops and the connection stays open: the attempt ends with its deadline.
func TestHeadThatStopsEndsWithTheDeadline(t *testing.T) {
	s := startRawServer(t, func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r := newRequest("POST", "/", 3)
	_, failure := newDialectForwarder(t).Send(ctx, s.vm(), ordersMatch(false), r, strings.NewReader("kit"))
	if failure == nil || failure.Outcome != outcome.Unknown || failure.Reason != outcome.ReasonDeadline {
		t.Errorf("got %v, want an unknown outcome by the deadline", failure)
	}
}
