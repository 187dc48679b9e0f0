package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// endedConn fails like a connection that this side has closed.
type endedConn struct {
	net.Conn
	ended atomic.Bool
}

func (c *endedConn) SetWriteDeadline(at time.Time) error {
	if c.ended.Load() {
		return net.ErrClosed
	}
	return c.Conn.SetWriteDeadline(at)
}

// A failed write closes the connection after its call may have been answered, so
// the next call can find it closed before the reader has noticed.
func TestCallOnAConnectionThatHasEndedIsSentOnAnother(t *testing.T) {
	_, _, address := startServer(t)
	var dialed []*endedConn
	p := NewPool(Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		c := &endedConn{Conn: conn}
		dialed = append(dialed, c)
		return c, err
	}})
	defer p.Close()
	body, reply := []byte("x"), 0
	if err := p.Call(t.Context(), address, "Echo.Size", &body, &reply); err != nil {
		t.Fatal(err)
	}
	dialed[0].ended.Store(true)
	if err := p.Call(t.Context(), address, "Echo.Size", &body, &reply); err != nil {
		t.Error(err)
	}
	if len(dialed) != 2 {
		t.Errorf("%d connections, want a second one", len(dialed))
	}
}
