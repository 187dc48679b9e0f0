package peer

import "time"

// MethodLend is the method that lends allowance of voted limits.
const MethodLend = "Escrow.Lend"

// BorrowItem is about one voted limit.
type BorrowItem struct {
	// Limit identifies the limit's scope and kind.
	Limit uint64
	// Held is the most that the borrower now holds of the lender's allowance; it
	// has given up the rest before it sent the message.
	Held int
	// Want is how much it wants to hold, not less than Held.
	Want int
	// Busy is the longest time for which the borrower keeps one unit in use.
	Busy time.Duration
}

// BorrowRequest renews, enlarges or gives back the loans of one borrower at one
// lender. The loan runs for a fixed time from the sending of the request on the
// borrower's side and from its arrival on the lender's, so no clock is shared.
type BorrowRequest struct {
	// Lender is the incarnation that is asked; another one refuses.
	Lender string
	// Borrower is the incarnation that asks.
	Borrower string
	// Sequence grows with each request of the borrower; an older one is refused.
	Sequence uint64
	// Items are about one limit each.
	Items []BorrowItem
}

// BorrowReply answers a BorrowRequest.
type BorrowReply struct {
	// Granted is what the borrower may hold, one number an item. It may be less
	// than Held; the borrower then gives up the difference as soon as it can.
	Granted []int
}
