// Package memnet carries datagrams between cluster nodes in memory, so that tests can run a cluster
// in virtual time and cut its links.
package memnet

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// linkDelay is the time that a datagram takes.
	linkDelay = time.Millisecond
	// receiveBuffer is the number of datagrams that wait for a receiver; further ones are lost.
	receiveBuffer = 1 << 14
)

// Network carries datagrams between its sockets. It is safe for concurrent use.
type Network struct {
	mu      sync.Mutex // guards the fields below
	sockets map[netip.AddrPort]*Socket
	drop    func(from, to netip.AddrPort) bool
	sent    map[byte]Traffic
}

// Traffic counts datagrams of a kind, which is their first byte.
type Traffic struct {
	// Datagrams is their number, Bytes their size without the headers of lower layers.
	Datagrams, Bytes int
}

// New returns a network without sockets that loses no datagram.
func New() *Network {
	return &Network{sockets: map[netip.AddrPort]*Socket{}, sent: map[byte]Traffic{}}
}

// SetDrop sets what decides whether a datagram is lost; nil loses none. It must not call the network.
func (w *Network) SetDrop(drop func(from, to netip.AddrPort) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop = drop
}

// Sent returns the datagrams of a kind that were sent so far, also those that were lost.
func (w *Network) Sent(kind byte) Traffic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent[kind]
}

// Listen returns a socket at the address. It takes the place of an earlier one there.
func (w *Network) Listen(address netip.AddrPort) *Socket {
	s := &Socket{network: w, address: address, packets: make(chan packet, receiveBuffer), closed: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sockets[address] = s
	return s
}

type packet struct {
	data    []byte
	from    netip.AddrPort
	arrival time.Time
}

// Socket is one node's end of a network. It implements cluster.PacketConn.
type Socket struct {
	network *Network
	address netip.AddrPort
	packets chan packet
	closed  chan struct{}
	once    sync.Once
	// frozenUntil is when the process runs again, in nanoseconds since the Unix epoch.
	frozenUntil atomic.Int64
}

// Freeze makes reads and writes wait for that time, as if the process did not run.
func (s *Socket) Freeze(length time.Duration) {
	s.frozenUntil.Store(time.Now().Add(length).UnixNano())
}

func (s *Socket) awaitRun() { time.Sleep(time.Until(time.Unix(0, s.frozenUntil.Load()))) }

// WriteToUDPAddrPort implements cluster.PacketConn. It never fails.
func (s *Socket) WriteToUDPAddrPort(data []byte, to netip.AddrPort) (int, error) {
	s.awaitRun()
	w := s.network
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := w.sent[data[0]]
	w.sent[data[0]] = Traffic{sent.Datagrams + 1, sent.Bytes + len(data)}
	target := w.sockets[to]
	if target == nil || w.drop != nil && w.drop(s.address, to) {
		return len(data), nil
	}
	select {
	case target.packets <- packet{append([]byte(nil), data...), s.address, time.Now().Add(linkDelay)}:
	default:
	}
	return len(data), nil
}

// ReadFromUDPAddrPort implements cluster.PacketConn. It fails with net.ErrClosed after Close.
func (s *Socket) ReadFromUDPAddrPort(buf []byte) (int, netip.AddrPort, error) {
	select {
	case <-s.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	case p := <-s.packets:
		time.Sleep(time.Until(p.arrival))
		s.awaitRun()
		return copy(buf, p.data), p.from, nil
	}
}

// SetReadBuffer implements cluster.PacketConn and does nothing.
func (s *Socket) SetReadBuffer(int) error { return nil }

// Close implements cluster.PacketConn.
func (s *Socket) Close() error {
	s.once.Do(func() {
		close(s.closed)
		s.network.mu.Lock()
		defer s.network.mu.Unlock()
		if s.network.sockets[s.address] == s {
			delete(s.network.sockets, s.address)
		}
	})
	return nil
}
