// Package logservice holds the client of the platform's HTTP services: the log
// service and the VM list.
package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Streams of the log service that the load balancer uses.
const (
	// StreamConfig carries the configuration and the seat records.
	StreamConfig = "config"
	// StreamSnapshots carries snapshots of the state that results from the config
	// stream.
	StreamSnapshots = "snapshots"
	// StreamSeals carries the seals of entries. A seal is the final record of a
	// stopped process's operations.
	StreamSeals = "seals"
)

// HeaderClient carries the name of the VM that sends a request to the platform.
const HeaderClient = "Chestnut-Client"

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position in its stream; the first is 0.
	Offset int64 `json:"offset"`
	// Data is the record as it was appended.
	Data json.RawMessage `json:"data"`
}

// Page is the result of one read.
type Page struct {
	// Records starts at the requested offset; empty if none arrived in time.
	Records []Record `json:"records"`
	// Next is the offset to continue reading from.
	Next int64 `json:"next"`
}

// Log is the append-only log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. If it fails with an
	// *UnavailableError whose NoEffect is false, the record may have been appended.
	Append(ctx context.Context, stream string, data json.RawMessage) (int64, error)
	// Read returns the records from an offset on. If there are none yet, it waits
	// for the first one for up to the given time. It fails with *ExpiredError or
	// *UnavailableError.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// VMList is the platform's list of live and leaving VMs, which may be out of date.
type VMList interface {
	// VMs returns the complete list, or an *UnavailableError.
	VMs(ctx context.Context) ([]fleet.VM, error)
}

// UnavailableError reports that the platform sent no usable response.
type UnavailableError struct {
	// Operation is the requested operation, such as "append config".
	Operation string
	// NoEffect is true if the request certainly had no effect.
	NoEffect bool
	// Status is the HTTP status, or 0 if there was no response.
	Status int
	// Err is the cause; nil if Status is the cause.
	Err error
}

// Error describes the operation, the cause and whether the request may have taken
// effect.
func (e *UnavailableError) Error() string {
	effect := "may have taken effect"
	if e.NoEffect {
		effect = "had no effect"
	}
	if e.Err == nil {
		return fmt.Sprintf("platform: %s: status %d; the request %s", e.Operation, e.Status, effect)
	}
	return fmt.Sprintf("platform: %s: %v; the request %s", e.Operation, e.Err, effect)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// ConflictError reports that a stream did not end at the expected position, as another record
// was appended before.
type ConflictError struct {
	// Stream is the stream that was to be appended to, and End the expected position.
	Stream string
	End    Position
}

// Error returns the stream and the expected position.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: append to %s: the stream does not end at %v", e.Stream, e.End)
}

// EpochError reports that a position is of another epoch than the log's present one.
type EpochError struct {
	// Stream is the stream that was read.
	Stream string
	// Position is the position that was read from, and Epoch the log's present epoch.
	Position Position
	Epoch    int64
}

// Error returns the stream, the position and the present epoch.
func (e *EpochError) Error() string {
	return fmt.Sprintf("platform: position %v of %s is not of the present epoch %d", e.Position, e.Stream, e.Epoch)
}

// MalformedError reports that the records from a position on can't be told apart.
type MalformedError struct {
	// Stream is the stream that was read, and Position where.
	Stream   string
	Position Position
}

// Error returns the stream and the position.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("platform: malformed records of %s at %v", e.Stream, e.Position)
}

// ExpiredError reports that the requested records are no longer kept.
type ExpiredError struct {
	// Stream is the stream that was read.
	Stream string
	// Oldest is the oldest offset that is still kept.
	Oldest int64
	// Epoch is the log's present epoch, zero if it has none.
	Epoch int64
}

// Error returns the stream and the oldest kept offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("platform: records of %s before offset %d have expired", e.Stream, e.Oldest)
}
