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
)

// readAheadBytes is how much a connection's buffer reads past one message.
const readAheadBytes = 4096

var errMessageTooLarge = errors.New("message is too large")

// Traffic counts the bytes of all connections. It is safe for concurrent use.
type Traffic struct {
	sent, received atomic.Int64
}

// SentBytes returns the bytes sent since the start.
func (t *Traffic) SentBytes() int64 { return t.sent.Load() }

// ReceivedBytes returns the bytes received since the start.
func (t *Traffic) ReceivedBytes() int64 { return t.received.Load() }

// link is a connection with gob messages, a limit on the size of each received
// message and a deadline on each sent one.
type link struct {
	conn    net.Conn
	traffic *Traffic
	left    int // bytes that the message being read may still take
	decoder *gob.Decoder
	buffer  *bufio.Writer
	encoder *gob.Encoder
}

func newLink(conn net.Conn, traffic *Traffic) *link {
	l := &link{conn: conn, traffic: traffic}
	l.decoder = gob.NewDecoder(bufio.NewReaderSize(l, readAheadBytes))
	l.buffer = bufio.NewWriter(countedWriter{conn, traffic})
	l.encoder = gob.NewEncoder(l.buffer)
	return l
}

// Read implements io.Reader within the limit of the message being read.
func (l *link) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	l.traffic.received.Add(int64(n))
	return n, err
}

// nextMessage allows the bytes of one more message.
func (l *link) nextMessage() { l.left = MaxMessageBytes + readAheadBytes }

// write sends a header and a body as one message. It fails with rpc.ErrShutdown
// where the connection had ended before, so that nothing of the message was sent.
func (l *link) write(header, body any) error {
	if l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
		return rpc.ErrShutdown
	}
	if err := l.encoder.Encode(header); err != nil {
		return err
	}
	if err := l.encoder.Encode(body); err != nil {
		return err
	}
	return l.buffer.Flush()
}

type countedWriter struct {
	w       io.Writer
	traffic *Traffic
}

func (c countedWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// serverCodec implements rpc.ServerCodec. It reads no further request while
// maxCallsPerConn of its connection are unanswered.
type serverCodec struct {
	*link
	slots chan struct{}
}

func newServerCodec(conn net.Conn, traffic *Traffic) *serverCodec {
	return &serverCodec{link: newLink(conn, traffic), slots: make(chan struct{}, maxCallsPerConn)}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.slots <- struct{}{}
	if err := c.conn.SetReadDeadline(time.Now().Add(keptIdle)); err != nil {
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
type clientCodec struct{ *link }

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
