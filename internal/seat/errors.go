package seat

import "fmt"

// RangeError reports a claim whose seat number is not among the seats that the
// tree declares.
type RangeError struct{ Seat, Seats int }

// Error returns a message with the seat and the number of seats.
func (e *RangeError) Error() string {
	return fmt.Sprintf("seat %d is not among the %d declared", e.Seat, e.Seats)
}

// ConflictError reports a claim whose Previous does not match the current holder
// of the seat.
type ConflictError struct {
	Claim Claim
	// Holder is the incarnation that holds the seat; empty if it is free.
	Holder string
}

// Error returns a message with the seat, its holder and the expected holder.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("seat %d is held by %q, not by %q", e.Claim.Seat, e.Holder, e.Claim.Previous)
}

// InvalidClaimError reports a claim with an incarnation but no VM or the reverse, or one
// whose new and previous holders are the same.
type InvalidClaimError struct{ Claim Claim }

// Error returns a message with all fields of the claim.
func (e *InvalidClaimError) Error() string {
	return fmt.Sprintf("invalid claim of seat %d by %q on VM %q, replacing %q",
		e.Claim.Seat, e.Claim.Incarnation, e.Claim.VM, e.Claim.Previous)
}
