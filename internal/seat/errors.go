package seat

import "fmt"

// RangeError reports a claim of a seat that the tree does not declare.
type RangeError struct{ Seat, Seats int }

// Error names the seat and the number of seats.
func (e *RangeError) Error() string {
	return fmt.Sprintf("seat %d is not among the %d declared", e.Seat, e.Seats)
}

// ConflictError reports a claim whose previous holder does not hold the seat.
type ConflictError struct {
	Claim Claim
	// Holder is the incarnation that holds the seat.
	Holder string
}

// Error names the seat and both holders.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("seat %d is held by %q, not by %q", e.Claim.Seat, e.Holder, e.Claim.Previous)
}

// InvalidError reports a claim that names no VM, or the holder as its own successor.
type InvalidError struct{ Claim Claim }

// Error names the claim.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid claim of seat %d by %q on VM %q, replacing %q",
		e.Claim.Seat, e.Claim.Incarnation, e.Claim.VM, e.Claim.Previous)
}
