package forward

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
)

// pipeConn returns a counted connection and the server's end of it.
func pipeConn(t *testing.T) (*conn, net.Conn) {
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	return newConn(near), far
}

// A Write that has begun may still reach the server after the attempt has failed.
func TestWriteInProgressIsNotNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeConn(t)
		transfer := c.bind(false)
		go func() { _, _ = c.Write([]byte("POST")) }() // nobody reads: it stays in Write
		synctest.Wait()
		if got := c.seal(transfer); got == 0 {
			t.Error("a write in progress counted as nothing written")
		}
		c.Close()
		synctest.Wait()
	})
}

func TestNothingIsWrittenAfterTheSeal(t *testing.T) {
	c, far := pipeConn(t)
	go func() { _, _ = io.Copy(io.Discard, far) }()
	transfer := c.bind(false)
	if got := c.seal(transfer); got != 0 {
		t.Errorf("%d bytes counted", got)
	}
	if n, err := c.Write([]byte("POST")); n != 0 || !errors.Is(err, errSealed) {
		t.Errorf("wrote %d bytes, %v", n, err)
	}
}

// The transport's reader is not back in Read while its buffer holds surplus bytes.
func TestReuseWaitsForTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeConn(t)
		bound := false
		go func() { c.bind(true); bound = true }()
		synctest.Wait()
		if bound {
			t.Error("the connection was reused while its reader may hold surplus bytes")
		}
		go func() { _, _ = c.Read(make([]byte, 1)) }()
		synctest.Wait()
		if !bound {
			t.Error("the connection is not reused though its reader waits")
		}
		c.Close()
		synctest.Wait()
	})
}

func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, far := pipeConn(t)
		go func() { _, _ = far.Write([]byte("HTTP/1.1 200 OK")) }()
		if n, err := c.Read(make([]byte, 64)); n != 0 || !errors.Is(err, errUnsolicited) {
			t.Errorf("read %d bytes, %v", n, err)
		}
		c.bind(false)
		if _, err := c.Write([]byte("POST")); !errors.Is(err, errSealed) {
			t.Errorf("a request was written after unsolicited bytes: %v", err)
		}
	})
}

// What waits in the kernel decides before a request is written on a reused connection.
func TestReuseLooksIntoTheKernel(t *testing.T) {
	for _, seen := range []peekResult{peekData, peekClosed} {
		c, far := pipeConn(t)
		go func() { _, _ = io.Copy(io.Discard, far) }()
		c.peek = func(net.Conn) peekResult { return seen }
		c.reading = true
		c.bind(true)
		if n, err := c.Write([]byte("POST")); n != 0 || !errors.Is(err, errSealed) {
			t.Errorf("peek %d: wrote %d bytes, %v", seen, n, err)
		}
	}
}
