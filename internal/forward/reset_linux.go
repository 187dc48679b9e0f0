package forward

import (
	"net"
	"syscall"
)

const (
	// tcpStateClose is the state of a socket whose connection was reset (TCP_CLOSE of the kernel).
	tcpStateClose = 7
	// tcpStateMask selects the state, the first byte of the information that TCP_INFO returns.
	tcpStateMask = 0xff
)

// isReset reports whether the connection was reset. After the end of a stream alone the socket
// stays open in the other direction.
func isReset(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	// Control instead of Read, as the transport's reader holds the read lock.
	_ = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		reset = err == nil && info&tcpStateMask == tcpStateClose
	})
	return reset
}
