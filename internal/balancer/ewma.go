package balancer

import (
	"math"
	"sync/atomic"
)

// ewma is an exponentially weighted moving average that is read without a lock. The
// zero value has no samples and reads as zero.
type ewma struct {
	bits atomic.Uint64
}

// value returns the average.
func (m *ewma) value() float64 { return math.Float64frombits(m.bits.Load()) }

// update adds a sample with a weight from 0 to 1. Of two concurrent samples one may be
// lost, which hardly changes the average.
func (m *ewma) update(sample, weight float64) {
	old := m.bits.Load()
	next := sample
	if old != 0 {
		value := math.Float64frombits(old)
		next = value + weight*(sample-value)
	}
	m.bits.CompareAndSwap(old, math.Float64bits(next))
}
