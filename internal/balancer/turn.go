package balancer

import (
	"sync/atomic"
	"time"
)

// Entries that all wait for a place and all learn at the same moment of the same
// free one would all send there. So each server has an order of the entries, and
// one that was full is offered to them in that order: each waits for its turn,
// which is long enough to hear that an earlier one has taken the place.

const (
	// turnLength is the time between two turns: a datagram's way and its handling.
	turnLength = 1500 * time.Microsecond
	// orderWeight is what the last place in a server's order counts, in usual
	// works: of servers that are equally good each entry prefers its own.
	orderWeight = 0.3
)

// turn is this entry's place in the order of one server.
type turn struct {
	place    atomic.Int32  // 0 is the first
	weight   atomic.Uint32 // of the place, in thousandths of a usual work
	lastFull atomic.Int64  // when the server was seen full last, Unix nanoseconds
}

// set puts a place among a number of entries in force.
func (t *turn) set(place, entries int) {
	t.place.Store(int32(place))
	t.weight.Store(uint32(1000 * orderWeight * float64(place) / float64(max(entries, 1))))
}

// cost is what the place counts in usual works.
func (t *turn) cost() float64 { return float64(t.weight.Load()) / 1000 }

// waits reports whether a server that has a free place is still another entry's.
func (t *turn) waits(now int64) bool {
	return now-t.lastFull.Load() < int64(t.place.Load())*int64(turnLength)
}

// SetEntryOrder puts this entry's place in the order of each server in force.
func (b *Balancer) SetEntryOrder(place func(server string) int, entries int) {
	for _, h := range b.snapshot.Load().hosts {
		h.order.set(place(h.vm.Name), entries)
	}
}
