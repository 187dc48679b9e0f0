package logservice

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func mustPosition(t *rapid.T, epoch, offset int64) Position {
	p, err := NewPosition(epoch, offset)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Positions are ordered by epoch, then by offset, and what precedes a position lies between
// it and the record before it.
func TestPositionsAreOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epochs, offsets := rapid.Int64Range(0, maxEpoch-1), rapid.Int64Range(0, maxOffset-1)
		epoch, offset := epochs.Draw(t, "epoch"), offsets.Draw(t, "offset")
		p := mustPosition(t, epoch, offset)
		if p.Epoch() != epoch || p.Offset() != offset || !p.IsRecord() {
			t.Fatalf("position %v of epoch %d, offset %d", p, epoch, offset)
		}
		next := mustPosition(t, epoch, offset+1)
		if p.Next() != next {
			t.Fatalf("after %v comes %v, want %v", p, p.Next(), next)
		}
		for distance := 1; distance < recordDistance; distance++ {
			between := next.Preceding(distance)
			if between <= p || between >= next || between.IsRecord() || between.Next() != next {
				t.Fatalf("%v at distance %d of %v is not between it and %v", int64(between), distance, next, p)
			}
		}
		if later := mustPosition(t, epoch+1, offsets.Draw(t, "later offset")); later <= p {
			t.Fatalf("%v of a later epoch is not after %v", later, p)
		}
		if p < 0 || p >= 1<<52 {
			t.Fatalf("%v is %d, out of the range of numbers in heartbeats", p, p)
		}
	})
}

func TestPositionOutOfRange(t *testing.T) {
	for _, c := range [][2]int64{{-1, 0}, {0, -1}, {maxEpoch + 1, 0}, {0, maxOffset + 1}} {
		_, err := NewPosition(c[0], c[1])
		var positionError *PositionError
		if !errors.As(err, &positionError) {
			t.Errorf("epoch %d, offset %d: got error %v, want a PositionError", c[0], c[1], err)
		}
	}
}
