package cluster

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

// Receive reads and handles datagrams until the socket is closed. It then returns nil.
func (n *Node) Receive() error {
	// An error is ignored, as a smaller buffer only loses datagrams under load.
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
	case kindHeartbeat:
		hb, err := decodeHeartbeat(data[1:])
		if err != nil {
			n.count("malformed")
			return
		}
		n.handleHeartbeat(from, &hb, time.Now())
	case kindHello:
		h, err := decodeHello(data[1:])
		if err != nil {
			n.count("malformed")
			return
		}
		n.handleHello(from, h, time.Now())
	case kindRelay:
		n.relay(from, data[1:])
	case kindBatch:
		n.handleBatch(from, data[1:])
	case kindQuestion:
		n.handleQuestion(from, data[1:])
	case kindAnswer:
		n.handleAnswer(from, data[1:])
	default:
		n.count("malformed")
	}
}

// handleHeartbeat updates the sender's record and delivers the heartbeat to
// OnHeartbeat. A sender that is not known is asked for a hello instead.
func (n *Node) handleHeartbeat(from netip.AddrPort, hb *Heartbeat, now time.Time) {
	n.mu.Lock()
	m := n.members[from]
	if m == nil || m.Incarnation != hb.Incarnation {
		n.mu.Unlock()
		n.requestHello(from, now)
		return
	}
	if !hb.Direct {
		m.lastRegular = now
	}
	if hb.Sequence <= m.sequence {
		// A later heartbeat has arrived first by another path. The reports of this one
		// are still new, but the record of the member stays unchanged.
		live := m.LiveMember
		live.Status = hb.Status
		n.mu.Unlock()
		n.options.OnHeartbeat(live, hb)
		return
	}
	syncDue := n.needsSync(hb, now)
	returned := n.isSilent(m, now)
	if returned {
		n.noteReturn(now.Sub(m.LastSeen))
	}
	stateChanged := returned || m.Ready != hb.Ready || m.Leaving != hb.Leaving
	m.sequence = hb.Sequence
	m.Status = hb.Status
	m.LastSeen = now
	live := m.LiveMember
	large := len(n.members) > maxFullMesh
	n.mu.Unlock()
	if syncDue {
		n.sendSync(from)
	}
	n.options.OnHeartbeat(live, hb)
	// See handleHello for large clusters.
	if stateChanged && !large {
		n.Refresh(now)
	}
}
