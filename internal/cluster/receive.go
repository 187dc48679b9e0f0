package cluster

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// Receive reads datagrams until the socket is closed.
func (n *Node) Receive() error {
	// A smaller buffer only loses datagrams under load.
	_ = n.options.Conn.SetReadBuffer(socketBuffer)
	buf := make([]byte, maxDatagram)
	for {
		size, from, err := n.options.Conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.count("receive_errors")
			continue
		}
		n.receive(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buf[:size])
	}
}

func (n *Node) receive(from netip.AddrPort, data []byte) {
	if len(data) == 0 {
		return
	}
	switch data[0] {
	case kindBeat:
		b, err := decodeBeat(data[1:])
		if err != nil {
			n.count("malformed")
			return
		}
		n.hear(from, &b, time.Now())
	case kindHello:
		h, err := decodeHello(data[1:])
		if err != nil {
			n.count("malformed")
			return
		}
		n.meet(from, h, time.Now())
	case kindCollect:
		n.collect(from, data[1:])
	case kindDigest:
		n.digested(from, data[1:])
	default:
		n.count("malformed")
	}
}

// hear takes in a beat. A sender that is not known is asked who it is.
func (n *Node) hear(from netip.AddrPort, b *Heartbeat, now time.Time) {
	n.mu.Lock()
	r := n.rows[from]
	if r == nil || r.Incarnation != b.Incarnation {
		n.mu.Unlock()
		n.greetNow(from, now)
		return
	}
	if b.Sequence <= r.sequence {
		// It came another way than a later one: only what it carries is news.
		live := r.LiveMember
		live.Status = b.Status
		n.mu.Unlock()
		n.options.OnHeartbeat(live, b)
		return
	}
	ask := n.differs(b, now)
	news := now.Sub(r.LastSeen) > n.aliveFor(&r.LiveMember) || r.Ready != b.Ready || r.Leaving != b.Leaving
	r.sequence = b.Sequence
	r.Status = b.Status
	r.LastSeen = now
	live := r.LiveMember
	n.mu.Unlock()
	if ask {
		n.sendHello(from, true, true)
	}
	n.options.OnHeartbeat(live, b)
	if news {
		n.Refresh(now)
	}
}
