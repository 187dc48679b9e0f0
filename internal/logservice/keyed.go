package logservice

import (
	"context"
	"time"
)

// KeyedRecord is one record of a compacted stream, which keeps the newest value of
// each key.
type KeyedRecord struct {
	// Key identifies the object that the record describes.
	Key string
	// Value is the newest value; empty if the key was deleted.
	Value []byte
	// Position is the record's position in its stream.
	Position Position
}

// IsTombstone reports whether the record deletes its key.
func (r KeyedRecord) IsTombstone() bool { return len(r.Value) == 0 }

// KeyedPage is the result of one read of a compacted stream.
type KeyedPage struct {
	// Records are in the order of their positions.
	Records []KeyedRecord
	// Next is the position to continue reading from.
	Next Position
	// Unreadable is the number of records that are left out as they can't be read.
	Unreadable int
	// End is the position after the newest record of the stream. It is beyond Next if the
	// page was cut, and zero if it is not known.
	End Position
}

// CompactedLog is a log service that keeps the newest record of each key forever.
// Implementations are safe for concurrent use. Their errors are *ExpiredError,
// *EpochError, *MalformedError, *ConflictError and *UnavailableError.
type CompactedLog interface {
	// Newest returns the newest record of each key. Every change that it lacks has
	// a position of Next or higher; a change that it contains may be there too.
	Newest(ctx context.Context, stream string) (KeyedPage, error)
	// ReadKeyed returns the records from a position on. If there are none yet, it
	// waits for the first one for up to the given time. It fails with *EpochError if
	// the position is of another epoch than the log's present one.
	ReadKeyed(ctx context.Context, stream string, from Position, wait time.Duration) (KeyedPage, error)
	// Put appends a record if the stream still ends at that position, the Next of a page that
	// Newest returned. Otherwise it fails with *ConflictError and appends nothing.
	Put(ctx context.Context, stream, key string, value []byte, end Position) error
}
