package forward

import (
	"errors"
	"net"
	"sync"
)

// Errors of a connection that refuses to carry a request.
var (
	errSealed      = errors.New("connection takes no further bytes")
	errUnsolicited = errors.New("server sent bytes that no request asked for")
	errRepeat      = errors.New("transport tried to send the request a second time")
)

// connState says what the bytes on a connection belong to.
type connState int

const (
	// connIdle: no request; every byte read is unsolicited.
	connIdle connState = iota
	// connBound: given to a request that has not written yet.
	connBound
	// connActive: the request's bytes are being written and its answer read.
	connActive
)

// conn counts what is written for each request, and refuses to carry a request
// where an earlier answer left bytes behind.
//
// net/http's Transport reads in one goroutine and writes in another; mu guards
// every field below it and is never held during a system call that can block.
type conn struct {
	net.Conn
	peek func(net.Conn) peekResult

	mu      sync.Mutex
	changed sync.Cond
	state   connState
	current *transfer // the request that holds the connection, or held it last
	reading bool      // the transport's reader waits in Read, so its buffer is empty
	sealed  bool      // no further Write may start
	head    headScanner
}

// transfer is one request's use of a connection, guarded by the connection's mu.
type transfer struct {
	written int64 // bytes handed to the kernel
	writing bool  // a Write is in progress
}

// count is the bytes that may have reached the server: a Write in progress
// counts as one more.
func (t *transfer) count() int64 {
	if t.writing {
		return t.written + 1
	}
	return t.written
}

func newConn(c net.Conn) *conn {
	w := &conn{Conn: c, peek: peekConn}
	w.changed.L = &w.mu
	return w
}

// bind gives the connection to a request.
// On a reused connection it first waits until the transport's reader is back in
// Read: the transport closes a connection whose buffer holds surplus bytes, and
// until then a request could be answered by them.
func (c *conn) bind(reused bool) *transfer {
	c.mu.Lock()
	defer c.mu.Unlock()
	for reused && !c.reading && !c.sealed {
		c.changed.Wait()
	}
	c.current = &transfer{}
	c.state = connBound
	c.head = headScanner{}
	if reused && !c.sealed && c.peek(c.Conn) != peekQuiet {
		c.sealed = true
	}
	return c.current
}

// release marks the connection idle unless another request holds it already.
func (c *conn) release(t *transfer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.state = connIdle
	}
}

// seal ends all writing for the request and returns how many of its bytes may
// have reached the server. A connection that another request holds already,
// because the answer came before the cancellation, is left alone.
func (c *conn) seal(t *transfer) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.sealed = true
		c.changed.Broadcast()
	}
	return t.count()
}

// closeFor closes the connection unless another request holds it already.
func (c *conn) closeFor(t *transfer) {
	c.mu.Lock()
	mine := c.current == t
	c.mu.Unlock()
	if mine {
		_ = c.Close()
	}
}

// surplus reports whether the server sent more than the answer's body of that length.
func (c *conn) surplus(t *transfer, length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != t {
		return false
	}
	if c.head.done && c.head.body > length {
		return true
	}
	return c.peek(c.Conn) == peekData
}

// Write hands bytes to the kernel and counts those taken.
func (c *conn) Write(p []byte) (int, error) {
	t, ok := c.startWrite()
	if !ok {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	t.writing = false
	t.written += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *conn) startWrite() (*transfer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed || c.state == connIdle {
		return nil, false
	}
	c.state = connActive
	c.current.writing = true
	return c.current, true
}

// Read refuses bytes that arrive while no request has been written.
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
		c.sealed = true
		c.changed.Broadcast()
		return 0, errUnsolicited
	}
	c.head.feed(p[:n])
	return n, err
}

// Close ends the connection and every wait on it.
func (c *conn) Close() error {
	c.mu.Lock()
	c.sealed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}
