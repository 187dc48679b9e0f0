//go:build !unix

package forward

import "net"

// peekConn can't look into the kernel on this platform; conn.Read still detects
// unsolicited bytes.
func peekConn(net.Conn) peekResult { return peekQuiet }
