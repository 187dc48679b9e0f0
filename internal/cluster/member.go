package cluster

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one cluster member: one process of an entry.
type Member struct {
	// VM is the name of the process's VM.
	VM string `json:"vm"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"caller"`
	// PeerAddress is the address of the calls between entries (net/rpc).
	PeerAddress string `json:"peer"`
	// DatagramAddress is the address that the member sends and receives datagrams at.
	DatagramAddress netip.AddrPort `json:"datagrams"`
	// Incarnation distinguishes the starts of a process; it is larger for a later start.
	Incarnation uint64 `json:"incarnation"`
	// Weight is the CPU quota of the member's VM. Heavier members are preferred as
	// relays.
	Weight float64 `json:"weight"`
}

// Status is the state that a member reports about itself in each heartbeat.
type Status struct {
	// Ready is set if the member serves callers.
	Ready bool
	// Leaving is set if the member is shutting down.
	Leaving bool
	// Revision is the revision of the member's configuration, zero if it has none yet.
	Revision int64
	// ServersVersion is the version of the member's list of backend servers.
	ServersVersion int64
	// ServersHash is a hash of the servers in that version.
	ServersHash uint32
	// EvacuationsVersion is the version of what the member knows of evacuated availability
	// zones, zero if it knows no record of one. EvacuationsHash is a hash of the zones that are
	// evacuated in that version.
	EvacuationsVersion int64
	EvacuationsHash    uint32
	// StoreReadAge is the time since the member itself last read the store: the servers or
	// the configuration, whichever is longer ago.
	StoreReadAge time.Duration
	// StoreFailing is set if the member's last attempt to read the store failed. A member that
	// has not tried for a while does not set it, however old its last read is.
	StoreFailing bool
}

// sameAnnouncement reports whether both statuses say the same to other members, apart from
// the member's own reads of the store.
func (s Status) sameAnnouncement(other Status) bool {
	s.StoreReadAge, s.StoreFailing = other.StoreReadAge, other.StoreFailing
	return s == other
}

// LiveMember is a member whose last heartbeat is recent.
type LiveMember struct {
	Member
	Status
	// LastSeen is the time at which its last heartbeat arrived.
	LastSeen time.Time

	idHash uint32 // see idHashOf
	vmHash uint64 // hash of the VM's name, zero if not computed
}

// newLiveMember returns the record of a member that was seen just now.
func newLiveMember(m Member, status Status, now time.Time) LiveMember {
	return LiveMember{Member: m, Status: status, LastSeen: now, idHash: idHashOf(m), vmHash: xxhash.Sum64String(m.VM)}
}

// nameHash returns the hash of the VM's name.
func (l *LiveMember) nameHash() uint64 {
	if l.vmHash != 0 {
		return l.vmHash
	}
	return xxhash.Sum64String(l.VM)
}

// View is the cluster as one member sees it. It is immutable.
type View struct {
	// Live are the members seen recently, this one included, sorted by VM.
	Live []LiveMember
	// Known is the number of members seen in the last minutes, this one included.
	Known int
	// Missing is the number of members that exceeded the liveness timeout in the last
	// minutes and were not leaving when last seen. They may still run, on the other side of
	// a network partition.
	Missing int
	// LongestSilence is the longest time since the last heartbeat of a missing member, zero if
	// none is missing.
	LongestSilence time.Duration
	// Returned counts the members that were heard again after they had been silent, since this
	// process started. ReturnedAfter is how long the last of them had been silent.
	Returned      int
	ReturnedAfter time.Duration
	// Silent are members that were ready when last seen and have since exceeded the
	// liveness timeout, but not yet silentGrace.
	Silent []LiveMember
	// computedAt is the time for which the view was computed.
	computedAt time.Time
	// liveHash is a hash of the set of live members, assignmentHash of those that are
	// not leaving.
	liveHash, assignmentHash uint32
}

// SameAssignment reports whether work is assigned over the same members in both
// views.
func (v *View) SameAssignment(other *View) bool { return v.assignmentHash == other.assignmentHash }

// computeHashes sums the hashes of the members, so that their order does not matter.
func (v *View) computeHashes() {
	for _, m := range v.Live {
		v.liveHash += m.idHash
		if !m.Leaving {
			v.assignmentHash += m.idHash
		}
	}
}

// idHashOf returns the hash that identifies one start of a member.
func idHashOf(m Member) uint32 {
	return uint32(xxhash.Sum64String(m.VM + "\x00" + strconv.FormatUint(m.Incarnation, 16)))
}

// isIsolated reports whether no other member is live. That most members are silent is no sign of
// isolation: to a member that hears others, a network partition and the loss of the silent ones
// look the same, and it has others to hand out.
func (v *View) isIsolated() bool { return len(v.Live) <= 1 }

// CallerAddresses returns the addresses to hand out to callers. An isolated member
// includes the silent members for maxListedSilence, as callers may still reach them.
func (v *View) CallerAddresses() []string {
	return addressesOf(v.callerMembers())
}

// SampleCallerAddresses is like CallerAddresses, but returns at most n of them, in random order. If
// there are more, a member's chance grows with its CPU quota: callers choose any address with
// equal probability, so each of a large cluster's strong members gets more of them than a weak one.
func (v *View) SampleCallerAddresses(n int) []string {
	members := v.callerMembers()
	if len(members) <= n {
		return addressesOf(members)
	}
	// The n least of exponential times with the weights as rates are a weighted sample.
	times := make(map[*LiveMember]float64, len(members))
	for _, m := range members {
		times[m] = rand.ExpFloat64() / max(m.Weight, minCallerWeight)
	}
	slices.SortFunc(members, func(a, b *LiveMember) int { return cmp.Compare(times[a], times[b]) })
	addresses := addressesOf(members[:n])
	rand.Shuffle(n, func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// minCallerWeight is the weight of a member with a smaller CPU quota or an unknown one, in cores.
const minCallerWeight = 0.05

// callerMembers returns the members to hand out to callers.
func (v *View) callerMembers() []*LiveMember {
	var members []*LiveMember
	for i := range v.Live {
		if m := &v.Live[i]; m.Ready && !m.Leaving {
			members = append(members, m)
		}
	}
	if v.isIsolated() {
		for i := range v.Silent {
			if m := &v.Silent[i]; v.computedAt.Sub(m.LastSeen) <= maxListedSilence {
				members = append(members, m)
			}
		}
	}
	return members
}

func addressesOf(members []*LiveMember) []string {
	var addresses []string
	for _, m := range members {
		addresses = append(addresses, m.CallerAddress)
	}
	return addresses
}

// score returns the rendezvous score of a member for a key, given the hashes of both.
// It is computed for each pair of a member and a server whenever the members change,
// so it mixes two integers instead of hashing strings.
func score(member, key uint64) uint64 {
	const odd1, odd2 = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb // of the splitmix64 finalizer
	x := member ^ bits.RotateLeft64(key, 32)
	x = (x ^ x>>30) * odd1
	x = (x ^ x>>27) * odd2
	return x ^ x>>31
}

// readersKey is the rendezvous key by which the readers of the store are assigned.
const readersKey = "store"

// ReaderPosition returns a member's position in the order of the store's readers, 0
// for the first. The first two are in different availability zones if there are
// several zones; the others are fallback readers. A member that is leaving or not live
// comes after all others.
func (v *View) ReaderPosition(vm string) int {
	keyHash := xxhash.Sum64String(readersKey)
	first := v.bestReader(keyHash, func(*LiveMember) bool { return true })
	switch {
	case first == nil:
		return len(v.Live)
	case vm == first.VM:
		return 0
	}
	second := v.bestReader(keyHash, func(m *LiveMember) bool { return m.Zone != first.Zone })
	position, listed := 0, false
	own := score(xxhash.Sum64String(vm), keyHash)
	for i := range v.Live {
		m := &v.Live[i]
		switch {
		case m.Leaving:
		case m.VM == vm:
			listed = true
		case m == second || score(m.nameHash(), keyHash) > own:
			position++
		}
	}
	switch {
	case !listed:
		return len(v.Live)
	case second != nil && vm == second.VM:
		return 1
	}
	return position
}

// bestReader returns the eligible member with the highest score, nil if there is none.
func (v *View) bestReader(keyHash uint64, eligible func(*LiveMember) bool) *LiveMember {
	var best *LiveMember
	for i := range v.Live {
		m := &v.Live[i]
		if m.Leaving || !eligible(m) {
			continue
		}
		if best == nil || score(m.nameHash(), keyHash) > score(best.nameHash(), keyHash) {
			best = m
		}
	}
	return best
}

// Position returns a member's position in the rendezvous order of the key, 0 for the
// first. The order comprises the members that are ready and not leaving.
func (v *View) Position(vm, key string) int {
	keyHash := xxhash.Sum64String(key)
	own := score(xxhash.Sum64String(vm), keyHash)
	position := 0
	for i := range v.Live {
		m := &v.Live[i]
		if m.Ready && !m.Leaving && score(m.nameHash(), keyHash) > own {
			position++
		}
	}
	return position
}

// LocalPosition returns a member's position in an order of the key in which the members of
// the availability zone come first, 0 for the first. The order comprises the members that
// are ready and not leaving; any other member comes after all of them.
func (v *View) LocalPosition(vm, key, zone string) int {
	keyHash := xxhash.Sum64String(key)
	own := score(xxhash.Sum64String(vm), keyHash)
	ownZone, listed := "", false
	ahead, aheadInZone, inZone, total := 0, 0, 0, 0
	for i := range v.Live {
		m := &v.Live[i]
		if !m.Ready || m.Leaving {
			continue
		}
		total++
		if m.Zone == zone {
			inZone++
		}
		switch {
		case m.VM == vm:
			ownZone, listed = m.Zone, true
		case score(m.nameHash(), keyHash) > own && m.Zone == zone:
			aheadInZone++
		case score(m.nameHash(), keyHash) > own:
			ahead++
		}
	}
	switch {
	case !listed:
		return total
	case ownZone == zone:
		return aheadInZone
	default:
		return inZone + ahead
	}
}

// ZoneRank returns a member's place by name among the members of its availability zone that are
// ready and not leaving, 0 for the first, and their number with the member itself.
func (v *View) ZoneRank(vm string) (rank, members int) {
	zone := ""
	for i := range v.Live {
		if v.Live[i].VM == vm {
			zone = v.Live[i].Zone
		}
	}
	for i := range v.Live {
		m := &v.Live[i]
		switch {
		case m.VM == vm:
			members++
		case m.Ready && !m.Leaving && m.Zone == zone:
			members++
			if m.VM < vm {
				rank++
			}
		}
	}
	return rank, members
}

// ReadyMembers returns the number of live members that are ready and not leaving.
func (v *View) ReadyMembers() int {
	ready := 0
	for i := range v.Live {
		if m := &v.Live[i]; m.Ready && !m.Leaving {
			ready++
		}
	}
	return ready
}

// Owner returns the member to which the key is assigned: the one with the highest
// score in the zone, or in the whole cluster if the zone has no member. It returns
// false if every member is leaving.
func (v *View) Owner(key, zone string) (LiveMember, bool) {
	keyHash := xxhash.Sum64String(key)
	var best *LiveMember
	var bestScore uint64
	inZone := false
	for i := range v.Live {
		m := &v.Live[i]
		if m.Leaving {
			continue
		}
		sameZone := m.Zone == zone
		if inZone && !sameZone {
			continue
		}
		s := score(m.nameHash(), keyHash)
		if best == nil || sameZone && !inZone || s > bestScore {
			best, bestScore, inZone = m, s, sameZone
		}
	}
	if best == nil {
		return LiveMember{}, false
	}
	return *best, true
}
