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

// dialServer opens a connection to a backend server. TCP keep-alive and
// TCP_USER_TIMEOUT close the connection if the other side stops responding.
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
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return d.DialContext(ctx, network, address)
}
