package operation

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

const (
	// callIDBytes is the length of the part of an operation id that the caller chooses.
	callIDBytes = 16
	// incarnationBytes is the length of the random part of a process's name.
	incarnationBytes = 12
)

// Nonce is the part of an operation id that the caller chooses at random.
type Nonce [callIDBytes]byte

// ID names an operation and binds it for ever to the incarnation that may run it.
type ID struct {
	// Incarnation is the random name of one process of the entry daemon.
	Incarnation string
	// Epoch is the part of the incarnation's life in which the ticket was handed out.
	Epoch uint32
	// Nonce is the caller's part.
	Nonce Nonce
}

// InvalidIDError is a header that is no operation id.
type InvalidIDError struct {
	// Header is the value as received.
	Header string
	// Problem says what is wrong with it.
	Problem string
}

// Error names the header and the problem.
func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("operation id %q: %s", e.Header, e.Problem)
}

// ParseID reads "<incarnation>:<epoch>.<32 hex digits>".
func ParseID(header string) (ID, error) {
	invalid := func(problem string) (ID, error) {
		return ID{}, &InvalidIDError{Header: header, Problem: problem}
	}
	ticket, call, ok := strings.Cut(header, ".")
	if !ok {
		return invalid("has no dot between ticket and call")
	}
	incarnation, epoch, ok := strings.Cut(ticket, ":")
	if !ok {
		return invalid("has no colon between incarnation and epoch")
	}
	if !isHex(incarnation, incarnationBytes) {
		return invalid("incarnation is not 24 lower-case hex digits")
	}
	number, err := strconv.ParseUint(epoch, 10, 32)
	if err != nil || strconv.FormatUint(number, 10) != epoch {
		return invalid("epoch is not a plain 32-bit number")
	}
	if !isHex(call, callIDBytes) {
		return invalid("call is not 32 lower-case hex digits")
	}
	id := ID{Incarnation: incarnation, Epoch: uint32(number)}
	_, _ = hex.Decode(id.Nonce[:], []byte(call))
	return id, nil
}

// isHex reports whether s is that many bytes in lower-case hex, so that one
// operation has one spelling.
func isHex(s string, length int) bool {
	if len(s) != hex.EncodedLen(length) {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil && s == strings.ToLower(s)
}

// String is the form of the Chestnut-Operation header.
func (id ID) String() string {
	return NewTicket(id.Incarnation, id.Epoch) + "." + hex.EncodeToString(id.Nonce[:])
}

// NewTicket is the part of an operation id that an entry hands out.
func NewTicket(incarnation string, epoch uint32) string {
	return incarnation + ":" + strconv.FormatUint(uint64(epoch), 10)
}

// NewIncarnation returns a random name for this process.
func NewIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never fails: crypto/rand ends the process instead
	return hex.EncodeToString(b[:])
}
