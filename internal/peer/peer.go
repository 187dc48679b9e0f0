// Package peer is the protocol between entries: net/rpc over TCP with a
// handshake, a deadline on each call and bounded sizes.
//
// A connection starts with a preamble that carries the protocol version. After
// it, calls are gob messages: a field that the receiver does not know is ignored
// and one that the sender does not have stays zero. So a message type may get new
// fields, but a field never changes its meaning. Message types live in this
// package, one file per concern.
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
	// preambleMagic starts the preamble; the version byte follows.
	preambleMagic = "chestnut"
	// handshakeTimeout bounds the exchange of preambles.
	handshakeTimeout = time.Second
	// writeTimeout bounds writing one message.
	writeTimeout = 2 * time.Second
	// messageTimeout bounds reading one message that is larger than the read buffer. The largest takes
	// 14 s on a link of 10 Mbit/s.
	messageTimeout = 20 * time.Second
	// idleTimeout is how long the server keeps a connection without calls open.
	idleTimeout = time.Minute
	// MaxMessageBytes is the largest message; a connection that sends a larger
	// one is closed.
	MaxMessageBytes = 16 << 20
)

// Client calls methods of other entries.
type Client interface {
	// Call runs "Receiver.Method" at an address. It fails with *UnreachableError
	// if no reply was received, and with *RemoteError if the method failed. After
	// a failed call, args and reply may still be in use and must not be reused.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// UnreachableError reports that no reply was received from a peer.
type UnreachableError struct {
	// Address is the peer's address.
	Address string
	// Sent is false if the peer certainly received nothing of the call.
	Sent bool
	// Err is the cause.
	Err error
}

// Error returns the peer, whether the request may have been sent, and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("peer %s: no reply (request sent: %t): %v", e.Address, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// RemoteError is the error that the called method returned.
type RemoteError struct {
	// Address is the peer's address.
	Address string
	// Message is the method's error text.
	Message string
}

// Error returns the peer and the method's error text.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer %s: %s", e.Address, e.Message) }

var errPreamble = errors.New("malformed preamble: the remote side does not speak this protocol")

// handshake sends the preamble and checks the remote side's preamble.
func handshake(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	if _, err := conn.Write(append([]byte(preambleMagic), Version)); err != nil {
		return err
	}
	got := make([]byte, len(preambleMagic)+1)
	if _, err := io.ReadFull(conn, got); err != nil {
		return err
	}
	if string(got[:len(preambleMagic)]) != preambleMagic || got[len(preambleMagic)] == 0 {
		return errPreamble
	}
	return conn.SetDeadline(time.Time{})
}
