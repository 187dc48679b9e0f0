package mesh

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// near reports whether each beat goes to the member directly.
func (n *Node) near(v *View, m *Live) bool {
	return len(v.Live) <= fullMeshMost || m.Zone == n.options.Self.Zone
}

// aliveFor is how long after its last beat the member counts as live.
func (n *Node) aliveFor(m *Live) time.Duration {
	if n.near(n.View(), m) {
		return aliveFor
	}
	return farAliveFor
}

// sendNear sends the parts of a beat to all members that are near.
func (n *Node) sendNear(parts [][]byte) {
	v := n.View()
	for i := range v.Live {
		m := &v.Live[i]
		if m.Datagrams == n.options.Self.Datagrams || !n.near(v, m) {
			continue
		}
		for _, part := range parts {
			n.send(m.Datagrams, part)
		}
	}
}

// sendFar sends the parts to one member of each other availability zone, which
// passes them on there. The members of a zone take turns, so one that has just
// died loses few beats.
func (n *Node) sendFar(parts [][]byte) {
	v := n.View()
	if len(v.Live) <= fullMeshMost {
		return
	}
	zones := map[string][]netip.AddrPort{}
	for _, m := range v.Live {
		if m.Zone != n.options.Self.Zone {
			zones[m.Zone] = append(zones[m.Zone], m.Datagrams)
		}
	}
	for _, members := range zones {
		to := members[n.beats/farEvery%len(members)]
		for _, part := range parts {
			n.send(to, append([]byte{kindRelay}, part...))
		}
	}
}

// relay takes in a beat from another zone and passes it on in this one.
func (n *Node) relay(from netip.AddrPort, part []byte) {
	if len(part) == 0 || part[0] != kindBeat {
		n.count("malformed")
		return
	}
	n.receive(from, part)
	data := appendAddress([]byte{kindRelayed}, from)
	data = append(data, part...)
	for _, m := range n.View().Live {
		if m.Zone == n.options.Self.Zone && m.Datagrams != n.options.Self.Datagrams {
			n.send(m.Datagrams, data)
		}
	}
}

// relayed takes in a beat that another member of this zone passed on.
func (n *Node) relayed(data []byte) {
	from, part, ok := cutAddress(data)
	if !ok || len(part) == 0 || part[0] != kindBeat {
		n.count("malformed")
		return
	}
	n.receive(from, part)
}

// addressBytes is an IPv4 address with its port.
const addressBytes = 6

func appendAddress(out []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap().As4()
	out = append(out, ip[:]...)
	return binary.BigEndian.AppendUint16(out, a.Port())
}

func cutAddress(data []byte) (netip.AddrPort, []byte, bool) {
	if len(data) < addressBytes {
		return netip.AddrPort{}, nil, false
	}
	ip := netip.AddrFrom4([4]byte(data[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[4:])), data[addressBytes:], true
}
