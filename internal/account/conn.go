package account

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrShed means that the connection was shed, as a resource is used up.
var ErrShed = errors.New("the connection was shed")

const (
	// connBytes is the memory of a connection without a request: its goroutine, the read and the
	// write buffer and the structures of the server.
	connBytes = 20 << 10
	// lineBytes is the memory of a header field: its map entry, strings and slice, and those of the
	// request to the backend server.
	lineBytes = 400
	// maxLines bounds the lines of a head. 16,384 bytes have at most 5,461.
	maxLines = 8192
	// readBufferBytes is the size of the server's read buffer, in which a later head may be.
	readBufferBytes = 4 << 10
	// countedWriteBytes is the size from which a write is counted while it lasts. Smaller ones are in
	// the write buffer.
	countedWriteBytes = 4 << 10
	// maxPipelined bounds the requests in a row that the caller sent before it had the response to the
	// one before.
	maxPipelined = 64
	// lingerTime bounds how long a connection with too many of these is read before it is closed.
	lingerTime = 500 * time.Millisecond
	// waitedTime is from when a read for the next request shows that the caller waited for the response.
	waitedTime = time.Millisecond

	// maxMemoryWait bounds the wait for the memory of shed connections. It is looked at after each
	// memoryWaitInterval, and more is shed after each shedInterval.
	maxMemoryWait      = 500 * time.Millisecond
	memoryWaitInterval = time.Millisecond
	shedInterval       = 20 * time.Millisecond
	// largeHoldBytes is the size from which a holder waits although nothing is to be returned yet.
	largeHoldBytes = 64 << 10

	// progressInterval is the time in which a body must have come by minProgressBytes.
	progressInterval = time.Second
	minProgressBytes = 16 << 10
)

// state is what a connection does.
type state int32

const (
	stateHead    state = iota // from the connection or the first byte on, until the head is complete
	stateRequest              // a request is in progress, its body is not being read
	stateBody                 // a body or message is being read
	stateIdle                 // waits for the next request
)

// Body is a request body that is being read into memory.
type Body interface {
	// Size returns the bytes that the body holds and is expected to hold.
	Size() int64
	// Upload reports whether it is one of the large bodies.
	Upload() bool
	// Evict ends the reading of the body.
	Evict()
}

// Conn is an accepted connection that counts what it and its requests hold. Its methods are safe for
// concurrent use; those that count accept a nil Conn, which counts nothing.
type Conn struct {
	net.Conn
	account *Account
	side    *side
	closed  sync.Once

	state      atomic.Int32
	stateSince atomic.Int64 // as clock
	readSince  atomic.Int64 // begin of the read in progress, or 0
	writeSince atomic.Int64 // begin of the write in progress, or 0
	lingers    atomic.Bool  // what the caller still sends is read before the connection is closed
	progress   progress

	// The fields below belong to the goroutine that reads.
	http      bool
	head      headScanner
	carried   int  // lines in the read buffer that may belong to the next head
	reads     bool // whether anything was read since the last request ended
	deadlines int  // read deadlines set since then
	pipelined int  // requests in a row that were read with those before

	mu      sync.Mutex // guards the fields below
	held    int64      // counted in the account
	request int64      // the part of held that is returned when the request ends
	shed    bool
	body    Body
}

// progress tells how fast bytes come. The goroutine that reads writes it.
type progress struct {
	since    atomic.Int64 // begin of the interval, as clock
	received atomic.Int64 // bytes in it
	before   atomic.Int64 // bytes in the interval before, -1 if there was none
}

func (p *progress) restart(now time.Duration) {
	p.since.Store(int64(now))
	p.received.Store(0)
	p.before.Store(-1)
}

func (p *progress) add(n int, now time.Duration) {
	if now-time.Duration(p.since.Load()) >= progressInterval {
		p.before.Store(p.received.Load())
		p.since.Store(int64(now))
		p.received.Store(0)
	}
	p.received.Add(int64(n))
}

// slow reports whether less than minProgressBytes came in the last full interval.
func (p *progress) slow(now time.Duration) bool {
	if now-time.Duration(p.since.Load()) >= progressInterval {
		return p.received.Load() < minProgressBytes
	}
	before := p.before.Load()
	return before >= 0 && before < minProgressBytes
}

func (c *Conn) setState(s state) {
	if state(c.state.Load()) == s {
		return
	}
	now := clock()
	if s == stateBody {
		c.progress.restart(now)
	}
	c.stateSince.Store(int64(now))
	c.state.Store(int32(s))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	began := clock()
	c.readSince.Store(int64(began))
	n, err := c.Conn.Read(p)
	c.readSince.Store(0)
	if n > 0 {
		now := clock()
		c.progress.add(n, now)
		if c.http {
			if err := c.observe(p[:n], now-began); err != nil {
				return 0, err
			}
		}
	}
	return n, err
}

// observe counts what was read. Its error, io.EOF, ends the connection without a message of the server.
func (c *Conn) observe(p []byte, waited time.Duration) error {
	c.reads = true
	if state(c.state.Load()) == stateIdle {
		if waited >= waitedTime {
			c.pipelined = 0
		}
		c.beginHead()
	}
	if state(c.state.Load()) != stateHead {
		lines := countLines(p[max(0, len(p)-readBufferBytes):])
		if len(p) == 1 {
			// The server looks whether the caller is gone, and keeps its read buffer.
			lines = min(lines+c.carried, readBufferBytes)
		}
		c.carried = lines
		return nil
	}
	if c.head.done {
		// The server reads on, so what was taken for the end, such as an empty line before the
		// request, was not.
		c.head.done = false
		c.head.lines += c.carried
		if !c.holdRequest(int64(c.carried) * lineBytes) {
			return io.EOF
		}
	}
	before := c.head.lines
	rest := c.head.add(p)
	c.carried = countLines(rest)
	if c.head.lines > maxLines {
		return c.refuseHead()
	}
	if !c.holdRequest(int64(len(p)-len(rest)) + int64(c.head.lines-before)*lineBytes) {
		return io.EOF
	}
	return nil
}

// SetReadDeadline implements net.Conn. After a request, the server sets the deadline of the wait for the
// next one, and then, if its first bytes are in the read buffer already, that of its head.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.http && state(c.state.Load()) == stateIdle {
		if c.deadlines++; c.deadlines > 1 {
			c.beginHead()
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// beginHead begins the head of another request. Lines that are in the read buffer already count for it.
func (c *Conn) beginHead() {
	c.head = headScanner{lines: c.carried}
	c.holdRequest(int64(c.carried) * lineBytes)
	c.carried = 0
	c.setState(stateHead)
}

// refuseHead responds to a head with too many lines and ends the connection. Nothing of the request ran.
func (c *Conn) refuseHead() error {
	c.account.report(c.side, reasonFields)
	const response = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// The error is ignored: the caller may be gone, and the connection is closed in any case.
	_, _ = io.WriteString(c.Conn, response)
	return io.EOF
}

func countLines(p []byte) int { return bytes.Count(p, []byte{'\n'}) }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeSince.Store(int64(clock()))
	defer c.writeSince.Store(0)
	if len(p) <= countedWriteBytes {
		return c.Conn.Write(p)
	}
	if !c.Hold(int64(len(p))) {
		return 0, ErrShed
	}
	defer c.Release(int64(len(p)))
	return c.Conn.Write(p)
}

// CloseWrite closes the writing side, as net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The server calls it when the connection's last request has ended, also if
// it was shed.
func (c *Conn) Close() error {
	if c.lingers.CompareAndSwap(true, false) {
		go func() {
			c.linger()
			_ = c.end() // the connection is given up in any case
		}()
		return nil
	}
	return c.end()
}

// end closes the connection and returns what it holds.
func (c *Conn) end() error {
	err := c.closeSocket()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(c.held)
	c.shed = true
	return err
}

// linger reads what the caller still sends, for lingerTime at most. If it were unread, closing the connection
// would reset it, and the caller might lose responses.
func (c *Conn) linger() {
	c.setState(stateBody)
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The error tells that the caller has closed, or that the time is over.
	_, _ = io.Copy(io.Discard, c.Conn)
}

func (c *Conn) closeSocket() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.account.remove(c) })
	return err
}

// Hold counts n more bytes. It returns false if the connection is shed; they are not counted then.
func (c *Conn) Hold(n int64) bool {
	if c == nil {
		return true
	}
	return c.hold(n, false)
}

// holdRequest counts n more bytes until the end of the request.
func (c *Conn) holdRequest(n int64) bool { return c.hold(n, true) }

func (c *Conn) hold(n int64, ofRequest bool) bool {
	over, ok := c.count(n, ofRequest)
	if !over {
		return ok
	}
	return c.awaitMemory(n)
}

// count adds n bytes, unless the connection was shed, and reports whether the memory is exceeded.
func (c *Conn) count(n int64, ofRequest bool) (over, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed {
		return false, false
	}
	c.held += n
	if ofRequest {
		c.request += n
	}
	total := c.account.held.Add(n)
	limit := c.account.limits.MemoryBytes
	return limit > 0 && total > limit, true
}

// awaitMemory sheds the largest holders and waits, for maxMemoryWait at most, until their requests have
// returned their memory. A small holder does not wait if nothing is to be returned. It returns false if this
// connection was shed itself.
func (c *Conn) awaitMemory(n int64) bool {
	a := c.account
	began := clock()
	lastShed := began - shedInterval
	for !c.isShed() {
		now := clock()
		if a.held.Load() <= a.limits.MemoryBytes || now-began >= maxMemoryWait {
			return true
		}
		if now-lastShed >= shedInterval {
			// Others may have become stalled since the last time.
			a.shedMemory()
			lastShed = now
			continue
		}
		if n < largeHoldBytes && a.leaving.Load() == 0 {
			return true
		}
		time.Sleep(memoryWaitInterval)
	}
	return false
}

// Release returns n bytes that Hold counted.
func (c *Conn) Release(n int64) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release(min(n, c.held))
}

// release returns n bytes. c.mu must be held.
func (c *Conn) release(n int64) {
	c.held -= n
	c.account.held.Add(-n)
	if c.shed {
		c.account.leaving.Add(-n)
	}
}

// endRequest returns what the request held, and closes the connection if it was shed meanwhile.
func (c *Conn) endRequest() {
	c.mu.Lock()
	shed := c.shed
	c.release(min(c.request, c.held))
	c.request = 0
	c.mu.Unlock()
	c.reads, c.deadlines = false, 0
	c.setState(stateIdle)
	c.stateSince.Store(int64(clock()))
	if shed {
		// The server finds out with its next read.
		_ = c.Close()
	}
}

// BeginBody tells that a body is read into memory, until EndBody. It may be evicted meanwhile.
func (c *Conn) BeginBody(b Body) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.shed {
		c.body = b
	}
}

// EndBody ends BeginBody.
func (c *Conn) EndBody() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.body = nil
}

// BeginMessage counts a message of that many bytes that is to be read from the connection, until
// EndMessage. It returns false if the connection is shed.
func (c *Conn) BeginMessage(size int64) bool {
	if c == nil {
		return true
	}
	c.setState(stateBody)
	return c.holdRequest(size)
}

// EndMessage ends BeginMessage, or the handshake.
func (c *Conn) EndMessage() {
	if c != nil {
		c.endRequest()
	}
}

// RefuseMessage counts a connection that is closed for a message beyond the limits.
func (c *Conn) RefuseMessage() {
	if c != nil {
		c.account.report(c.side, reasonMessage)
	}
}

func (c *Conn) isShed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// mark makes the connection a shed one, which holds nothing more, and returns the body that is being
// read, if any. ok is false if the connection was shed or closed before.
func (c *Conn) mark() (body Body, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shed {
		return nil, false
	}
	c.shed = true
	c.account.leaving.Add(c.held)
	body, c.body = c.body, nil
	return body, true
}

// holding returns the bytes that the connection holds and the body that is being read, nil if none is.
func (c *Conn) holding() (int64, Body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held, c.body
}

// closeNow closes the connection with a reset, which frees the kernel's buffers.
func (c *Conn) closeNow() {
	reset(c.Conn)
	_ = c.closeSocket() // the connection is given up in any case
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only if the connection is closed
	}
}

// interrupt ends the read in progress, and later ones.
func (c *Conn) interrupt() {
	// It fails only if the connection is closed, which ends the read as well.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}
