package cluster

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Members learn of each other by hellos. A hello describes its sender; it may also list
// the ids of the members that the sender knows, and the receiver then replies with the
// records of others and asks for those that it lacks itself. Members that have learned
// something new go on with a random other member, so that the table of a joining member
// is complete after a number of exchanges that grows with the logarithm of the members.

const (
	// syncInterval is the minimum time between two exchanges of members that a node
	// begins.
	syncInterval = 100 * time.Millisecond
	// maxRecordsPerReply bounds the member records in one reply, so that the members of
	// a large cluster do not exhaust the link of a common seed when all start.
	maxRecordsPerReply = 96
	// maxDirectRequests bounds the hellos requested from unknown senders within
	// helloInterval. Others are learned of by exchanges.
	maxDirectRequests = 4
	// localSyncShare is the share of exchanges with members of the own zone.
	localSyncShare = 0.75
	// maxSeedInterval bounds the interval between two hellos to a seed, which doubles
	// with each of them.
	maxSeedInterval = 2 * time.Second
)

// seed is an address at which another member may be reached.
type seed struct {
	lastHello time.Time
	interval  time.Duration // until the next hello
	expires   time.Time     // zero for never
}

// due reports whether a hello must be sent to the seed now, and then doubles the interval.
func (s *seed) due(now time.Time) bool {
	if now.Sub(s.lastHello) <= s.interval {
		return false
	}
	s.lastHello = now
	s.interval = min(max(2*s.interval, helloInterval), maxSeedInterval)
	return true
}

// AddSeeds adds datagram addresses at which other members may be reached. Known
// seeds, known members and this node's own address are ignored.
func (n *Node) AddSeeds(addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.configured[a] = true
		n.addSeed(a, time.Time{})
	}
}

// SuggestSeeds is like AddSeeds, but the addresses are forgotten after some minutes unless they
// are suggested again.
func (n *Node) SuggestSeeds(now time.Time, addresses ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range addresses {
		n.addSeed(a, now.Add(forgetAfter))
	}
}

// addSeed adds a seed or extends the time until it expires. The caller holds n.mu.
func (n *Node) addSeed(a netip.AddrPort, expires time.Time) {
	switch s := n.seeds[a]; {
	case n.members[a] != nil || a == n.options.Self.DatagramAddress:
	case s == nil:
		n.seeds[a] = &seed{expires: expires}
	case !s.expires.IsZero():
		s.expires = expires
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

// requestHello asks an unknown sender for a hello, if it was not asked recently and few
// others were. An exchange of members with another member follows in any case.
func (n *Node) requestHello(to netip.AddrPort, now time.Time) {
	n.mu.Lock()
	n.syncWanted = true
	if now.Sub(n.directSince) > helloInterval {
		n.directSince, n.directRequests = now, 0
	}
	request := false
	if n.directRequests < maxDirectRequests {
		if n.seeds[to] == nil {
			n.seeds[to] = &seed{expires: now.Add(forgetAfter)}
		}
		request = n.seeds[to].due(now)
	}
	if request {
		n.directRequests++
	}
	n.mu.Unlock()
	if request {
		n.sendEncoded(to, &hello{From: n.options.Self, WantHello: true})
	}
}

// handleHello adds or updates the members that a hello describes and sends the replies
// that it requests.
func (n *Node) handleHello(from netip.AddrPort, h *hello, now time.Time) {
	if h.From.DatagramAddress != from || from == n.options.Self.DatagramAddress {
		n.count("malformed")
		return
	}
	n.mu.Lock()
	added := n.addMember(h.From, now, now)
	for _, r := range h.Members {
		added = n.addMember(r.Member, now.Add(-r.Age), now) || added
	}
	n.syncWanted = n.syncWanted || added
	large := len(n.members) > maxFullMesh
	n.mu.Unlock()
	silent := n.answerDirect(h, now)
	n.reply(from, h, silent, now)
	// In a large cluster the next heartbeat refreshes the view: many members join at a
	// start, and each refresh takes time in proportion to their number.
	if added && !large {
		n.Refresh(now)
	}
}

// unknownStatus is the status of a member of which no heartbeat has arrived.
var unknownStatus = Status{StoreReadAge: maxAge}

// addMember adds a member that was seen live at that time, or replaces the record of an
// earlier start. It reports whether it did. The caller holds n.mu.
func (n *Node) addMember(m Member, seen, now time.Time) bool {
	if m.DatagramAddress == n.options.Self.DatagramAddress {
		return false
	}
	if old := n.members[m.DatagramAddress]; old != nil && !n.replaces(old, m, seen, now) {
		if m.Incarnation == old.Incarnation && seen.After(old.reportedAt) {
			old.reportedAt = seen
		}
		return false
	}
	n.members[m.DatagramAddress] = &memberState{LiveMember: newLiveMember(m, unknownStatus, seen), lastRegular: seen}
	n.order = nil
	delete(n.seeds, m.DatagramAddress)
	n.count("met")
	return true
}

// replaces reports whether the record describes a later start than the known one. The
// incarnation decides while the known member is live. Once it is silent, a member that
// was seen since is a later start even with a lower incarnation: the time of day, which
// incarnations are made from, may have been set back.
func (n *Node) replaces(old *memberState, m Member, seen, now time.Time) bool {
	if m.Incarnation == old.Incarnation || !seen.After(old.LastSeen) {
		return false
	}
	return m.Incarnation > old.Incarnation || now.Sub(old.LastSeen) > n.timeoutOf(&old.LiveMember)
}

// reply sends what a hello requests: a hello in return, the records that the sender
// lacks, and a request for those that this node lacks. If the sender is silent, it is asked for
// its heartbeats.
func (n *Node) reply(to netip.AddrPort, h *hello, silent bool, now time.Time) {
	if !h.WantHello && !h.WantMembers && len(h.Wanted) == 0 {
		return
	}
	answer := &hello{From: n.options.Self, WantHeartbeats: silent}
	requested := make(map[uint32]bool, len(h.Wanted))
	for _, id := range h.Wanted {
		requested[id] = true
	}
	known := make(map[uint32]bool, len(h.Known)+1)
	for _, id := range h.Known {
		known[id] = true
	}
	self := n.options.Self.DatagramAddress
	for _, m := range n.View().Live {
		if m.DatagramAddress == to || m.DatagramAddress == self {
			delete(known, m.idHash)
			continue
		}
		if requested[m.idHash] || h.WantMembers && !known[m.idHash] {
			answer.Members = append(answer.Members, memberRecord{Member: m.Member, Age: max(now.Sub(m.LastSeen), 0)})
		}
		delete(known, m.idHash)
	}
	if h.WantMembers {
		for id := range known {
			answer.Wanted = append(answer.Wanted, id)
		}
		answer.Wanted = answer.Wanted[:min(len(answer.Wanted), maxRecordsPerReply)]
	}
	if len(answer.Members) > maxRecordsPerReply {
		rand.Shuffle(len(answer.Members), func(i, j int) {
			answer.Members[i], answer.Members[j] = answer.Members[j], answer.Members[i]
		})
		answer.Members = answer.Members[:maxRecordsPerReply]
	}
	n.sendEncoded(to, answer)
}

// sendSync asks a member for the members that it knows and this node does not.
func (n *Node) sendSync(to netip.AddrPort) {
	h := &hello{From: n.options.Self, WantHello: true, WantMembers: true}
	for _, m := range n.View().Live {
		if m.DatagramAddress != n.options.Self.DatagramAddress {
			h.Known = append(h.Known, m.idHash)
		}
	}
	n.sendEncoded(to, h)
}

// syncPartner returns a random live member to exchange members with, and false if no
// exchange is due. Most are of this availability zone, as traffic between zones has a
// price; the others connect the zones.
func (n *Node) syncPartner(now time.Time) (netip.AddrPort, bool) {
	live := n.View().Live
	neighbours := n.relayTable().neighbours
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.syncWanted || len(live) < 2 || now.Sub(n.lastExchange) < syncInterval {
		return netip.AddrPort{}, false
	}
	partner := live[rand.IntN(len(live))].DatagramAddress
	if len(neighbours) > 0 && rand.Float64() < localSyncShare {
		partner = neighbours[rand.IntN(len(neighbours))]
	}
	if partner == n.options.Self.DatagramAddress {
		return netip.AddrPort{}, false // still due at the next heartbeat
	}
	n.syncWanted, n.lastExchange = false, now
	return partner, true
}

// sendEncoded sends a hello, with its member records split over datagrams.
func (n *Node) sendEncoded(to netip.AddrPort, h *hello) {
	const recordsPerDatagram = 24
	records := h.Members
	for {
		part := *h
		part.Members = records[:min(recordsPerDatagram, len(records))]
		records = records[len(part.Members):]
		n.send(to, part.append(nil))
		if len(records) == 0 {
			return
		}
		h = &hello{From: h.From}
	}
}

// dueHellos returns the addresses of the seeds and of the members to send a hello to now.
func (n *Node) dueHellos(now time.Time) (seeds, members []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget(now)
	for address, s := range n.seeds {
		if len(seeds) >= maxHellos {
			break
		}
		if s.due(now) {
			seeds = append(seeds, address)
		}
	}
	return seeds, n.dueMemberHellos(now)
}

// forget drops members that have been silent for longer than forgetAfter, and expired seeds. The
// caller holds n.mu.
func (n *Node) forget(now time.Time) {
	for address, m := range n.members {
		if now.Sub(m.LastSeen) <= forgetAfter {
			continue
		}
		delete(n.members, address)
		delete(n.relaying.usedSince, address)
		delete(n.relaying.lastBatch, address)
		n.order = nil
		if n.configured[address] {
			n.addSeed(address, time.Time{})
		}
	}
	for address, s := range n.seeds {
		if !s.expires.IsZero() && now.After(s.expires) {
			delete(n.seeds, address)
		}
	}
}

// Join sends the first hellos to the seeds, without waiting for the first heartbeat.
func (n *Node) Join(now time.Time) { n.sendDueHellos(now) }

// sendDueHellos sends hellos to seeds and to members whose regular heartbeats do not arrive, and
// begins an exchange of members where one is due. A node without any other member asks its seeds for theirs.
func (n *Node) sendDueHellos(now time.Time) {
	seeds, members := n.dueHellos(now)
	n.sendHello(seeds, &hello{From: n.options.Self, WantHello: true, WantMembers: len(n.View().Live) == 1})
	n.sendHello(members, &hello{From: n.options.Self, WantHello: true, WantHeartbeats: true})
	if to, ok := n.syncPartner(now); ok {
		n.sendSync(to)
	}
}

func (n *Node) sendHello(to []netip.AddrPort, h *hello) {
	if len(to) == 0 {
		return
	}
	data := h.append(nil)
	for _, address := range to {
		n.send(address, data)
	}
}

// sortedMembers returns the members in the order of their VMs' names. The caller holds
// n.mu.
func (n *Node) sortedMembers() []*memberState {
	if n.order == nil {
		n.order = make([]*memberState, 0, len(n.members))
		for _, m := range n.members {
			n.order = append(n.order, m)
		}
		slices.SortFunc(n.order, func(a, b *memberState) int { return compareVM(a.VM, b.VM) })
	}
	return n.order
}
