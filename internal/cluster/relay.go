package cluster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A heartbeat goes directly to the members of its sender's own availability zone, and
// to one relay of each other zone. The relay forwards heartbeats to its zone in
// batches a few milliseconds apart, because cross-zone traffic has a price. In a large
// cluster, heartbeats go to a relay of the sender's own zone too, so the traffic of a
// member hardly depends on the number of members, and only some heartbeats cross zones.
//
// Relays are not elected: each member uses the live member with the highest weight in
// the zone, and a member that receives heartbeats to relay forwards them. So no
// heartbeat is lost if two members choose different relays.

const (
	// maxFullMesh is the number of members up to which each heartbeat goes to all.
	maxFullMesh = 40
	// maxFrequent is the number of members up to which each of them sends a heartbeat at
	// each interval. Beyond it, the heartbeats that every member has to read would take
	// the greater part of a small VM's processor time; only every sparseEvery-th is sent.
	maxFrequent = 200
	sparseEvery = 3
	// crossZoneEvery sends every third heartbeat to the other zones in a large cluster,
	// which is one per 200 ms, or 600 ms beyond maxFrequent members.
	crossZoneEvery = 3
	// crossZoneTimeout is the liveness timeout for members of other zones in a large
	// cluster. It spans a dozen cross-zone heartbeats, or four beyond maxFrequent members.
	crossZoneTimeout = 2500 * time.Millisecond
	// sparseTimeout is the liveness timeout within the zone beyond maxFrequent members. It
	// spans six heartbeats.
	sparseTimeout = 1200 * time.Millisecond
	// batchInterval is how long a relay gathers heartbeats in a large cluster,
	// sparseBatchInterval beyond maxFrequent members, and smallBatchInterval in a small
	// cluster, where there are fewer of them.
	batchInterval       = 10 * time.Millisecond
	sparseBatchInterval = 25 * time.Millisecond
	smallBatchInterval  = 4 * time.Millisecond
	// maxBatchBytes bounds a batch. A full batch is sent before the interval ends.
	maxBatchBytes = 4 << 10
	// relayTimeout is how long a relay may send no batch before another one is used:
	// four heartbeats.
	relayTimeout = 270 * time.Millisecond
	// relaysPerZone is the number of relays of another zone that are used in rotation,
	// so that a failed one loses only some of the heartbeats.
	relaysPerZone = 2
)

// usesRelays reports whether the cluster is too large for a full mesh.
func (v *View) usesRelays() bool { return len(v.Live) > maxFullMesh }

// IsSparse reports whether members send only every sparseEvery-th heartbeat.
func (v *View) IsSparse() bool { return len(v.Live) > maxFrequent }

// relayTable holds addresses derived from a view. It is immutable and stays valid while
// the live members and those that are leaving are the same.
type relayTable struct {
	liveHash, assignmentHash uint32
	relays                   map[string][]netip.AddrPort // by zone, the highest weight first
	zones                    []string                    // other zones than the node's own
	neighbours               []netip.AddrPort            // members of the own zone, without the node
}

// relayTable returns the table for the current view.
func (n *Node) relayTable() *relayTable {
	v := n.View()
	t := n.relayAddresses.Load()
	if t != nil && t.liveHash == v.liveHash && t.assignmentHash == v.assignmentHash {
		return t
	}
	t = &relayTable{liveHash: v.liveHash, assignmentHash: v.assignmentHash, relays: map[string][]netip.AddrPort{}}
	self := &n.options.Self
	for i := range v.Live {
		m := &v.Live[i]
		if _, known := t.relays[m.Zone]; !known {
			addresses := []netip.AddrPort{}
			for _, relay := range v.relays(m.Zone) {
				addresses = append(addresses, relay.DatagramAddress)
			}
			t.relays[m.Zone] = addresses
			if m.Zone != self.Zone {
				t.zones = append(t.zones, m.Zone)
			}
		}
		if m.Zone == self.Zone && m.DatagramAddress != self.DatagramAddress {
			t.neighbours = append(t.neighbours, m.DatagramAddress)
		}
	}
	n.relayAddresses.Store(t)
	return t
}

// relays returns the members of a zone that may relay, the highest weight first.
func (v *View) relays(zone string) []*LiveMember {
	var found []*LiveMember
	for i := range v.Live {
		if m := &v.Live[i]; m.Zone == zone && !m.Leaving {
			found = append(found, m)
		}
	}
	hash := xxhash.Sum64String(zone)
	slices.SortFunc(found, func(a, b *LiveMember) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(score(b.nameHash(), hash), score(a.nameHash(), hash)))
	})
	return found
}

// relayState is what a member keeps as a relay and about other relays. It is guarded
// by Node.mu.
type relayState struct {
	batch []byte // the batch being filled, empty if there is none
	// usedSince and lastBatch hold, by relay, the time from which it has been used and
	// the arrival of its last batch.
	usedSince, lastBatch map[netip.AddrPort]time.Time
}

// isDirect reports whether the member's heartbeats arrive at the full rate: always in a
// small cluster, only within the zone in a large one.
func (n *Node) isDirect(v *View, m *LiveMember) bool {
	return !v.usesRelays() || m.Zone == n.options.Self.Zone
}

// timeoutOf returns how long after its last heartbeat the member counts as live.
func (n *Node) timeoutOf(m *LiveMember) time.Duration {
	v := n.View()
	switch {
	case !n.isDirect(v, m):
		return crossZoneTimeout
	case v.IsSparse():
		return sparseTimeout
	default:
		return livenessTimeout
	}
}

// broadcast sends the parts of a heartbeat to all members, or in a large cluster to the
// relay of this zone.
func (n *Node) broadcast(parts [][]byte, now time.Time) {
	if n.View().usesRelays() {
		n.sendToRelay(parts, now)
		return
	}
	for _, to := range n.relayTable().neighbours {
		n.sendParts(to, parts)
	}
	n.sendToOtherZones(parts)
}

func (n *Node) sendParts(to netip.AddrPort, parts [][]byte) {
	for _, part := range parts {
		n.send(to, part)
	}
}

func (n *Node) sendToRelay(parts [][]byte, now time.Time) {
	to := n.zoneRelay(now)
	for _, part := range parts {
		if to == n.options.Self.DatagramAddress {
			n.relay(to, part)
		} else {
			n.send(to, append([]byte{kindRelay}, part...))
		}
	}
}

// zoneRelay returns the address of the first relay of this zone that sends batches,
// this node's own if there is none before it in the order.
func (n *Node) zoneRelay(now time.Time) netip.AddrPort {
	relays := n.relayTable().relays[n.options.Self.Zone]
	n.mu.Lock()
	defer n.mu.Unlock()
	state := &n.relaying
	for _, address := range relays {
		if address == n.options.Self.DatagramAddress {
			return address
		}
		// A relay that timed out is used again once it sends a batch. It sends at least
		// its own heartbeats, as it selects itself as the relay.
		if state.usedSince[address].IsZero() {
			state.usedSince[address] = now
		}
		last := state.lastBatch[address]
		if last.Before(state.usedSince[address]) {
			last = state.usedSince[address]
		}
		if now.Sub(last) < relayTimeout {
			return address
		}
	}
	return n.options.Self.DatagramAddress
}

// announceAge is the age of a member's last read of the store up to which it announces new
// versions to all zones at once. Members that got them from others need not.
const announceAge = 2 * time.Second

// sendCrossZone sends every crossZoneEvery-th heartbeat, and each that announces new
// versions, to a relay of each other zone in a large cluster.
func (n *Node) sendCrossZone(parts [][]byte, announces bool) {
	n.heartbeats++
	if n.View().usesRelays() && (announces || n.heartbeats%crossZoneEvery == 0) {
		n.sendToOtherZones(parts)
	}
}

// sendToOtherZones sends the parts to a relay of each other zone. It rotates over
// relaysPerZone relays of a zone.
func (n *Node) sendToOtherZones(parts [][]byte) {
	counter := int(n.relayCounter.Add(1))
	t := n.relayTable()
	for _, zone := range t.zones {
		relays := t.relays[zone]
		if len(relays) == 0 {
			continue
		}
		to := relays[counter%min(relaysPerZone, len(relays))]
		for _, part := range parts {
			n.send(to, append([]byte{kindRelay}, part...))
		}
	}
}

// relay handles a heartbeat and adds it to the next batch.
func (n *Node) relay(from netip.AddrPort, part []byte) {
	if len(part) == 0 || part[0] != kindHeartbeat {
		n.count("malformed")
		return
	}
	if from != n.options.Self.DatagramAddress {
		n.receive(from, part)
	}
	interval := smallBatchInterval
	switch v := n.View(); {
	case v.IsSparse():
		interval = sparseBatchInterval
	case v.usesRelays():
		interval = batchInterval
	}
	n.mu.Lock()
	state := &n.relaying
	var full []byte
	if len(state.batch) == 0 {
		state.batch = append(state.batch, kindBatch)
		time.AfterFunc(interval, n.flushBatch)
	} else if len(state.batch)+len(part) > maxBatchBytes {
		full = state.batch
		state.batch = []byte{kindBatch}
	}
	state.batch = appendAddress(state.batch, from)
	state.batch = binary.BigEndian.AppendUint16(state.batch, uint16(len(part)))
	state.batch = append(state.batch, part...)
	n.mu.Unlock()
	n.sendBatch(full)
}

// flushBatch sends the gathered heartbeats to the zone.
func (n *Node) flushBatch() {
	n.mu.Lock()
	batch := n.relaying.batch
	n.relaying.batch = nil
	n.mu.Unlock()
	n.sendBatch(batch)
}

func (n *Node) sendBatch(batch []byte) {
	if len(batch) == 0 {
		return
	}
	for _, to := range n.relayTable().neighbours {
		n.send(to, batch)
	}
}

// handleBatch handles the heartbeats of a batch.
func (n *Node) handleBatch(from netip.AddrPort, data []byte) {
	n.mu.Lock()
	n.relaying.lastBatch[from] = time.Now()
	n.mu.Unlock()
	for len(data) > 0 {
		sender, rest, ok := decodeAddress(data)
		if !ok || len(rest) < 2 {
			n.count("malformed")
			return
		}
		size := int(binary.BigEndian.Uint16(rest))
		rest = rest[2:]
		if size == 0 || size > len(rest) || rest[0] != kindHeartbeat {
			n.count("malformed")
			return
		}
		if sender != n.options.Self.DatagramAddress {
			n.receive(sender, rest[:size])
		}
		data = rest[size:]
	}
}

// addressBytes is the size of an encoded IPv4 address and port.
const addressBytes = 6

func appendAddress(out []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap().As4()
	out = append(out, ip[:]...)
	return binary.BigEndian.AppendUint16(out, a.Port())
}

func decodeAddress(data []byte) (netip.AddrPort, []byte, bool) {
	if len(data) < addressBytes {
		return netip.AddrPort{}, nil, false
	}
	ip := netip.AddrFrom4([4]byte(data[:4]))
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(data[4:])), data[addressBytes:], true
}
