package forward

// peekResult is the state of a connection's receive buffer in the kernel.
type peekResult int

const (
	// peekEmpty: nothing has arrived.
	peekEmpty peekResult = iota
	// peekData: bytes have arrived.
	peekData
	// peekClosed: the server has closed or reset the connection.
	peekClosed
)
