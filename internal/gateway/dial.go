package gateway

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which
// package syscall does not name.
const tcpUserTimeout = 0x12

// dialServer opens a connection to a backend server. One whose other side has
// gone silent ends by itself.
func dialServer(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: serverDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    2,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var option error
			err := c.Control(func(fd uintptr) {
				option = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return option
		},
	}
	return d.DialContext(ctx, network, address)
}
