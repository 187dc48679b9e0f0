package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/account"
)

// readAheadBytes is the size of the read buffer, which may read that far past the
// end of one message.
const readAheadBytes = 4096

// decodedCopies is how often a message is in memory: as it came, and decoded.
const decodedCopies = 2

var errMessageTooLarge = errors.New("message is too large")

// Traffic counts the bytes of all connections. It is safe for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
}

// SentBytes returns the bytes sent since the start.
func (t *Traffic) SentBytes() int64 { return t.sent.Load() }

// ReceivedBytes returns the bytes received since the start.
func (t *Traffic) ReceivedBytes() int64 { return t.received.Load() }

// gobConn sends and receives gob messages on a connection. It limits the size of
// each received message and sets a deadline for each sent one.
type gobConn struct {
	conn    net.Conn
	counted *account.Conn // conn, if it was accepted; nil otherwise
	traffic *Traffic
	// maxMessage is the size of the largest message that is received, in bytes.
	maxMessage uint64
	remaining  int // bytes that may still be read for the current message
	decoder    *gob.Decoder
	buffer     *bufio.Writer
	encoder    *gob.Encoder
}

func newGobConn(conn net.Conn, traffic *Traffic) *gobConn {
	c := &gobConn{conn: conn, traffic: traffic, maxMessage: MaxMessageBytes}
	c.counted, _ = conn.(*account.Conn)
	c.decoder = gob.NewDecoder(&messageReader{r: bufio.NewReaderSize(c, readAheadBytes), begin: c.beginMessage})
	c.buffer = bufio.NewWriter(countingWriter{conn, traffic})
	c.encoder = gob.NewEncoder(c.buffer)
	return c
}

// Read implements io.Reader. It fails beyond the size limit of the current message.
func (c *gobConn) Read(p []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := c.conn.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	c.traffic.received.Add(int64(n))
	return n, err
}

// beginMessage checks the length of a message in bytes, before it is read. On an accepted connection it
// also counts the message and bounds the time in which it must come.
func (c *gobConn) beginMessage(length uint64) error {
	if length > c.maxMessage {
		c.counted.RefuseMessage()
		return errMessageTooLarge
	}
	if c.counted == nil || length <= readAheadBytes {
		return nil
	}
	if !c.counted.BeginMessage(decodedCopies * int64(length)) {
		return account.ErrShed
	}
	return c.conn.SetReadDeadline(time.Now().Add(messageTimeout))
}

// nextMessage resets the size limit for the next message.
func (c *gobConn) nextMessage() { c.remaining = MaxMessageBytes + readAheadBytes }

// write sends a header and a body as one message. It fails with rpc.ErrShutdown if
// the connection was already closed, so that nothing of the message was sent.
func (c *gobConn) write(header, body any) error {
	if c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return rpc.ErrShutdown
	}
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// countingWriter counts the sent bytes.
type countingWriter struct {
	w       io.Writer
	traffic *Traffic
}

func (c countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// serverCodec implements rpc.ServerCodec. It reads no further request while its
// connection has maxCallsPerConn unanswered calls.
type serverCodec struct {
	*gobConn
	slots chan struct{}
}

func newServerCodec(conn net.Conn, traffic *Traffic, maxMessage uint64) *serverCodec {
	c := &serverCodec{gobConn: newGobConn(conn, traffic), slots: make(chan struct{}, maxCallsPerConn)}
	c.maxMessage = maxMessage
	return c
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	c.counted.EndMessage()
	if err := c.conn.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return err
	}
	c.nextMessage()
	return c.decoder.Decode(r)
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.slots }()
	err := c.write(r, body)
	if err != nil {
		c.conn.Close()
	}
	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *gobConn }

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	err := c.write(r, body)
	if err != nil {
		c.conn.Close()
	}
	return err
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.nextMessage()
	return c.decoder.Decode(r)
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

func (c *clientCodec) Close() error { return c.conn.Close() }
