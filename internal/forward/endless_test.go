package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// endless writes the start and then the filler again and again until the connection is
// closed, and reports that on closed. It answers one request only, and counts the requests and
// what the kernel took.
type endless struct {
	start, filler string
	requests      atomic.Int32
	written       atomic.Int64
	closed        chan struct{}
}

func (e *endless) handle(_ int, _ *http.Request, c net.Conn) bool {
	if e.requests.Add(1) > 1 {
		return false
	}
	defer close(e.closed)
	if _, err := io.WriteString(c, e.start); err != nil {
		return false
	}
	block := strings.Repeat(e.filler, 1+4096/len(e.filler))
	for {
		n, err := io.WriteString(c, block)
		e.written.Add(int64(n))
		if err != nil {
			return false
		}
	}
}

// endlessAnswers are answers of servers in trouble that do not end until the caller closes
// the connection.
var endlessAnswers = []struct{ name, start, filler string }{
	{"status line", "HTTP/1.1 200 ", "a"},
	{"no protocol", "", "\x00\xff"},
	{"header line", "HTTP/1.1 200 OK\r\nX-Fill: ", "a"},
	{"headers", "HTTP/1.1 200 OK\r\n", "X-Fill: a\r\n"},
	{"interim answers", "", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"},
	{"chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	{"chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=", "a"},
	{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	{"trailer line", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Fill: ", "a"},
	{"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: a\r\n"},
	{"body past its length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "a"},
	{"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "a"},
}

// Bytes that are no answer may come without end. The time, the memory and the bytes that
// they take are bounded, the connection is closed and never used again, and a request to
// another server is not held up.
func TestEndlessAnswers(t *testing.T) {
	const (
		deadline = 2 * time.Second
		// Small chunks take up to three times the bytes of their data, and the kernel's
		// buffers on both sides some megabytes.
		maxWritten = 3*maxUnknownLengthBytes + 16<<20
		maxHeap    = 8 << 20
	)
	for _, answer := range endlessAnswers {
		for _, buffered := range []int64{0, 256 << 10} {
			t.Run(answer.name, func(t *testing.T) {
				e := &endless{start: answer.start, filler: answer.filler, closed: make(chan struct{})}
				bad, good := startRawServer(t, e.handle), startRawServer(t, respondWith(okResponse))
				var dialed openConns
				f := New(Options{Dial: dialed.dial, MaxBufferedResponseBytes: buffered, CorrelatedResponses: buffered > 0})
				defer f.Close()
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				resp, failure := f.Send(ctx, bad.vm(), ordersMatch(false), newRequest("GET", "/endless", 0), nil)
				complete := false
				if failure == nil {
					_, err := io.Copy(io.Discard, resp.Body)
					complete = err == nil
					_ = resp.Body.Close()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				if complete && answer.name != "body past its length" {
					t.Error("an answer without end was taken as complete")
				}
				if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > maxHeap {
					t.Errorf("%d B of heap stay in use, want at most %d", grown, maxHeap)
				}
				select {
				case <-e.closed:
				case <-time.After(deadline):
					t.Error("the connection is still open after the end of the call")
				}
				if n := e.requests.Load(); n > 1 {
					t.Errorf("the server got the request %d times", n)
				}
				if n := e.written.Load(); n > maxWritten {
					t.Errorf("the server got rid of %d B, want at most %d", n, maxWritten)
				}
				if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
					t.Error(ctx.Err())
				}
				ctxGood, cancelGood := context.WithTimeout(t.Context(), closeTimeout)
				defer cancelGood()
				if resp, failure := f.Send(ctxGood, good.vm(), ordersMatch(false), newRequest("GET", "/", 0), nil); failure != nil {
					t.Errorf("a request to another server failed: %v", failure)
				} else {
					_ = resp.Body.Close()
				}
				f.Close()
				if n := dialed.waitUntilClosed(deadline); n > 0 {
					t.Errorf("the forwarder left %d connections open", n)
				}
			})
		}
	}
}

// Guards against heads of many short lines, which take more than ten times their bytes in memory: with
// hundreds of requests at servers in trouble they would exceed the memory of a small VM.
func TestHeadOfManyShortLinesIsRefused(t *testing.T) {
	for _, c := range []struct {
		lines int
		taken bool
	}{{maxResponseHeaderLines / 2, true}, {2 * maxResponseHeaderLines, false}} {
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\nContent-Length: 2048\r\n")
		for i := range c.lines {
			fmt.Fprintf(&head, "%x:\r\n", i)
		}
		// The lines of the body do not count.
		server := startRawServer(t, respondWith(head.String()+"\r\n"+strings.Repeat("\n", 2048)))
		f := New(Options{CorrelatedResponses: true})
		resp, failure := f.Send(t.Context(), server.vm(), ordersMatch(false), newRequest("GET", "/", 0), nil)
		if (failure == nil) != c.taken {
			t.Errorf("head of %d lines: failure %v, want the answer taken: %v", c.lines, failure, c.taken)
		}
		if failure == nil {
			if n, err := io.Copy(io.Discard, resp.Body); n != 2048 || err != nil {
				t.Errorf("body of %d B, error %v", n, err)
			}
			_ = resp.Body.Close()
		}
		f.Close()
	}
}

// Guards against a connection and a slot that stay taken by a server that sends a head so slowly that
// it does not end: the call ends with its time, or when it is abandoned, and closes the connection.
func TestSlowEndlessHeadEndsWithItsCall(t *testing.T) {
	const (
		callTime = 300 * time.Millisecond
		pause    = 10 * time.Millisecond
	)
	for _, c := range []struct {
		name      string
		bodySize  int64
		abandoned bool
	}{{"deadline", 0, false}, {"abandoned", 0, true}, {"while an upload is sent", 64 << 20, false}} {
		t.Run(c.name, func(t *testing.T) {
			closed := make(chan struct{})
			server := startRawServer(t, func(_ int, _ *http.Request, conn net.Conn) bool {
				defer close(closed)
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Fill: ")
				for err == nil {
					time.Sleep(pause)
					_, err = io.WriteString(conn, "a")
				}
				return false
			})
			var dialed openConns
			f := New(Options{Dial: dialed.dial, CorrelatedResponses: true, DisableExpectContinue: true})
			defer f.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callTime)
			if c.abandoned {
				ctx, cancel = context.WithCancel(t.Context())
				time.AfterFunc(callTime, cancel)
			}
			defer cancel()
			request := newRequest("POST", "/slow", c.bodySize)
			began := time.Now()
			_, failure := f.Send(ctx, server.vm(), ordersMatch(false), request, io.LimitReader(zeros{}, c.bodySize))
			if failure == nil {
				t.Error("a head without end was taken as complete")
			}
			if took := time.Since(began); took > callTime+closeTimeout/2 {
				t.Errorf("the call took %v, want about %v", took, callTime)
			}
			select {
			case <-closed:
			case <-time.After(closeTimeout):
				t.Error("the connection is still open after the end of the call")
			}
			if n := dialed.waitUntilClosed(closeTimeout); n > 0 {
				t.Errorf("the forwarder left %d connections open", n)
			}
		})
	}
}
