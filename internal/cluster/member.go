package cluster

import (
	"math/bits"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of the system.
type Member struct {
	// VM is the name of the process's VM.
	VM string `json:"vm"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// CallerAddress is the address that callers connect to.
	CallerAddress string `json:"caller"`
	// PeerAddress is the address of the calls between entries (net/rpc).
	PeerAddress string `json:"peer"`
	// DatagramAddress is the address that beats come from and go to.
	DatagramAddress netip.AddrPort `json:"datagrams"`
	// Incarnation sets the starts of a process apart; a later one is larger.
	Incarnation uint64 `json:"incarnation"`
	// Weight is the member's part of shared duties: the strength of its VM.
	Weight float64 `json:"weight"`
}

// Status is what a member says of itself with each beat.
type Status struct {
	// Ready says that the member serves callers.
	Ready bool
	// Leaving says that the member shuts down.
	Leaving bool
	// Revision is the member's configuration, zero before the first.
	Revision int64
	// ServersVersion is the member's version of the list of backend servers.
	ServersVersion int64
	// StoreReadAge is the time since the member itself read the store.
	StoreReadAge time.Duration
}

// LiveMember is a member that was heard a short while ago.
type LiveMember struct {
	Member
	Status
	// LastSeen is when its last beat came.
	LastSeen time.Time

	mark uint32 // see markOf
	hash uint64 // of the VM's name, zero where it was not worked out
}

// heardMember returns what is known of a member that was heard just now.
func heardMember(m Member, status Status, now time.Time) LiveMember {
	return LiveMember{Member: m, Status: status, LastSeen: now, mark: markOf(m), hash: xxhash.Sum64String(m.VM)}
}

// nameHash is the hash of the VM's name.
func (l *LiveMember) nameHash() uint64 {
	if l.hash != 0 {
		return l.hash
	}
	return xxhash.Sum64String(l.VM)
}

// View is the members as one of them sees them. It is immutable.
type View struct {
	// Live are the members heard of late, this one included, sorted by VM.
	Live []LiveMember
	// Known is how many members were heard of in the last minutes.
	Known int
	// Silent are members that were ready when they were heard last, a while ago.
	Silent []LiveMember
	// set stands for the live members, duties for those that do not leave.
	set, duties uint32
}

// SameAssignment reports whether the same members do duties in both views.
func (v *View) SameAssignment(other *View) bool { return v.duties == other.duties }

// sum adds up the members, so that the order does not count.
func (v *View) sum() {
	for _, m := range v.Live {
		v.set += m.mark
		if !m.Leaving {
			v.duties += m.mark
		}
	}
}

// markOf stands for one start of a member.
func markOf(m Member) uint32 {
	return uint32(xxhash.Sum64String(m.VM + "\x00" + strconv.FormatUint(m.Incarnation, 16)))
}

// isolated reports whether most members fell silent at about the same time: then
// it is rather this one that is cut off.
func (v *View) isolated() bool { return len(v.Silent) > len(v.Live) }

// CallerAddresses are the addresses to hand out to callers. A member that is
// cut off from the others names those too, as callers may still reach them.
func (v *View) CallerAddresses() []string {
	var addresses []string
	for _, m := range v.Live {
		if m.Ready && !m.Leaving {
			addresses = append(addresses, m.CallerAddress)
		}
	}
	if v.isolated() {
		for _, m := range v.Silent {
			addresses = append(addresses, m.CallerAddress)
		}
	}
	return addresses
}

// score is the rendezvous score of a member for a key, by the hashes of both. It is
// worked out for each pair of a member and a server whenever the members change, so
// it mixes two words and reads no text.
func score(member, key uint64) uint64 {
	const odd1, odd2 = 0xbf58476d1ce4e5b9, 0x94d049bb133111eb // of the splitmix64 finalizer
	x := member ^ bits.RotateLeft64(key, 32)
	x = (x ^ x>>30) * odd1
	x = (x ^ x>>27) * odd2
	return x ^ x>>31
}

// readersKey is the key of the duty to read the store.
const readersKey = "store"

// ReaderPosition is a member's place in the order of those that read the store for all,
// 0 the first: two in different availability zones, then the others, which stand in.
// One that is not in it, as it leaves, comes after all.
func (v *View) ReaderPosition(vm string) int {
	hash := xxhash.Sum64String(readersKey)
	first := v.bestReader(hash, func(*LiveMember) bool { return true })
	switch {
	case first == nil:
		return len(v.Live)
	case vm == first.VM:
		return 0
	}
	second := v.bestReader(hash, func(m *LiveMember) bool { return m.Zone != first.Zone })
	rank, found := 0, false
	own := score(xxhash.Sum64String(vm), hash)
	for i := range v.Live {
		m := &v.Live[i]
		switch {
		case m.Leaving:
		case m.VM == vm:
			found = true
		case m == second || score(m.nameHash(), hash) > own:
			rank++
		}
	}
	switch {
	case !found:
		return len(v.Live)
	case second != nil && vm == second.VM:
		return 1
	}
	return rank
}

// bestReader is the first choice among some members, nil where there is none.
func (v *View) bestReader(hash uint64, among func(*LiveMember) bool) *LiveMember {
	var best *LiveMember
	for i := range v.Live {
		m := &v.Live[i]
		if m.Leaving || !among(m) {
			continue
		}
		if best == nil || score(m.nameHash(), hash) > score(best.nameHash(), hash) {
			best = m
		}
	}
	return best
}

// Position is a member's place in the order of the key.
func (v *View) Position(vm, key string) int {
	hash := xxhash.Sum64String(key)
	own := score(xxhash.Sum64String(vm), hash)
	place := 0
	for i := range v.Live {
		m := &v.Live[i]
		if m.Ready && !m.Leaving && score(m.nameHash(), hash) > own {
			place++
		}
	}
	return place
}

// Owner is the member that does a duty for something in the zone: the first
// choice of that zone, or of all where the zone has no member. False where there
// is none.
func (v *View) Owner(key, zone string) (LiveMember, bool) {
	hash := xxhash.Sum64String(key)
	var best *LiveMember
	var bestScore uint64
	near := false
	for i := range v.Live {
		m := &v.Live[i]
		if m.Leaving {
			continue
		}
		same := m.Zone == zone
		if near && !same {
			continue
		}
		s := score(m.nameHash(), hash)
		if best == nil || same && !near || s > bestScore {
			best, bestScore, near = m, s, same
		}
	}
	if best == nil {
		return LiveMember{}, false
	}
	return *best, true
}
