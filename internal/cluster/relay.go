package cluster

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A beat goes to the members of the own availability zone directly, and to one
// collector of each other zone, which passes beats on to its zone in digests a few
// milliseconds apart: traffic between zones has a price. In a large fleet beats go
// to a collector of the own zone too, so a member sends and receives about as much
// whatever the number of members, and only some of them go to other zones.
//
// Nobody elects a collector: each member takes the strongest one that it hears, and
// a member that gets beats to collect passes them on, so two members that choose
// differently lose nothing.

const (
	// fullMeshMost is the number of members up to which each beat goes to all.
	fullMeshMost = 40
	// farEvery is how many beats lie between two to the other zones: 200 ms.
	farEvery = 3
	// farAliveFor is how long after its last beat a member of another zone counts
	// as live in a large fleet: a dozen such beats.
	farAliveFor = 2500 * time.Millisecond
	// digestInterval is how long a collector gathers beats of a large fleet, and
	// smallDigestInterval those of a small one, which has fewer of them.
	digestInterval      = 10 * time.Millisecond
	smallDigestInterval = 4 * time.Millisecond
	// digestBytes bounds a digest: more of them are sent within the interval.
	digestBytes = 4 << 10
	// collectorSilence is how long a collector may pass nothing on until another
	// one is taken: four beats.
	collectorSilence = 270 * time.Millisecond
	// farCollectors is how many collectors of another zone take turns, so that a
	// dead one loses only a part of the beats.
	farCollectors = 2
)

// collecting reports whether the fleet is too large for a full mesh.
func (v *View) collecting() bool { return len(v.Live) > fullMeshMost }

// collectors are the members of a zone that may collect, the strongest first.
func (v *View) collectors(zone string) []*LiveMember {
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

// collection is this member's part in collecting. It is guarded by Node.mu.
type collection struct {
	digest []byte
	// used and heard are, by collector, since when it is used and when a digest
	// of it came last.
	used, heard map[netip.AddrPort]time.Time
}

// near reports whether the member's beats come without a way through its zone's
// collector to that of this zone.
func (n *Node) near(v *View, m *LiveMember) bool {
	return !v.collecting() || m.Zone == n.options.Self.Zone
}

// aliveFor is how long after its last beat the member counts as live.
func (n *Node) aliveFor(m *LiveMember) time.Duration {
	if n.near(n.View(), m) {
		return aliveFor
	}
	return farAliveFor
}

// sendNear sends the parts of a beat to all members, or to the zone's collector
// in a large fleet.
func (n *Node) sendNear(parts [][]byte, now time.Time) {
	v := n.View()
	if v.collecting() {
		n.sendToCollector(v, parts, now)
		return
	}
	for i := range v.Live {
		m := &v.Live[i]
		if m.Zone == n.options.Self.Zone && m.DatagramAddress != n.options.Self.DatagramAddress {
			n.sendParts(m.DatagramAddress, parts)
		}
	}
	n.sendToZones(v, parts)
}

func (n *Node) sendParts(to netip.AddrPort, parts [][]byte) {
	for _, part := range parts {
		n.send(to, part)
	}
}

func (n *Node) sendToCollector(v *View, parts [][]byte, now time.Time) {
	to := n.collector(v, now)
	for _, part := range parts {
		if to == n.options.Self.DatagramAddress {
			n.collect(to, part)
		} else {
			n.send(to, append([]byte{kindCollect}, part...))
		}
	}
}

// collector is the first collector of this zone that passes beats on.
func (n *Node) collector(v *View, now time.Time) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &n.collection
	for _, m := range v.collectors(n.options.Self.Zone) {
		if m.DatagramAddress == n.options.Self.DatagramAddress {
			return m.DatagramAddress
		}
		// One that fell silent is taken again when it passes something on: its own
		// beats, as it takes itself for the collector.
		if c.used[m.DatagramAddress].IsZero() {
			c.used[m.DatagramAddress] = now
		}
		last := c.heard[m.DatagramAddress]
		if last.Before(c.used[m.DatagramAddress]) {
			last = c.used[m.DatagramAddress]
		}
		if now.Sub(last) < collectorSilence {
			return m.DatagramAddress
		}
	}
	return n.options.Self.DatagramAddress
}

// sendFar sends every farEvery-th beat to a collector of each other zone.
func (n *Node) sendFar(parts [][]byte) {
	v := n.View()
	n.beats++
	if v.collecting() && n.beats%farEvery == 0 {
		n.sendToZones(v, parts)
	}
}

// sendToZones sends the parts to a collector of each other zone, in turns.
func (n *Node) sendToZones(v *View, parts [][]byte) {
	turn := int(n.turn.Add(1))
	zones := map[string]bool{n.options.Self.Zone: true}
	for i := range v.Live {
		zone := v.Live[i].Zone
		if zones[zone] {
			continue
		}
		zones[zone] = true
		found := v.collectors(zone)
		if len(found) == 0 {
			continue
		}
		to := found[turn%min(farCollectors, len(found))]
		for _, part := range parts {
			n.send(to.DatagramAddress, append([]byte{kindCollect}, part...))
		}
	}
}

// collect takes in a beat and puts it into the next digest.
func (n *Node) collect(from netip.AddrPort, part []byte) {
	if len(part) == 0 || part[0] != kindBeat {
		n.count("malformed")
		return
	}
	if from != n.options.Self.DatagramAddress {
		n.receive(from, part)
	}
	interval := smallDigestInterval
	if n.View().collecting() {
		interval = digestInterval
	}
	n.mu.Lock()
	c := &n.collection
	var full []byte
	if len(c.digest) == 0 {
		c.digest = append(c.digest, kindDigest)
		time.AfterFunc(interval, n.passOn)
	} else if len(c.digest)+len(part) > digestBytes {
		full = c.digest
		c.digest = []byte{kindDigest}
	}
	c.digest = appendAddress(c.digest, from)
	c.digest = binary.BigEndian.AppendUint16(c.digest, uint16(len(part)))
	c.digest = append(c.digest, part...)
	n.mu.Unlock()
	n.sendDigest(full)
}

// passOn sends what was collected to the zone.
func (n *Node) passOn() {
	n.mu.Lock()
	digest := n.collection.digest
	n.collection.digest = nil
	n.mu.Unlock()
	n.sendDigest(digest)
}

func (n *Node) sendDigest(digest []byte) {
	if len(digest) == 0 {
		return
	}
	v := n.View()
	for i := range v.Live {
		m := &v.Live[i]
		if m.Zone == n.options.Self.Zone && m.DatagramAddress != n.options.Self.DatagramAddress {
			n.send(m.DatagramAddress, digest)
		}
	}
}

// digested takes in the beats of a digest.
func (n *Node) digested(from netip.AddrPort, data []byte) {
	n.mu.Lock()
	n.collection.heard[from] = time.Now()
	n.mu.Unlock()
	for len(data) > 0 {
		sender, rest, ok := cutAddress(data)
		if !ok || len(rest) < 2 {
			n.count("malformed")
			return
		}
		size := int(binary.BigEndian.Uint16(rest))
		rest = rest[2:]
		if size == 0 || size > len(rest) || rest[0] != kindBeat {
			n.count("malformed")
			return
		}
		if sender != n.options.Self.DatagramAddress {
			n.receive(sender, rest[:size])
		}
		data = rest[size:]
	}
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
