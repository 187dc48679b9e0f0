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
