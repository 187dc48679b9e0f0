package logservice

import "fmt"

// Position is the position of a record in a compacted stream. It consists of the epoch of
// the log and the offset of the record.
//
// An epoch begins when the log was restored from an earlier copy of itself: what was
// appended since that copy is lost, and its offsets are given out again. Offsets of
// different epochs are therefore not comparable; positions are. They are ordered by epoch
// first, so what is read from a log last is never before what was read from it earlier.
//
// The zero Position is that of the first record of epoch 0.
type Position int64

// The parts of a Position, from the lowest bit on: the distance to the record at its offset,
// the offset and the epoch. The highest position is below 1<<52.
const (
	distanceBits = 2
	offsetBits   = 36
	epochBits    = 14

	recordDistance = 1 << distanceBits
	maxOffset      = 1<<offsetBits - 1
	maxEpoch       = 1<<epochBits - 1
)

// PositionError reports an epoch or an offset that a Position can't hold.
type PositionError struct{ Epoch, Offset int64 }

// Error returns the epoch and the offset.
func (e *PositionError) Error() string {
	return fmt.Sprintf("offset %d of epoch %d of the log is out of range", e.Offset, e.Epoch)
}

// NewPosition returns the position of the record at an offset. The error is a
// *PositionError.
func NewPosition(epoch, offset int64) (Position, error) {
	if epoch < 0 || epoch > maxEpoch || offset < 0 || offset > maxOffset {
		return 0, &PositionError{Epoch: epoch, Offset: offset}
	}
	return Position(epoch<<offsetBits|offset) << distanceBits, nil
}

// Epoch returns the epoch of the log.
func (p Position) Epoch() int64 { return int64(p >> (distanceBits + offsetBits)) }

// Offset returns the offset in that epoch.
func (p Position) Offset() int64 { return int64(p>>distanceBits) & maxOffset }

// Next returns the position of the record after this one.
func (p Position) Next() Position { return p | (recordDistance - 1) + 1 }

// Preceding returns one of the three positions between the record at p and the record
// before it: distance 1 is the one right before p. They are for what a reader concludes by
// itself from all records before p.
func (p Position) Preceding(distance int) Position { return p - Position(distance) }

// IsRecord reports whether there can be a record at the position, so that it is none that
// Preceding returned.
func (p Position) IsRecord() bool { return p%recordDistance == 0 }

// String returns the epoch and the offset.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Epoch(), p.Offset()) }
