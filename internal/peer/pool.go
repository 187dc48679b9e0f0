package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// dialTimeout bounds dialing one connection.
	dialTimeout = time.Second
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = 3 * time.Second
	// maxPendingPerPeer bounds the pending calls to one address; the server reads no
	// more from one connection.
	maxPendingPerPeer = maxCallsPerConn
)

var (
	errPoolClosed = errors.New("client pool is closed")
	errBusy       = errors.New("too many pending calls to this address")
)

// Options are the settings of a Pool.
type Options struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxMessageBytes is the size of the largest reply that is received, in bytes; a peer that
	// sends a larger one is disconnected. Zero means the constant MaxMessageBytes.
	MaxMessageBytes uint64
	// ReuseAge is the idle time up to which a connection carries a further call; an older one is
	// replaced, as it may have died without notice, and the call would wait for its deadline.
	// Zero means any age.
	ReuseAge time.Duration
}

// Pool keeps one connection for each address that is called. It implements
// Client and is safe for concurrent use.
//
// A call that times out retires its connection: pending calls on it may still get
// a reply, new calls open another connection. So a connection that died in a
// network partition is not reused, and the timeout of one call fails no other call.
type Pool struct {
	dial       func(ctx context.Context, address string) (net.Conn, error)
	maxMessage uint64
	reuseAge   time.Duration
	traffic    Traffic

	mu     sync.Mutex // guards the fields below and those of each poolConn
	conns  map[string]*poolConn
	closed bool
}

var _ Client = (*Pool)(nil)

// poolConn is one connection; the Pool's lock guards its fields.
type poolConn struct {
	ready    chan struct{} // closed when the dial has succeeded or failed
	client   *rpc.Client   // nil after a failed dial
	err      error         // of a failed dial
	pending  int
	retired  bool
	lastUsed time.Time
}

// NewPool returns a pool without connections.
func NewPool(opts Options) *Pool {
	if opts.Dial == nil {
		opts.Dial = dialTCP
	}
	if opts.MaxMessageBytes == 0 {
		opts.MaxMessageBytes = MaxMessageBytes
	}
	return &Pool{dial: opts.Dial, maxMessage: opts.MaxMessageBytes, reuseAge: opts.ReuseAge, conns: map[string]*poolConn{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Traffic returns the byte counts of all connections.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Close closes all connections; pending calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, c := range p.conns {
		delete(p.conns, address)
		c.retired = true
		if c.client != nil {
			c.client.Close()
		}
	}
}

// Call implements Client.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	err := p.tryCall(ctx, address, method, args, reply)
	if errors.Is(err, errStale) {
		err = p.tryCall(ctx, address, method, args, reply)
	}
	return err
}

// errStale reports that an idle connection was already closed before the call, so
// that nothing of the call was sent.
var errStale = errors.New("idle connection was already closed")

// tryCall makes one attempt at the call. Its error wraps errStale if the call can be
// retried on a new connection.
func (p *Pool) tryCall(ctx context.Context, address, method string, args, reply any) error {
	c, err := p.acquire(ctx, address)
	if err != nil {
		return &UnreachableError{Address: address, Err: err}
	}
	done := make(chan *rpc.Call, 1)
	go c.client.Go(method, args, reply, done) // a write may block past the deadline
	select {
	case call := <-done:
		return p.finish(address, c, call.Error)
	case <-ctx.Done():
		p.release(address, c, true)
		return &UnreachableError{Address: address, Sent: true, Err: ctx.Err()}
	}
}

// finish releases the connection of a finished call and returns the call's error as
// *RemoteError or *UnreachableError.
func (p *Pool) finish(address string, c *poolConn, err error) error {
	var remote rpc.ServerError
	switch {
	case err == nil:
		p.release(address, c, false)
		return nil
	case errors.As(err, &remote):
		p.release(address, c, false)
		return &RemoteError{Address: address, Message: string(remote)}
	}
	closed := p.release(address, c, true)
	if errors.Is(err, rpc.ErrShutdown) && !closed {
		return &UnreachableError{Address: address, Err: errStale}
	}
	return &UnreachableError{Address: address, Sent: true, Err: err}
}

// acquire returns a connection to the address and counts the call as pending.
func (p *Pool) acquire(ctx context.Context, address string) (*poolConn, error) {
	c, isNew, err := p.reserve(address)
	if err != nil {
		return nil, err
	}
	if isNew {
		go p.open(address, c)
	}
	select {
	case <-c.ready:
	case <-ctx.Done():
		p.release(address, c, false)
		return nil, ctx.Err()
	}
	if c.client == nil {
		p.release(address, c, true)
		return nil, c.err
	}
	return c, nil
}

// reserve returns the connection to the address, or a new one that is still to be
// opened, and counts the call as pending.
func (p *Pool) reserve(address string) (c *poolConn, isNew bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, errPoolClosed
	}
	c = p.conns[address]
	if c != nil && p.isTooOld(c) {
		p.remove(address, c)
		c = nil
	}
	if c == nil {
		p.closeIdle()
		c = &poolConn{ready: make(chan struct{})}
		p.conns[address] = c
		isNew = true
	}
	if c.pending >= maxPendingPerPeer {
		return nil, false, errBusy
	}
	c.pending++
	return c, isNew, nil
}

// open dials and does the handshake. It does not use the context of the call that
// requested the connection, as other calls may wait for it too.
func (p *Pool) open(address string, c *poolConn) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err == nil {
		if err = handshake(conn); err != nil {
			conn.Close()
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && p.closed {
		conn.Close()
		err = errPoolClosed
	}
	if err == nil {
		codec := &clientCodec{newGobConn(conn, &p.traffic)}
		codec.maxMessage = p.maxMessage
		c.client = rpc.NewClientWithCodec(codec)
	}
	c.err = err
	close(c.ready)
	p.closeIfUnused(address, c)
}

// release counts the call as no longer pending, retires the connection if asked to
// and reports whether the pool was closed.
func (p *Pool) release(address string, c *poolConn, retire bool) (closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.pending--
	c.lastUsed = time.Now()
	if retire {
		c.retired = true
		if p.conns[address] == c {
			delete(p.conns, address)
		}
	}
	p.closeIfUnused(address, c)
	return p.closed
}

// closeIfUnused closes a retired connection without pending calls; the caller holds
// mu.
func (p *Pool) closeIfUnused(address string, c *poolConn) {
	if !c.retired || c.pending > 0 || c.client == nil {
		return
	}
	c.client.Close()
}

// closeIdle closes the connections that had no call for half of idleTimeout; the
// caller holds mu.
func (p *Pool) closeIdle() {
	for address, c := range p.conns {
		if c.pending == 0 && time.Since(c.lastUsed) > idleTimeout/2 {
			p.remove(address, c)
		}
	}
}

// isTooOld reports whether the connection was idle for too long to carry another call; the caller
// holds mu.
func (p *Pool) isTooOld(c *poolConn) bool {
	return p.reuseAge > 0 && c.pending == 0 && time.Since(c.lastUsed) > p.reuseAge
}

// remove retires a connection without pending calls and closes it; the caller holds mu.
func (p *Pool) remove(address string, c *poolConn) {
	delete(p.conns, address)
	c.retired = true
	p.closeIfUnused(address, c)
}
