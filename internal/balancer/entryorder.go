package balancer

import (
	"sync/atomic"
	"time"
)

// If all entries wait for a slot and find out about the same free one at the same time, all of
// them would send to it (a thundering herd). So each server has an order of entries. After
// the server was full, the entries may send to it one after the other in that order, at
// intervals long enough to receive that an earlier entry has taken the slot.

const (
	// staggerInterval is the time between two entries of the order: the transfer and the
	// handling of a datagram.
	staggerInterval = 1500 * time.Microsecond
	// maxStaggered is the number of positions that are staggered. Entries further back
	// send together with the last of them: in a large cluster few of them want the slot,
	// and a slot must not stay free for the time that hundreds of positions take.
	maxStaggered = 40
	// lastPositionCost is the cost of the last position in a server's order, in nominal
	// service times: of servers with equal scores, entries prefer different ones.
	lastPositionCost = 0.3
)

// entryOrder holds this entry's position in the order of one server.
type entryOrder struct {
	position        atomic.Int32  // 0 is first
	costThousandths atomic.Uint32 // of the position, in thousandths of a nominal service time
	lastFullAt      atomic.Int64  // when the server was last seen full, in Unix nanoseconds
}

// set sets the position and the number of entries in the order.
func (o *entryOrder) set(position, entries int) {
	o.position.Store(int32(position))
	o.costThousandths.Store(uint32(1000 * lastPositionCost * float64(position) / float64(max(entries, 1))))
}

// cost returns the cost of the position in nominal service times.
func (o *entryOrder) cost() float64 { return float64(o.costThousandths.Load()) / 1000 }

// mustWait reports whether entries earlier in the order still have the first claim on a
// free slot.
func (o *entryOrder) mustWait(now int64) bool {
	return now-o.lastFullAt.Load() < int64(min(o.position.Load(), maxStaggered))*int64(staggerInterval)
}

// SetEntryOrder sets this entry's position in the order of each server. position returns
// it for a server, from 0 to entries-1.
func (b *Balancer) SetEntryOrder(position func(server string) int, entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := *b.snapshot.Load()
	for _, be := range next.byName {
		be.entryOrder.set(position(be.vm.Name), entries)
	}
	next.orderNear()
	b.snapshot.Store(&next)
}
