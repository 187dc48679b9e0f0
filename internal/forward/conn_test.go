package forward

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
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
