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
func (e *ewma) value() float64 { return math.Float64frombits(e.bits.Load()) }

// update adds a sample with a weight from 0 to 1. Of two concurrent samples one may be
// lost, which hardly changes the average.
func (e *ewma) update(sample, weight float64) {
	old := e.bits.Load()
	next := sample
	if old != 0 {
		value := math.Float64frombits(old)
		next = value + weight*(sample-value)
	}
	e.bits.CompareAndSwap(old, math.Float64bits(next))
}
