// Package logservice holds the clients of the platform's HTTP services: the log
// service and the VM list.
package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Streams of the log service that the system uses.
const (
	// StreamConfig carries the configuration and the seat records.
	StreamConfig = "config"
	// StreamSnapshots carries states of the config stream at some offset.
	StreamSnapshots = "snapshots"
	// StreamSeals carries what entries that shut down know of their operations.
	StreamSeals = "seals"
)

// HeaderClient names the VM that sends a request to the platform.
const HeaderClient = "Chestnut-Client"

// Record is one record of a stream.
type Record struct {
	// Offset is the record's place in its stream; the first is 0.
	Offset int64 `json:"offset"`
	// Data is the record as it was appended.
	Data json.RawMessage `json:"data"`
}

// Page is one answer to a read.
type Page struct {
	// Records are those from the asked offset on; empty when none came in time.
	Records []Record `json:"records"`
	// Next is the offset to read on from.
	Next int64 `json:"next"`
}

// Log is the append-only log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds a record and returns its offset. An *UnavailableError whose
	// Certain is false leaves open whether the record was appended.
	Append(ctx context.Context, stream string, data json.RawMessage) (int64, error)
	// Read returns the records from an offset on and waits that long for the
	// first one. It fails with *ExpiredError or *UnavailableError.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// VMList is the platform's list of live and leaving VMs, which may lag.
type VMList interface {
	// VMs returns the whole list, or an *UnavailableError.
	VMs(ctx context.Context) ([]fleet.VM, error)
}

// UnavailableError reports that the platform gave no usable answer.
type UnavailableError struct {
	// Operation is what was asked, such as "append config".
	Operation string
	// NoEffect is true where the request certainly had no effect.
	NoEffect bool
	// Status is the HTTP status, or 0 where there was no answer.
	Status int
	// Err is the cause; nil where Status tells it.
	Err error
}

// Error says what was asked, what came back and whether it may have had an effect.
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

// ExpiredError reports that the asked records are no longer kept.
type ExpiredError struct {
	// Stream is the stream that was read.
	Stream string
	// Oldest is the oldest offset that is still kept.
	Oldest int64
}

// Error names the stream and the oldest kept offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("platform: records of %s before offset %d have expired", e.Stream, e.Oldest)
}
