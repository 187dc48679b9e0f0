package forward

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Errors for which a connection refuses to carry a request.
var (
	errWritesStopped  = errors.New("writing on the connection was stopped")
	errUnsolicited    = errors.New("server sent bytes while no request was written")
	errTransportRetry = errors.New("transport tried to retry the request")
	errReset          = errors.New("server reset the connection while the request was written")

	errTooManyHeaderLines = fmt.Errorf("server sent more than %d header lines", maxResponseHeaderLines)
)

// connState is whether a request uses the connection and has started writing.
type connState int

const (
	// connIdle: no request; every byte read is unsolicited.
	connIdle connState = iota
	// connBound: assigned to a request that has not written yet.
	connBound
	// connActive: the request is being written and its response read.
	connActive
)

// conn counts the bytes written for each request, and refuses to carry a request
// if excess bytes followed an earlier response.
//
// net/http's Transport reads in one goroutine and writes in another; mu guards
// every field below it and is never held during a system call that can block.
type conn struct {
	net.Conn
	peek func(net.Conn) peekResult

	mu            sync.Mutex
	changed       sync.Cond
	state         connState
	current       *transfer // the request that uses the connection, or used it last
	reading       bool      // the transport's reader is blocked in Read, so its buffer is empty
	writesStopped bool      // no further Write may start
	header        headerScanner
	idleTimeout   time.Duration // how long the connection may be idle; zero means without bound
	idleSince     time.Time     // when the last response ended; zero while a request uses the connection
}

// transfer is one request's use of a connection, guarded by the connection's mu.
type transfer struct {
	written int64 // bytes handed to the kernel
	writing bool  // a Write is in progress
	failed  bool  // a Write has failed
}

// maxDelivered is zero only if no byte can have reached the server. A Write in
// progress counts as one byte.
func (t *transfer) maxDelivered() int64 {
	if t.writing {
		return t.written + 1
	}
	return t.written
}

func newConn(c net.Conn) *conn {
	wrapped := &conn{Conn: c, peek: peekConn}
	wrapped.changed.L = &wrapped.mu
	return wrapped
}

// bind assigns the connection to a request.
// On a reused connection it first waits until the transport's reader is back in
// Read: the transport closes a connection whose buffer holds excess bytes, but
// until it does, it could take them for the response to the next request.
func (c *conn) bind(reused bool) *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reused && !c.reading && !c.writesStopped {
		c.changed.Wait()
	}
	c.current = &transfer{}
	c.state = connBound
	c.header = headerScanner{}
	if reused && !c.writesStopped && c.peek(c.Conn) != peekEmpty {
		c.writesStopped = true
	}
	return c.current
}

// bindWithin is like bind, for a request that a connection may carry only if it was idle for
// less than maxAge, unless that is zero. It reports whether the connection can't be used.
func (c *conn) bindWithin(reused bool, maxAge time.Duration) (t *transfer, tooOld bool) {
	t = c.bind(reused)
	c.mu.Lock()
	defer c.mu.Unlock()
	if reused && !c.writesStopped {
		c.endIdle(maxAge)
	}
	return t, reused && c.writesStopped
}

// release marks the connection idle unless it is already bound to another request.
func (c *conn) release(t *transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.startIdle()
	}
}

// stopWrites prevents further writes for the request and returns its
// maxDelivered. A connection that is already bound to another request, because
// the response came before the cancellation, is left alone.
func (c *conn) stopWrites(t *transfer) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.writesStopped = true
		c.changed.Broadcast()
	}
	return t.maxDelivered()
}

// closeFor closes the connection unless it is already bound to another request.
func (c *conn) closeFor(t *transfer) {
	c.mu.Lock()
	bound := c.current == t
	c.mu.Unlock()
	if bound {
		_ = c.Close()
	}
}

// hasExcess reports whether bytes followed a response body of that length.
func (c *conn) hasExcess(t *transfer, length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != t {
		return false
	}
	if c.header.done && c.header.bodyBytes > length {
		return true
	}
	return c.peek(c.Conn) == peekData
}

// Write writes to the connection and counts the bytes that the kernel accepted.
func (c *conn) Write(p []byte) (int, error) {
	t, ok := c.startWrite()
	if !ok {
		return 0, errWritesStopped
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	t.writing = false
	t.failed = t.failed || err != nil
	t.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *conn) startWrite() (*transfer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writesStopped || c.state == connIdle {
		return nil, false
	}
	c.state = connActive
	c.current.writing = true
	return c.current, true
}

// Read fails on bytes that arrive before the current request has been written.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.changed.Broadcast()
	c.mu.Unlock()

	n, err := c.Conn.Read(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if n > 0 && c.state != connActive {
		c.writesStopped = true
		c.changed.Broadcast()
		return 0, errUnsolicited
	}
	c.header.feed(p[:n])
	if c.header.lines > maxResponseHeaderLines {
		return 0, errTooManyHeaderLines
	}
	if err == io.EOF && c.isResetDuringWrite() {
		err = errReset
	}
	return n, err
}

// isResetDuringWrite reports whether the end of the stream is that of a reset. The kernel reports a
// reset once: if a Write gets it, the next Read returns io.EOF, and a response without a length would
// look complete. The caller holds c.mu.
func (c *conn) isResetDuringWrite() bool {
	t := c.current
	return t != nil && (t.failed || t.writing && isReset(c.Conn))
}

// Close closes the connection and wakes a bind that waits for its reader.
func (c *conn) Close() error {
	c.mu.Lock()
	c.writesStopped = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
