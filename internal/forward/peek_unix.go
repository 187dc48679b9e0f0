//go:build unix

package forward

import (
	"net"
	"syscall"
)

// peekConn looks at what the kernel holds for the connection without taking it.
func peekConn(c net.Conn) peekResult {
	s, ok := c.(syscall.Conn)
	if !ok {
		return peekQuiet
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return peekClosed
	}
	result := peekQuiet
	// Control and not Read: the transport's reader holds the read lock.
	err = raw.Control(func(fd uintptr) {
		result = peekSocket(int(fd))
	})
	if err != nil {
		return peekClosed
	}
	return result
}

func peekSocket(fd int) peekResult {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return peekQuiet
	case err != nil || n == 0:
		return peekClosed
	default:
		return peekData
	}
}
