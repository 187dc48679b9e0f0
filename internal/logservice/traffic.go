package logservice

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

// tcpKeepAlive detects a dead peer within about 8 s.
var tcpKeepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     3 * time.Second,
	Interval: time.Second,
	Count:    5,
}

// traffic counts the bytes sent and received on all connections of a client.
type traffic struct {
	sent, received atomic.Int64
}

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: tcpKeepAlive}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, t}, nil
}

// countedConn adds its bytes to the traffic of the client.
type countedConn struct {
	net.Conn
	traffic *traffic
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// SentBytes returns the bytes sent to the platform since the start.
func (c *Client) SentBytes() int64 { return c.traffic.sent.Load() }

// ReceivedBytes returns the bytes received from the platform since the start.
func (c *Client) ReceivedBytes() int64 { return c.traffic.received.Load() }
