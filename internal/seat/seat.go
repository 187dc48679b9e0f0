// Package seat says which entry holds which share of the voted limits.
//
// The tree declares a number of seats. Each voted limit is split into as many
// shares, and an entry spends only the shares of the seats that it holds. A seat
// is claimed by a record on the config stream, so the Table is a pure fold of
// that stream: every entry that applied the same records has the same Table.
//
// Nothing in a Table expires. A seat changes hands only by a claim that names
// the holder that it replaces.
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
	// Incarnation is the entry process that takes the seat; empty gives it up.
	Incarnation string `json:"incarnation"`
	// VM is the name of the VM on which that process runs.
	VM string `json:"vm"`
	// Previous is the incarnation that must hold the seat for the claim to hold;
	// empty means that nobody may hold it.
	Previous string `json:"previous"`
}

// Holder is who holds a seat.
type Holder struct {
	// Incarnation is the entry process; empty where the seat was given up.
	Incarnation string `json:"incarnation"`
	// VM is the name of its VM.
	VM string `json:"vm"`
	// Offset is the offset of the claim.
	Offset int64 `json:"offset"`
	// Reused tells that another incarnation held the seat before, so that its
	// share may still be in use for a while.
	Reused bool `json:"reused,omitempty"`
}

// Resize is a change of the number of seats.
type Resize struct {
	// Seats is the number of seats from Offset on.
	Seats int `json:"seats"`
	// Offset is the offset of the record that changed the number.
	Offset int64 `json:"offset"`
}

// Table is an immutable value: Apply and Resize return a new one. The zero Table
// has no holders. It marshals to JSON.
type Table struct {
	holders map[int]Holder
	resizes []Resize
}

// Apply returns the table after the claim at that offset. A claim that does not
// hold leaves the table as it is and returns a *RangeError, *ConflictError or
// *InvalidError.
func (t Table) Apply(offset int64, c Claim, seats int) (Table, error) {
	if c.Seat < 0 || c.Seat >= seats {
		return t, &RangeError{Seat: c.Seat, Seats: seats}
	}
	if c.Incarnation == c.Previous || (c.Incarnation == "") != (c.VM == "") {
		return t, &InvalidError{Claim: c}
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

// Resize returns the table after the number of seats became seats at that
// offset. The fold calls it whenever a tree comes into force; an unchanged
// number changes nothing.
func (t Table) Resize(offset int64, seats int) Table {
	if n := len(t.resizes); n > 0 && t.resizes[n-1].Seats == seats {
		return t
	}
	resizes := append(slices.Clone(t.resizes), Resize{Seats: seats, Offset: offset})
	return Table{holders: t.holders, resizes: resizes}
}

// Holder returns who holds the seat; false if nobody does.
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

// Holders returns the distinct holders, sorted.
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

// Resizes returns the changes of the number of seats in order; the caller does
// not change it.
func (t Table) Resizes() []Resize { return t.resizes }

// SeatCounts returns the numbers of seats that were in force at the offset applied or
// at any later one, in order.
func (t Table) SeatCounts(applied int64) []int {
	var sizes []int
	for i, r := range t.resizes {
		superseded := i+1 < len(t.resizes) && t.resizes[i+1].Offset <= applied
		if !superseded {
			sizes = append(sizes, r.Seats)
		}
	}
	return sizes
}

// document is the JSON form of a Table.
type document struct {
	Holders map[int]Holder `json:"holders"`
	Resizes []Resize       `json:"resizes,omitempty"`
}

// MarshalJSON returns the same bytes for equal tables.
func (t Table) MarshalJSON() ([]byte, error) {
	return json.Marshal(document{Holders: t.holders, Resizes: t.resizes})
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (t *Table) UnmarshalJSON(data []byte) error {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*t = Table{holders: d.Holders, resizes: d.Resizes}
	return nil
}
