package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// pipeConn returns a conn and the server's end of its pipe.
func pipeConn(t *testing.T) (*conn, net.Conn) {
	client, server := net.Pipe()
	t.Cleanup(func() { client.Close(); server.Close() })
	return newConn(client), server
}

// A Write in progress may still reach the server after the attempt has failed.
func TestWriteInProgressIsNotNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeConn(t)
		transfer := c.bind(false)
		go func() { _, _ = c.Write([]byte("POST")) }() // blocks, as nobody reads
		synctest.Wait()
		if got := c.stopWrites(transfer); got == 0 {
			t.Error("stopWrites returned 0 bytes during a write, want more")
		}
		c.Close()
		synctest.Wait()
	})
}

func TestNothingIsWrittenAfterTheSeal(t *testing.T) {
	c, server := pipeConn(t)
	go func() { _, _ = io.Copy(io.Discard, server) }()
	transfer := c.bind(false)
	if got := c.stopWrites(transfer); got != 0 {
		t.Errorf("stopWrites returned %d bytes before any write, want 0", got)
	}
	if n, err := c.Write([]byte("POST")); n != 0 || !errors.Is(err, errWritesStopped) {
		t.Errorf("Write returned %d bytes, error %v, want 0 bytes, errWritesStopped", n, err)
	}
}

// While the transport's buffer holds excess bytes, its reader is not back in Read,
// and the next request must not be bound: it could get these bytes as its response.
func TestReuseWaitsForTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeConn(t)
		bound := false
		go func() { c.bind(true); bound = true }()
		synctest.Wait()
		if bound {
			t.Error("bind returned before the reader was back in Read")
		}
		go func() { _, _ = c.Read(make([]byte, 1)) }()
		synctest.Wait()
		if !bound {
			t.Error("bind did not return although the reader is in Read")
		}
		c.Close()
		synctest.Wait()
	})
}

func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, server := pipeConn(t)
		go func() { _, _ = server.Write([]byte("HTTP/1.1 200 OK")) }()
		if n, err := c.Read(make([]byte, 64)); n != 0 || !errors.Is(err, errUnsolicited) {
			t.Errorf("Read returned %d bytes, error %v, want 0 bytes, errUnsolicited", n, err)
		}
		c.bind(false)
		if _, err := c.Write([]byte("POST")); !errors.Is(err, errWritesStopped) {
			t.Errorf("Write after unsolicited bytes: error %v, want errWritesStopped", err)
		}
	})
}

// A reused connection with received bytes or an end of stream in the kernel must
// not get another request.
func TestReuseLooksIntoTheKernel(t *testing.T) {
	for _, result := range []peekResult{peekData, peekClosed} {
		c, server := pipeConn(t)
		go func() { _, _ = io.Copy(io.Discard, server) }()
		c.peek = func(net.Conn) peekResult { return result }
		c.reading = true
		c.bind(true)
		if n, err := c.Write([]byte("POST")); n != 0 || !errors.Is(err, errWritesStopped) {
			t.Errorf("peek result %d: Write returned %d bytes, error %v, want 0 bytes, errWritesStopped", result, n, err)
		}
	}
}

// A dial may end after the attempt gave up on it, before or after Close. The server must not be
// left with a connection that carries no request and is in no pool.
func TestConnectionOpenedAfterTheDeadlineIsClosed(t *testing.T) {
	for name, closedFirst := range map[string]bool{"dial ends before Close": false, "dial ends after Close": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, server := net.Pipe()
				defer server.Close()
				opened := make(chan struct{})
				f := New(Options{Dial: func(context.Context, string, string) (net.Conn, error) {
					<-opened
					return client, nil
				}})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, failure := f.Send(ctx, fleet.VM{Name: "server-1", Address: "server-1:80"}, ordersMatch(false), newRequest("GET", "/", 0), nil)
				if failure == nil || failure.Outcome != outcome.NotRun || failure.Stage != StageDial {
					t.Errorf("got %v, want not run at stage dial", failure)
				}
				if closedFirst {
					f.Close()
				}
				close(opened)
				synctest.Wait()
				if !closedFirst {
					f.Close()
				}
				_ = server.SetReadDeadline(time.Now().Add(time.Second))
				if n, err := server.Read(make([]byte, 1)); n != 0 || err != io.EOF {
					t.Errorf("the server read %d bytes, error %v, want the end of the connection", n, err)
				}
			})
		})
	}
}
