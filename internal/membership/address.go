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

// candidate is an entry with its place in one caller's order.
type candidate struct {
	entry Entry
	class int
	late  bool // left out by the ramp for this caller
	hash  uint64
}

// SameRegion reports whether two availability zones are in one region.
type SameRegion func(zone, other string) bool

// Classes of candidates, first choice first. Within a region, an entry that has
// just come back ranks behind the others for those callers that its readiness
// leaves out, so that a ramp never sends a caller to another region.
const (
	classOwnZone = iota
	classOwnRegion
	classOtherRegion
	classSilent
)

// Addresses returns the entries that a caller may use, first choice first: its
// own zone, its region, then the others, spread by rendezvous hash of the caller.
// Entries
// that are draining, leaving, silent or without a configuration are left out.
// Where all others are silent, it is this entry that is cut off, so they follow
// behind: the caller may still reach them.
func (v *View) Addresses(zone, caller string, near SameRegion) []EntryAddress {
	candidates := make([]candidate, 0, len(v.Entries))
	for _, e := range v.Entries {
		if e.takesCallers() {
			candidates = append(candidates, newCandidate(e, zone, caller, near))
		}
	}
	if v.isAlone() {
		for _, e := range v.silent {
			if e.takesCallers() {
				c := newCandidate(e, zone, caller, near)
				c.class = classSilent
				candidates = append(candidates, c)
			}
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.class, b.class),
			compareLate(a.late, b.late),
			cmp.Compare(b.hash, a.hash),
			cmp.Compare(a.entry.Incarnation, b.entry.Incarnation),
		)
	})
	choices := make([]EntryAddress, len(candidates))
	for i, c := range candidates {
		choices[i] = EntryAddress{
			Address: c.entry.VM.Address,
			Zone:    c.entry.VM.Zone,
			Ticket:  fmt.Sprintf("%s:%d", c.entry.Incarnation, c.entry.Epoch),
		}
	}
	return choices
}

// compareLate puts those that the ramp leaves out behind.
func compareLate(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// isAlone reports whether this entry hears no other one.
func (v *View) isAlone() bool {
	return len(v.Entries) <= 1
}

func newCandidate(e Entry, zone, caller string, near SameRegion) candidate {
	hash := rendezvous(caller, e.VM.Name)
	c := candidate{entry: e, class: classOtherRegion, hash: hash, late: !isReadyFor(e, caller)}
	switch {
	case e.VM.Zone == zone && !c.late:
		c.class = classOwnZone
	case near(zone, e.VM.Zone):
		c.class = classOwnRegion
	}
	return c
}

// rendezvous scores an entry for a caller; the VM's name keeps the choice over
// a restart of the process.
func rendezvous(caller, name string) uint64 {
	return xxhash.Sum64String(caller + "\x00" + name)
}

// isReadyFor reports whether the caller is among the share of callers that an
// entry takes while its return is ramped.
func isReadyFor(e Entry, caller string) bool {
	if e.readiness >= 1 {
		return true
	}
	hash := xxhash.Sum64String(e.VM.Name + "\x00ramp\x00" + caller)
	return float64(hash)/math.MaxUint64 < e.readiness
}
