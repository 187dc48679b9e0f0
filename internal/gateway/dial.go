package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/quarantine"
)

// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which
// package syscall does not name.
const tcpUserTimeout = 0x12

// checkServer finds out whether a backend server's process has ended, by whether anybody listens
// at its address.
func checkServer(ctx context.Context, server fleet.VM) quarantine.ServerCheck {
	conn, err := dialServer(ctx, "tcp", server.Address)
	switch {
	case err == nil:
		// Nothing was sent on it.
		_ = conn.Close()
		return quarantine.Running
	case errors.Is(err, syscall.ECONNREFUSED):
		return quarantine.Ended
	default:
		return quarantine.Unknown
	}
}

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
