// Package seat assigns the shares of the global limits to entries.
//
// A seat is a quota slot: one equal share of every global limit, assigned to one
// entry process by a log record. The tree declares the number of seats. An entry
// acquires units only of the shares of its own seats and of loans. A seat is claimed
// by a record on the config stream. The Table is a deterministic function of that
// stream: every entry that has applied the same records has the same Table.
//
// Nothing in a Table expires. A seat is reassigned only by a claim that names the
// holder that it replaces.
package seat

import (
	"encoding/json"
	"maps"
	"slices"
)

// Claim is the data of a "seat" record.
type Claim struct {
	// Seat is the number of the seat, from 0.
	Seat int `json:"seat"`
	// Incarnation is the entry process that claims the seat; empty releases it.
	Incarnation string `json:"incarnation"`
	// VM is the name of the VM on which that process runs; empty in a release.
	VM string `json:"vm"`
	// Previous is the incarnation that must hold the seat for the claim to be
	// accepted; empty means that the seat must be free.
	Previous string `json:"previous"`
}

// Holder describes the current assignment of a seat.
type Holder struct {
	// Incarnation is the entry process; empty if the seat was released.
	Incarnation string `json:"incarnation"`
	// VM is the name of its VM.
	VM string `json:"vm"`
	// Offset is the offset of the claim in the config stream.
	Offset int64 `json:"offset"`
	// Reused reports that another incarnation held the seat before, so that its
	// share may still be in use for a while.
	Reused bool `json:"reused,omitempty"`
}

// Resize records a change of the number of seats.
type Resize struct {
	// Seats is the number of seats from Offset on.
	Seats int `json:"seats"`
	// Offset is the offset of the record that changed the number.
	Offset int64 `json:"offset"`
}

// Table holds the assignment of seats and the changes of their number. It is
// immutable: Apply and Resize return a new Table. The zero Table has no holders.
// A Table marshals to JSON.
type Table struct {
	holders map[int]Holder
	resizes []Resize
}

// Apply returns the table after the claim at the given offset. For a claim that is
// not accepted, it returns the unchanged table and a *RangeError, *ConflictError or
// *InvalidClaimError.
func (t Table) Apply(offset int64, c Claim, seats int) (Table, error) {
	if c.Seat < 0 || c.Seat >= seats {
		return t, &RangeError{Seat: c.Seat, Seats: seats}
	}
	if c.Incarnation == c.Previous || (c.Incarnation == "") != (c.VM == "") {
		return t, &InvalidClaimError{Claim: c}
	}
	current, held := t.holders[c.Seat]
	if current.Incarnation != c.Previous {
		return t, &ConflictError{Claim: c, Holder: current.Incarnation}
	}
	next := Table{holders: maps.Clone(t.holders), resizes: t.resizes}
	if next.holders == nil {
		next.holders = make(map[int]Holder)
	}
	next.holders[c.Seat] = Holder{Incarnation: c.Incarnation, VM: c.VM, Offset: offset, Reused: held}
	return next, nil
}

// Resize returns the table after the number of seats was set to seats at the given
// offset. It must be called for every tree that takes effect. An unchanged number
// has no effect.
func (t Table) Resize(offset int64, seats int) Table {
	if n := len(t.resizes); n > 0 && t.resizes[n-1].Seats == seats {
		return t
	}
	resizes := append(slices.Clone(t.resizes), Resize{Seats: seats, Offset: offset})
	return Table{holders: t.holders, resizes: resizes}
}

// Holder returns the holder of the seat, and false if the seat is free.
func (t Table) Holder(seat int) (Holder, bool) {
	h := t.holders[seat]
	return h, h.Incarnation != ""
}

// HeldBy returns the seats of an incarnation in ascending order.
func (t Table) HeldBy(incarnation string) []int {
	var held []int
	for seat, h := range t.holders {
		if incarnation != "" && h.Incarnation == incarnation {
			held = append(held, seat)
		}
	}
	slices.Sort(held)
	return held
}

// Holders returns the distinct incarnations that hold a seat, sorted.
func (t Table) Holders() []string {
	var all []string
	for _, h := range t.holders {
		if h.Incarnation != "" {
			all = append(all, h.Incarnation)
		}
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Resizes returns the changes of the number of seats in order. The caller must not
// modify the slice.
func (t Table) Resizes() []Resize { return t.resizes }

// SeatCounts returns the numbers of seats that were active at the offset applied or
// at any later offset, in order.
func (t Table) SeatCounts(applied int64) []int {
	var counts []int
	for i, r := range t.resizes {
		superseded := i+1 < len(t.resizes) && t.resizes[i+1].Offset <= applied
		if !superseded {
			counts = append(counts, r.Seats)
		}
	}
	return counts
}

// tableJSON is the JSON form of a Table.
type tableJSON struct {
	Holders map[int]Holder `json:"holders"`
	Resizes []Resize       `json:"resizes,omitempty"`
}

// MarshalJSON returns the same bytes for equal tables.
func (t Table) MarshalJSON() ([]byte, error) {
	return json.Marshal(tableJSON{Holders: t.holders, Resizes: t.resizes})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (t *Table) UnmarshalJSON(data []byte) error {
	var d tableJSON
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*t = Table{holders: d.Holders, resizes: d.Resizes}
	return nil
}
