// Package loopback allocates addresses for the processes and servers that tests and
// the quick start run.
package loopback

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
)

// Allocated ports are below the kernel's ephemeral ports.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

var (
	mu   sync.Mutex // guards next
	next = firstPort
)

// ownIP returns a loopback address that no other running process gets from it. The kernel
// binds outgoing connections to 127.0.0.1, so they can't use its ports either. It is
// 127.0.0.1 where the system has no other loopback address.
var ownIP = sync.OnceValue(func() netip.Addr {
	// Linux has at most 2^22 process ids.
	pid := os.Getpid()
	own := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(own, 0).String())
	if err != nil {
		return netip.AddrFrom4([4]byte{127, 0, 0, 1})
	}
	l.Close()
	return own
})

// errNoPort is returned by Next when no port is left.
var errNoPort = errors.New("loopback: no port is left for another address")

// Next returns an address that is free for TCP and UDP, and that no other process gets
// from Next while this one runs. It returns each address at most once. It is safe for
// concurrent use.
func Next() (netip.AddrPort, error) {
	mu.Lock()
	defer mu.Unlock()
	for next < lastPort {
		address := netip.AddrPortFrom(ownIP(), uint16(next))
		next++
		if isFree(address) {
			return address, nil
		}
	}
	return netip.AddrPort{}, errNoPort
}

// Listen listens for TCP on a free port of this process's loopback address. Another process
// that still dials a port on which an earlier server listened on 127.0.0.1 does not reach it.
func Listen() (net.Listener, error) {
	return net.Listen("tcp", netip.AddrPortFrom(ownIP(), 0).String())
}

func isFree(address netip.AddrPort) bool {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return false
	}
	defer l.Close()
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return false
	}
	c.Close()
	return true
}
