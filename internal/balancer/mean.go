package balancer

import (
	"math"
	"sync/atomic"
)

// mean is a decayed mean that is read without a lock. The zero mean has no
// samples and reads as zero.
type mean struct {
	bits atomic.Uint64
}

// value is the mean of the recent samples.
func (m *mean) value() float64 { return math.Float64frombits(m.bits.Load()) }

// learn takes in a sample with its weight from 0 to 1. A sample that meets
// another one at the same moment is lost, which the mean does not feel.
func (m *mean) learn(sample, weight float64) {
	old := m.bits.Load()
	next := sample
	if old != 0 {
		value := math.Float64frombits(old)
		next = value + weight*(sample-value)
	}
	m.bits.CompareAndSwap(old, math.Float64bits(next))
}
