package quota

import (
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Kind is what a limit counts.
type Kind uint8

const (
	// CallsPerSecond limits the calls that start in any second.
	CallsPerSecond Kind = iota
	// ConcurrentCalls limits the calls in progress.
	ConcurrentCalls
)

// limitKey identifies a limit, equally at all entries.
type limitKey struct {
	scope tree.Scope
	kind  Kind
}

// share returns the units of one seat. The shares of all seats add up to total,
// and a larger total never yields a smaller share. rotation selects the seats that
// get the remainder, so that small limits do not all fall on the same seats.
func share(total, seats, number int, rotation uint64) int {
	if seats <= 0 || number < 0 || number >= seats {
		return 0
	}
	position := (number + int(rotation%uint64(seats))) % seats
	return (total + position) / seats
}

// minShare returns the smallest share of a seat over several seat counts. While
// entries may use any of these counts, the sum of their smallest shares does not
// exceed the sum of the shares for any single count.
func minShare(total int, seatCounts []int, number int, rotation uint64) int {
	smallest := 0
	for i, seats := range seatCounts {
		s := share(total, seats, number, rotation)
		if i == 0 || s < smallest {
			smallest = s
		}
	}
	return smallest
}

// seatCounts returns the seat counts that some entry may still use.
func seatCounts(table seat.Table, applied int64, declared int) []int {
	if counts := table.SeatCounts(applied); len(counts) > 0 {
		return counts
	}
	return []int{declared}
}
