package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// EntryAddress is one entry that a caller may connect to.
type EntryAddress struct {
	// Address is where the entry serves callers.
	Address string `json:"address"`
	// Zone is the entry's availability zone.
	Zone string `json:"zone"`
	// Ticket is "incarnation:epoch", the prefix of operation ids.
	Ticket string `json:"ticket"`
}

// candidate is an entry with its sort keys for one caller.
type candidate struct {
	entry    Entry
	class    int
	deferred bool // outside the slow start share for this caller
	hash     uint64
}

// SameRegion reports whether two availability zones are in one region.
type SameRegion func(zone, other string) bool

// Classes of candidates, most preferred first. An entry in slow start sorts
// behind the others of its region for the callers outside its slow start share.
// It stays in its region's class, so slow start never sends a caller to another
// region.
const (
	classOwnZone = iota
	classOwnRegion
	classOtherRegion
	classSilent
)

// Addresses returns the entries that a caller may use, most preferred first: those
// in its own zone, in its region, then the others, each class ordered by
// rendezvous hashing of the caller. Entries that are draining, leaving, silent
// or without a configuration are omitted. If all other entries are silent, this
// entry itself is probably partitioned, so those that are not silent for longer than
// maxListedSilence are appended: the caller may still reach them.
func (v *View) Addresses(zone, caller string, sameRegion SameRegion) []EntryAddress {
	candidates := make([]candidate, 0, len(v.Entries))
	for _, e := range v.Entries {
		if e.takesCallers() {
			candidates = append(candidates, newCandidate(e, zone, caller, sameRegion))
		}
	}
	if v.isIsolated() {
		for _, e := range v.silent {
			if e.takesCallers() && v.builtAt.Sub(e.LastSeen) <= maxListedSilence {
				c := newCandidate(e, zone, caller, sameRegion)
				c.class = classSilent
				candidates = append(candidates, c)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			compareDeferred(a.deferred, b.deferred),
			cmp.Compare(b.hash, a.hash),
			cmp.Compare(a.entry.Incarnation, b.entry.Incarnation),
		)
	})
	addresses := make([]EntryAddress, len(candidates))
	for i, c := range candidates {
		addresses[i] = EntryAddress{
			Address: c.entry.VM.Address,
			Zone:    c.entry.VM.Zone,
			Ticket:  fmt.Sprintf("%s:%d", c.entry.Incarnation, c.entry.Epoch),
		}
	}
	return addresses
}

// compareDeferred sorts deferred candidates last.
func compareDeferred(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// isIsolated reports whether no other entry is live.
func (v *View) isIsolated() bool {
	return len(v.Entries) <= 1
}

func newCandidate(e Entry, zone, caller string, sameRegion SameRegion) candidate {
	hash := rendezvous(caller, e.VM.Name)
	c := candidate{entry: e, class: classOtherRegion, hash: hash, deferred: !isInSlowStartShare(e, caller)}
	switch {
	case e.VM.Zone == zone && !c.deferred:
		c.class = classOwnZone
	case sameRegion(zone, e.VM.Zone):
		c.class = classOwnRegion
	}
	return c
}

// rendezvous returns the rendezvous hash of a name for a caller. Hashing the VM's
// name keeps a caller's choice stable when the process restarts.
func rendezvous(caller, name string) uint64 {
	return xxhash.Sum64String(caller + "\x00" + name)
}

// isInSlowStartShare reports whether the caller is among the share of callers that
// the entry accepts as a first choice during slow start.
func isInSlowStartShare(e Entry, caller string) bool {
	if e.slowStartShare >= 1 {
		return true
	}
	hash := xxhash.Sum64String(e.VM.Name + "\x00ramp\x00" + caller)
	return float64(hash)/math.MaxUint64 < e.slowStartShare
}
