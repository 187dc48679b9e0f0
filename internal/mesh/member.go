package mesh

import (
	"cmp"
	"net/netip"
	"slices"
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
	// Caller is the address that callers connect to.
	Caller string `json:"caller"`
	// Peer is the address of the calls between entries (net/rpc).
	Peer string `json:"peer"`
	// Datagrams is the address that beats come from and go to.
	Datagrams netip.AddrPort `json:"datagrams"`
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
	// Servers is the member's version of the list of backend servers.
	Servers int64
	// ContactAge is the time since the member itself read the store.
	ContactAge time.Duration
}

// Live is a member that was heard a short while ago.
type Live struct {
	Member
	Status
	// Heard is when its last beat came.
	Heard time.Time

	mark uint32 // see markOf
}

// View is the members as one of them sees them. It is immutable.
type View struct {
	// Live are the members heard of late, this one included, sorted by VM.
	Live []Live
	// Known is how many members were heard of in the last minutes.
	Known int
	// Silent are members that were ready when they were heard last, a while ago.
	Silent []Live
	// set stands for the live members, duties for those that do not leave.
	set, duties uint32
}

// SameDuties reports whether the same members do duties in both views.
func (v *View) SameDuties(other *View) bool { return v.duties == other.duties }

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
	return uint32(score(m.VM, strconv.FormatUint(m.Incarnation, 16)))
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
			addresses = append(addresses, m.Caller)
		}
	}
	if v.isolated() {
		for _, m := range v.Silent {
			addresses = append(addresses, m.Caller)
		}
	}
	return addresses
}

// score is the rendezvous score of a member for a key.
func score(vm, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(vm)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Ranked are the members that do a duty, the first choice first.
func (v *View) Ranked(key string) []Live {
	ranked := make([]Live, 0, len(v.Live))
	for _, m := range v.Live {
		if !m.Leaving {
			ranked = append(ranked, m)
		}
	}
	slices.SortFunc(ranked, func(a, b Live) int {
		return cmp.Compare(score(b.VM, key), score(a.VM, key))
	})
	return ranked
}

// Readers are the members that read the store for all, the first choice first:
// two in different availability zones, then the others, which stand in.
func (v *View) Readers() []Live {
	ranked := v.Ranked("store")
	for i := 1; i < len(ranked); i++ {
		if ranked[i].Zone != ranked[0].Zone {
			second := ranked[i]
			ranked = slices.Insert(slices.Delete(ranked, i, i+1), 1, second)
			break
		}
	}
	return ranked
}

// ReaderRank is a member's place in the order of readers, 0 the first; one that
// is not in it, as it leaves, comes after all.
func (v *View) ReaderRank(vm string) int {
	ranked := v.Readers()
	for i, m := range ranked {
		if m.VM == vm {
			return i
		}
	}
	return len(v.Live)
}

// Place is a member's place in the order of the key.
func (v *View) Place(vm, key string) int {
	own := score(vm, key)
	place := 0
	for _, m := range v.Live {
		if m.VM != vm && m.Ready && !m.Leaving && score(m.VM, key) > own {
			place++
		}
	}
	return place
}

// Owner is the member that does a duty for something in the zone: the first
// choice of that zone, or of all where the zone has no member. False where there
// is none.
func (v *View) Owner(key, zone string) (Live, bool) {
	var best Live
	var bestScore uint64
	near, found := false, false
	for _, m := range v.Live {
		if m.Leaving {
			continue
		}
		same := m.Zone == zone
		if found && near && !same {
			continue
		}
		s := score(m.VM, key)
		if !found || same && !near || s > bestScore {
			best, bestScore, near, found = m, s, same, true
		}
	}
	return best, found
}
