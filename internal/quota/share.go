package quota

import (
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Kind is what a limit counts.
type Kind uint8

const (
	// CallsPerSecond limits the calls started in any second.
	CallsPerSecond Kind = iota
	// ConcurrentCalls limits the calls in progress.
	ConcurrentCalls
)

// limitKey identifies one limit on every entry.
type limitKey struct {
	scope tree.Scope
	kind  Kind
}

// share returns the units of one seat. The shares of all seats add up to total,
// and a larger total never has a smaller share. The rotation decides which seats
// get the remainder, so that small limits do not all fall on the same seats.
func share(total, seats, number int, rotation uint64) int {
	if seats <= 0 || number < 0 || number >= seats {
		return 0
	}
	position := (number + int(rotation%uint64(seats))) % seats
	return (total + position) / seats
}

// smallestShare returns the smallest share of a seat over several numbers of
// seats. Where entries may act on any of these numbers, the sum of their
// smallest shares is within the sum of the shares of each single number.
func smallestShare(total int, sizes []int, number int, rotation uint64) int {
	smallest := 0
	for i, seats := range sizes {
		s := share(total, seats, number, rotation)
		if i == 0 || s < smallest {
			smallest = s
		}
	}
	return smallest
}

// sizesOf returns the numbers of seats on which some entry may act.
func sizesOf(table seat.Table, applied int64, declared int) []int {
	if sizes := table.SeatCounts(applied); len(sizes) > 0 {
		return sizes
	}
	return []int{declared}
}
