package peer

import "time"

// MethodLend is the method that lends units of global limits.
const MethodLend = "Escrow.Lend"

// BorrowItem is the loan of units of one global limit.
type BorrowItem struct {
	// Limit identifies the limit's scope and kind.
	Limit uint64
	// Held is the maximum number of units that the borrower now holds from the
	// lender; it gave up the rest before it sent the message.
	Held int
	// Want is the number of units that it wants to hold, at least Held.
	Want int
	// Busy is the maximum time for which the borrower keeps one unit in use.
	Busy time.Duration
}

// BorrowRequest renews, enlarges or gives back the loans of one borrower at one
// lender. The loan's term is fixed. It starts when the request is sent for the
// borrower and when it arrives for the lender, so no common clock is needed.
type BorrowRequest struct {
	// Lender is the incarnation of the lender; another incarnation refuses.
	Lender string
	// Borrower is the incarnation of the borrower.
	Borrower string
	// Sequence grows with each request of the borrower; an older one is refused.
	Sequence uint64
	// Items are the loans, one for each limit.
	Items []BorrowItem
}

// BorrowReply is the reply to a BorrowRequest.
type BorrowReply struct {
	// Granted is the number of units that the borrower may hold, one for each item.
	// It may be less than Held; the borrower then gives up the difference as soon as
	// it can.
	Granted []int
}
