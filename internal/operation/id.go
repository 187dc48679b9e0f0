package operation

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
)

const (
	// nonceBytes is the length of a Nonce.
	nonceBytes = 16
	// incarnationBytes is the length of the random id of a process.
	incarnationBytes = 12
)

// Nonce is the part of an operation id that the caller chooses at random.
type Nonce [nonceBytes]byte

// ID identifies an operation and assigns it permanently to the incarnation that
// may run it. It serves as an idempotency key.
type ID struct {
	// Incarnation is the random id of one process of the entry daemon.
	Incarnation string
	// Epoch numbers the time interval, counted from the start of the
	// incarnation, in which the ticket was issued.
	Epoch uint32
	// Nonce is the part that the caller chooses.
	Nonce Nonce
}

// InvalidIDError reports a header that is not a valid operation id.
type InvalidIDError struct {
	// Header is the value as received.
	Header string
	// Problem describes what is wrong with it.
	Problem string
}

// Error returns the header and the problem.
func (e *InvalidIDError) Error() string {
	return fmt.Sprintf("operation id %q: %s", e.Header, e.Problem)
}

// ParseID parses "<incarnation>:<epoch>.<32 hex digits>". The error is an
// *InvalidIDError.
func ParseID(header string) (ID, error) {
	invalid := func(problem string) (ID, error) {
		return ID{}, &InvalidIDError{Header: header, Problem: problem}
	}
	ticket, nonce, ok := strings.Cut(header, ".")
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
	if !isHex(nonce, nonceBytes) {
		return invalid("call is not 32 lower-case hex digits")
	}
	id := ID{Incarnation: incarnation, Epoch: uint32(number)}
	_, _ = hex.Decode(id.Nonce[:], []byte(nonce))
	return id, nil
}

// isHex reports whether s encodes length bytes in lower-case hex. Upper case is
// rejected, so that each operation has exactly one spelling.
func isHex(s string, length int) bool {
	if len(s) != hex.EncodedLen(length) {
		return false
	}
	_, err := hex.DecodeString(s)
	return err == nil && s == strings.ToLower(s)
}

// String returns the value of the Chestnut-Operation header.
func (id ID) String() string {
	return NewTicket(id.Incarnation, id.Epoch) + "." + hex.EncodeToString(id.Nonce[:])
}

// NewTicket returns the prefix of operation ids that an entry issues.
func NewTicket(incarnation string, epoch uint32) string {
	return incarnation + ":" + strconv.FormatUint(uint64(epoch), 10)
}

// NewIncarnation returns a random id for this process.
func NewIncarnation() string {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:]) // never returns an error: crypto/rand crashes the process instead
	return hex.EncodeToString(b[:])
}
