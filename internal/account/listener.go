package account

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// kernelBufferBytes is the size of the receive and of the send buffer of a connection in the kernel,
	// which doubles it. A round trip of 6 ms allows 10 MB/s with it.
	kernelBufferBytes = 64 << 10
	// Bounds of the pause after Accept found no descriptor.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// listener counts its connections.
type listener struct {
	net.Listener
	account *Account
	side    *side
}

// Listen opens a TCP listener of which at most that many connections are open at once; zero means any
// number. side is its name in metrics and log lines.
func (a *Account) Listen(side, address string, maxConnections int) (net.Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if err := boundKernelBuffers(inner); err != nil {
		_ = inner.Close() // the listener is given up
		return nil, err
	}
	return &listener{Listener: inner, account: a, side: a.newSide(side, maxConnections)}, nil
}

// boundKernelBuffers sets the buffers of a listener, which its connections inherit.
func boundKernelBuffers(l net.Listener) error {
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, kernelBufferBytes),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, kernelBufferBytes),
		)
	})
	return errors.Join(err, optionErr)
}

// Accept implements net.Listener. Connections beyond the limits are closed, the most expendable ones first.
func (l *listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
				return nil, err
			}
			l.account.makeRoom(l.side, reasonDescriptors)
			time.Sleep(pause)
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		reset(conn)
		_ = conn.Close() // the connection is refused in any case
	}
}

// admit returns the connection as one of the account, or nil if the side is full.
func (l *listener) admit(conn net.Conn) *Conn {
	a, s := l.account, l.side
	c := &Conn{Conn: conn, account: a, side: s}
	now := clock()
	c.stateSince.Store(int64(now))
	c.progress.restart(now)
	if !a.add(c) {
		a.makeRoom(s, reasonConnections)
		if !a.add(c) {
			a.reportRefused(s)
			return nil
		}
	}
	if over, _ := c.count(connBytes, false); over {
		// Other connections are not kept waiting for the memory.
		a.shedMemory()
	}
	return c
}

// add adds a connection unless its side is full.
func (a *Account) add(c *Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.side.max > 0 && len(c.side.conns) >= c.side.max {
		return false
	}
	c.side.conns[c] = struct{}{}
	c.side.open.Update(float64(len(c.side.conns)))
	return true
}
