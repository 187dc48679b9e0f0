package cluster

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// AddSeeds adds addresses at which other members may be found.
func (n *Node) AddSeeds(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		if _, known := n.seeds[a]; !known && a != n.options.Self.DatagramAddress {
			n.seeds[a] = time.Time{}
		}
	}
}

// differs reports whether the sender sees other members than this one and is to
// be asked for them now. The lock is held.
func (n *Node) differs(b *Heartbeat, now time.Time) bool {
	if b.MembersHash == n.View().set {
		n.askPause = helloInterval
		return false
	}
	if now.Sub(n.changed) < settleTime || now.Sub(n.asked) < n.askPause {
		return false
	}
	n.asked = now
	n.askPause = min(2*max(n.askPause, helloInterval), longestAskPause)
	return true
}

// greetNow asks an unknown sender at once, but seldom for one address.
func (n *Node) greetNow(to netip.AddrPort, now time.Time) {
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

// meet takes in an introduction.
func (n *Node) meet(from netip.AddrPort, h *hello, now time.Time) {
	if h.From.DatagramAddress != from || from == n.options.Self.DatagramAddress {
		n.count("malformed")
		return
	}
	n.mu.Lock()
	r := n.rows[from]
	isNew := r == nil || r.Incarnation < h.From.Incarnation
	if isNew {
		n.rows[from] = &row{LiveMember: heardMember(h.From, Status{}, now)}
	}
	delete(n.seeds, from)
	for _, other := range h.Others {
		n.learn(other)
	}
	n.mu.Unlock()
	if h.Answer || h.Tell {
		n.sendHello(from, false, false)
	}
	if h.Tell || isNew && h.Answer {
		n.tell(from)
	}
	if isNew {
		n.count("met")
		n.Refresh(now)
	}
}

// learn notes where another member may be found. The lock is held.
func (n *Node) learn(address netip.AddrPort) {
	if address == n.options.Self.DatagramAddress || n.rows[address] != nil {
		return
	}
	if _, known := n.seeds[address]; !known {
		n.seeds[address] = time.Time{}
	}
}

// sendHello introduces this member, and asks for an introduction in return and
// for the members that the other one hears.
func (n *Node) sendHello(to netip.AddrPort, answer, tell bool) {
	n.sendEncoded(to, &hello{From: n.options.Self, Answer: answer, Tell: tell})
}

// tell names the members that this one hears, a random part of them where they
// are many.
func (n *Node) tell(to netip.AddrPort) {
	h := &hello{From: n.options.Self}
	for _, m := range n.View().Live {
		if m.VM != n.options.Self.VM && m.DatagramAddress != to {
			h.Others = append(h.Others, m.DatagramAddress)
		}
	}
	if len(h.Others) > mostOthers {
		rand.Shuffle(len(h.Others), func(i, j int) { h.Others[i], h.Others[j] = h.Others[j], h.Others[i] })
		h.Others = h.Others[:mostOthers]
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

// dueHellos are the addresses to greet now: unknown ones, and silent members.
func (n *Node) dueHellos(now time.Time) []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	var due []netip.AddrPort
	for address, last := range n.seeds {
		if len(due) < mostHellos && now.Sub(last) > helloInterval {
			n.seeds[address] = now
			due = append(due, address)
		}
	}
	for address, r := range n.rows {
		silent := now.Sub(r.LastSeen)
		if silent > rememberFor {
			delete(n.rows, address)
			continue
		}
		// The longer a member is silent, the less often it is greeted.
		if silent > n.aliveFor(&r.LiveMember) && len(due) < mostHellos && now.Sub(r.greeted) > max(helloInterval, silent/4) {
			r.greeted = now
			due = append(due, address)
		}
	}
	return due
}
