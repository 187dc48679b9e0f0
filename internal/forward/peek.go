package forward

// peekResult is what waits in the kernel for a connection's reader.
type peekResult int

const (
	// peekQuiet: nothing has arrived.
	peekQuiet peekResult = iota
	// peekData: bytes have arrived.
	peekData
	// peekClosed: the server has closed or reset the connection.
	peekClosed
)
