package cluster

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Heartbeats go only to members that their sender sees live, so two members that have both
// become silent to each other need another way back. Each sends the other a hello now and then
// that asks for direct heartbeats. The receiver sends them for directPeriod, whether or not it
// sees the sender live, and asks for the sender's in turn if it does not. A hello alone changes
// no status: a member counts as live only where its heartbeats arrive, so a link that works in
// one direction only does not make a member alternate between live and silent.
//
// Direct heartbeats carry no reports. A member that hears another only by them, such as one that
// is cut off from the relays of its zone, asks again before the period ends.

const (
	// directPeriod is how long a member sends direct heartbeats after a hello that asks for
	// them, and directRenewal how often one that hears it only by these asks again.
	directPeriod  = 3 * time.Second
	directRenewal = directPeriod / 3
	// directInterval is the minimum time between two direct heartbeats to a member. Some may be
	// lost within livenessTimeout, the shortest timeout that the receiver may use.
	directInterval = livenessTimeout / 4
	// maxHelloInterval bounds the pause between two hellos to a silent member. With many silent
	// members it is longer, helloIntervalShare for each.
	maxHelloInterval   = time.Second
	helloIntervalShare = 250 * time.Millisecond
)

// memberState is the local record of a known member.
type memberState struct {
	LiveMember
	sequence  uint64
	lastHello time.Time // when the last hello was sent to it
	// lastRegular is the arrival of its last heartbeat that was not direct.
	lastRegular time.Time
	// reportedAt is the latest time at which it sent a hello or another member saw it live.
	reportedAt time.Time
	// directUntil is the time until which it gets direct heartbeats, lastDirect the time of the
	// last of them.
	directUntil, lastDirect time.Time
}

// isReported reports whether the member has shown that it lives, though by no heartbeat to this
// node, since the last hello to it.
func (m *memberState) isReported() bool {
	return m.reportedAt.After(m.LastSeen) && m.reportedAt.After(m.lastHello)
}

func (n *Node) isSilent(m *memberState, now time.Time) bool {
	return now.Sub(m.LastSeen) > n.timeoutOf(&m.LiveMember)
}

// helloPause returns the minimum time between two hellos to the member, and false if its regular
// heartbeats arrive. silent is the number of silent members. The caller holds n.mu.
func (n *Node) helloPause(m *memberState, silent int, now time.Time) (time.Duration, bool) {
	switch {
	case now.Sub(m.lastRegular) <= n.timeoutOf(&m.LiveMember):
		return 0, false
	case !n.isSilent(m, now):
		return directRenewal, true
	case m.isReported():
		return helloInterval, true
	}
	longest := max(maxHelloInterval, time.Duration(silent)*helloIntervalShare)
	return min(max(helloInterval, now.Sub(m.LastSeen)/4), longest), true
}

// dueMemberHellos returns the addresses of up to maxHellos members to ask for heartbeats now:
// first those that were reported live, then those that were not asked for the longest time. The
// caller holds n.mu.
func (n *Node) dueMemberHellos(now time.Time) []netip.AddrPort {
	silent := 0
	for _, m := range n.members {
		if n.isSilent(m, now) {
			silent++
		}
	}
	var due []*memberState
	for _, m := range n.members {
		if pause, ok := n.helloPause(m, silent, now); ok && now.Sub(m.lastHello) > pause {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *memberState) int {
		if a.isReported() != b.isReported() {
			if a.isReported() {
				return -1
			}
			return 1
		}
		return cmp.Or(a.lastHello.Compare(b.lastHello), compareVM(a.VM, b.VM))
	})
	due = due[:min(len(due), maxHellos)]
	addresses := make([]netip.AddrPort, 0, len(due))
	for _, m := range due {
		m.lastHello = now
		addresses = append(addresses, m.DatagramAddress)
	}
	return addresses
}

// sendDirect sends a direct heartbeat to the members to which one is due.
func (n *Node) sendDirect(now time.Time) {
	n.mu.Lock()
	var due []netip.AddrPort
	for address, m := range n.members {
		if now.Before(m.directUntil) && now.Sub(m.lastDirect) >= directInterval {
			m.lastDirect = now
			due = append(due, address)
		}
	}
	n.mu.Unlock()
	if len(due) == 0 {
		return
	}
	data := n.encodeDirect(now)
	for _, to := range due {
		n.send(to, data)
	}
}

func (n *Node) encodeDirect(now time.Time) []byte {
	hb := &Heartbeat{
		Incarnation: n.options.Self.Incarnation, Sequence: n.sequence.Add(1), MembersHash: n.View().liveHash,
		Direct: true, Status: n.currentStatus(now),
	}
	return hb.append(nil)
}

// currentStatus returns the status of the last regular heartbeat. The age of the last read of
// the store is that of now, also if this process did not run meanwhile.
func (n *Node) currentStatus(now time.Time) Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	status := n.status
	status.StoreReadAge = min(status.StoreReadAge+max(now.Sub(n.statusAt), 0), maxAge)
	return status
}

// answerDirect sends a direct heartbeat at once to a member that asked for them, and further ones
// with the regular heartbeats. It reports whether the member is silent, so that its heartbeats
// should be asked for too.
func (n *Node) answerDirect(h *hello, now time.Time) (silent bool) {
	to := h.From.DatagramAddress
	n.mu.Lock()
	m := n.members[to]
	if m == nil || m.Incarnation != h.From.Incarnation {
		n.mu.Unlock()
		return false
	}
	silent = n.isSilent(m, now)
	if silent && h.WantHello {
		m.lastHello = now // the reply is one
	}
	if h.WantHeartbeats {
		m.directUntil, m.lastDirect = now.Add(directPeriod), now
	}
	n.mu.Unlock()
	if h.WantHeartbeats {
		n.send(to, n.encodeDirect(now))
	}
	return silent
}
