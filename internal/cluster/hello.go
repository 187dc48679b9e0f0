package cluster

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// AddSeeds adds datagram addresses at which other members may be reached. Known
// seeds and this node's own address are ignored.
func (n *Node) AddSeeds(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if _, known := n.seeds[a]; !known && a != n.options.Self.DatagramAddress {
			n.seeds[a] = time.Time{}
		}
	}
}

// needsSync reports whether the sender sees a different set of members than this
// node and must be asked for its members now. The caller holds n.mu.
func (n *Node) needsSync(hb *Heartbeat, now time.Time) bool {
	if hb.MembersHash == n.View().liveHash {
		n.syncBackoff = helloInterval
		return false
	}
	if now.Sub(n.lastChange) < stableTime || now.Sub(n.lastSync) < n.syncBackoff {
		return false
	}
	n.lastSync = now
	n.syncBackoff = min(2*max(n.syncBackoff, helloInterval), maxSyncBackoff)
	return true
}

// requestHello asks an unknown sender for a hello, at most once per helloInterval
// and address.
func (n *Node) requestHello(to netip.AddrPort, now time.Time) {
	n.mu.Lock()
	last := n.seeds[to]
	due := now.Sub(last) > helloInterval
	if due {
		n.seeds[to] = now
	}
	n.mu.Unlock()
	if due {
		n.sendHello(to, true, false)
	}
}

// handleHello adds or updates the member that a hello describes and sends the
// replies that it requests.
func (n *Node) handleHello(from netip.AddrPort, h *hello, now time.Time) {
	if h.From.DatagramAddress != from || from == n.options.Self.DatagramAddress {
		n.count("malformed")
		return
	}
	n.mu.Lock()
	m := n.members[from]
	isNew := m == nil || m.Incarnation < h.From.Incarnation
	if isNew {
		n.members[from] = &memberState{LiveMember: newLiveMember(h.From, Status{}, now)}
	}
	delete(n.seeds, from)
	for _, other := range h.Others {
		n.addSeed(other)
	}
	n.mu.Unlock()
	if h.WantHello || h.WantMembers {
		n.sendHello(from, false, false)
	}
	if h.WantMembers || isNew && h.WantHello {
		n.sendMembers(from)
	}
	if isNew {
		n.count("met")
		n.Refresh(now)
	}
}

// addSeed adds the address of a possible member that is not known yet. The caller
// holds n.mu.
func (n *Node) addSeed(address netip.AddrPort) {
	if address == n.options.Self.DatagramAddress || n.members[address] != nil {
		return
	}
	if _, known := n.seeds[address]; !known {
		n.seeds[address] = time.Time{}
	}
}

// sendHello sends a hello that describes this member. The flags request a hello in
// return and the members that the receiver sees live.
func (n *Node) sendHello(to netip.AddrPort, wantHello, wantMembers bool) {
	n.sendEncoded(to, &hello{From: n.options.Self, WantHello: wantHello, WantMembers: wantMembers})
}

// sendMembers sends the addresses of the live members, a random subset if there are
// more than maxOthers.
func (n *Node) sendMembers(to netip.AddrPort) {
	h := &hello{From: n.options.Self}
	for _, m := range n.View().Live {
		if m.VM != n.options.Self.VM && m.DatagramAddress != to {
			h.Others = append(h.Others, m.DatagramAddress)
		}
	}
	if len(h.Others) > maxOthers {
		rand.Shuffle(len(h.Others), func(i, j int) { h.Others[i], h.Others[j] = h.Others[j], h.Others[i] })
		h.Others = h.Others[:maxOthers]
	}
	n.sendEncoded(to, h)
}

func (n *Node) sendEncoded(to netip.AddrPort, h *hello) {
	data, err := h.encode()
	if err != nil {
		n.count("encode_errors")
		return
	}
	n.send(to, data)
}

// dueHellos returns the addresses to send a hello to now: seeds and silent members.
// It drops members that have been silent for longer than forgetAfter.
func (n *Node) dueHellos(now time.Time) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []netip.AddrPort
	for address, last := range n.seeds {
		if len(due) < maxHellos && now.Sub(last) > helloInterval {
			n.seeds[address] = now
			due = append(due, address)
		}
	}
	for address, m := range n.members {
		silent := now.Sub(m.LastSeen)
		if silent > forgetAfter {
			delete(n.members, address)
			continue
		}
		// The longer a member is silent, the less often a hello is sent to it.
		if silent > n.timeoutOf(&m.LiveMember) && len(due) < maxHellos && now.Sub(m.lastHello) > max(helloInterval, silent/4) {
			m.lastHello = now
			due = append(due, address)
		}
	}
	return due
}
