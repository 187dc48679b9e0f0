//go:build unix

package forward

import (
	"net"
	"syscall"
)

// peekConn checks the connection's receive buffer in the kernel without reading
// from it.
func peekConn(c net.Conn) peekResult {
	s, ok := c.(syscall.Conn)
	if !ok {
		return peekEmpty
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return peekClosed
	}
	result := peekEmpty
	// Control instead of Read, as the transport's reader holds the read lock.
	err = raw.Control(func(fd uintptr) {
		result = peekSocket(int(fd))
	})
	if err != nil {
		return peekClosed
	}
	return result
}

func peekSocket(fd int) peekResult {
	var buf [1]byte
	n, _, err := syscall.Recvfrom(fd, buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return peekEmpty
	case err != nil || n == 0:
		return peekClosed
	default:
		return peekData
	}
}
