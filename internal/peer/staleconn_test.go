package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// closableConn fails like a locally closed connection once closed is set.
type closableConn struct {
	net.Conn
	closed atomic.Bool
}

func (c *closableConn) SetWriteDeadline(at time.Time) error {
	if c.closed.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetWriteDeadline(at)
}

// A failed write closes the connection, possibly after its call got a reply. The
// next call can then get the closed connection before the reader has noticed.
func TestCallOnAConnectionThatHasEndedIsSentOnAnother(t *testing.T) {
	_, _, address := startServer(t)
	var dialed []*closableConn
	p := NewPool(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		c := &closableConn{Conn: conn}
		dialed = append(dialed, c)
		return c, err
	}})
	defer p.Close()
	body, reply := []byte("x"), 0
	if err := p.Call(t.Context(), address, "Echo.Size", &body, &reply); err != nil {
		t.Fatal(err)
	}
	dialed[0].closed.Store(true)
	if err := p.Call(t.Context(), address, "Echo.Size", &body, &reply); err != nil {
		t.Error(err)
	}
	if len(dialed) != 2 {
		t.Errorf("got %d connections, want 2", len(dialed))
	}
}

// silentConn delivers nothing more once silent is set, in either direction and without an error.
type silentConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against calls that wait for their deadline on kept connections that died without notice:
// three such pulls in a row make a configuration late. One that was idle for longer than ReuseAge is
// replaced, and one that was not is used again.
func TestIdleConnectionThatDiedIsReplaced(t *testing.T) {
	const reuseAge = time.Hour
	_, _, address := startServer(t)
	var dialed []*silentConn
	p := NewPool(Options{ReuseAge: reuseAge, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		c := &silentConn{Conn: conn}
		dialed = append(dialed, c)
		return c, err
	}})
	defer p.Close()
	for _, step := range []struct {
		idle  time.Duration
		dies  bool
		conns int
	}{{0, false, 1}, {reuseAge / 2, false, 1}, {reuseAge + time.Second, true, 2}, {0, false, 2}, {2 * reuseAge, true, 3}} {
		if c := p.conns[address]; c != nil {
			c.lastUsed = time.Now().Add(-step.idle)
		}
		for _, c := range dialed {
			c.silent.Store(step.dies || c.silent.Load())
		}
		if got, err := twice(p, address, 21); err != nil || got != 42 || len(dialed) != step.conns {
			t.Errorf("idle for %v, dead %v: got %d, error %v, %d connections, want 42 and %d", step.idle, step.dies, got, err, len(dialed), step.conns)
		}
	}
}
