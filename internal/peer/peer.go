// Package peer is the protocol between entries: net/rpc over TCP with a
// handshake, a deadline on each call and bounded sizes.
//
// A connection starts with a preamble that carries the protocol version. After
// it, calls are gob messages: a field that the receiver does not know is passed
// over and one that the sender does not have stays zero, so a message type may
// grow but a field never changes its meaning. Message types live in this
// package, one file for each concern.
package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Version is the protocol version that this build speaks.
const Version = 1

const (
	// preambleMark starts each connection; the version byte follows.
	preambleMark = "chestnut"
	// handshakeTimeout bounds the exchange of preambles.
	handshakeTimeout = time.Second
	// writeTimeout bounds the writing of one message.
	writeTimeout = 2 * time.Second
	// keptIdle is how long a connection without calls is kept.
	keptIdle = time.Minute
	// MaxMessageBytes is the largest message; a connection that sends a larger
	// one is closed.
	MaxMessageBytes = 16 << 20
)

// Client calls methods of other entries.
type Client interface {
	// Call runs "Receiver.Method" at an address. It fails with *UnreachableError
	// where no answer came, and with *RemoteError where the method failed. After
	// a failed call args and reply may still be in use and must be dropped.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// UnreachableError reports that a peer gave no answer.
type UnreachableError struct {
	// Address is the peer's address.
	Address string
	// Sent is false where the peer certainly got nothing of the call.
	Sent bool
	// Err is the cause.
	Err error
}

// Error names the peer and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s: no answer (sent: %t): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RemoteError is the failure that the called method returned.
type RemoteError struct {
	// Address is the peer's address.
	Address string
	// Message is the method's error text.
	Message string
}

// Error names the peer and gives the method's error text.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer %s: %s", e.Address, e.Message) }

var errPreamble = errors.New("the other side does not speak this protocol")

// handshake sends the preamble and checks that of the other side.
func handshake(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte(preambleMark), Version)); err != nil {
		return err
	}
	got := make([]byte, len(preambleMark)+1)
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if string(got[:len(preambleMark)]) != preambleMark || got[len(preambleMark)] == 0 {
		return errPreamble
	}
	return conn.SetDeadline(time.Time{})
}
