package logservice

import (
	"context"
	"time"
)

// KeyedRecord is one record of a stream that keeps the newest value of each key.
type KeyedRecord struct {
	// Key names what the record is about.
	Key string
	// Value is the newest value; empty where the key was dropped.
	Value []byte
	// Offset is the record's place in its stream.
	Offset int64
}

// IsTombstone reports whether the record says that the key is gone.
func (r KeyedRecord) IsTombstone() bool { return len(r.Value) == 0 }

// KeyedPage is one answer to a read of a keyed stream.
type KeyedPage struct {
	// Records are in the order of their offsets.
	Records []KeyedRecord
	// Next is the offset to read on from.
	Next int64
}

// CompactedLog is a log service that keeps the newest record of each key for ever.
// Implementations are safe for concurrent use. Their errors are *ExpiredError
// and *UnavailableError.
type CompactedLog interface {
	// Newest returns the newest record of each key. Every later change is at
	// Next or behind it; a change may be in both.
	Newest(ctx context.Context, stream string) (KeyedPage, error)
	// ReadKeyed returns the records from an offset on and waits that long for
	// the first one.
	ReadKeyed(ctx context.Context, stream string, from int64, wait time.Duration) (KeyedPage, error)
	// Put appends a record.
	Put(ctx context.Context, stream, key string, value []byte) error
}
