package backend

import (
	"context"
	"fmt"
	"sync/atomic"
)

// slots runs a fixed number of requests at a time and queues a bounded number more.
type slots struct {
	free        chan struct{}
	queueLength int
	waiting     atomic.Int64
}

// load is the content of a load report.
type load struct {
	inflight, slots, queue, queueLength int
}

func newSlots(count, queueLength int) *slots {
	s := &slots{free: make(chan struct{}, count), queueLength: queueLength}
	for range count {
		s.free <- struct{}{}
	}
	return s
}

// acquire takes a slot, waiting in the queue if there is room. It returns false
// if the queue is full or ctx ends first.
func (s *slots) acquire(ctx context.Context) bool {
	select {
	case <-s.free:
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.queueLength) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case <-s.free:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *slots) release() { s.free <- struct{}{} }

func (s *slots) load() load {
	return load{
		inflight:    cap(s.free) - len(s.free),
		slots:       cap(s.free),
		queue:       int(s.waiting.Load()),
		queueLength: s.queueLength,
	}
}

func (l load) format(draining bool) string {
	flag := 0
	if draining {
		flag = 1
	}
	return fmt.Sprintf("inflight=%d,slots=%d,queue=%d,draining=%d", l.inflight, l.slots, l.queue, flag)
}
