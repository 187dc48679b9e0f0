package main

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// scenario is one row: busy of the entries get all calls.
type scenario struct {
	name           string
	entries, busy  int
	limit, offered int
	// cut takes the busy entries off the network half way.
	cut bool
}

// result is what a scenario came to.
type result struct {
	most                  int // starts in any second
	first, last           float64
	busyBytes, otherBytes float64
	requests              float64
}

// run runs the scenario in real time.
func (s scenario) run(length time.Duration) (result, error) {
	fleet, err := newFleet(s)
	if err != nil {
		return result{}, err
	}
	defer fleet.close()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	starts := make([][]start, s.busy)
	begin := time.Now()
	var group sync.WaitGroup
	for _, e := range fleet.entries {
		group.Go(func() { e.limiter.Run(ctx) })
	}
	for i := range s.busy {
		group.Go(func() { starts[i] = fleet.entries[i].callers(ctx, begin, s.offered/s.busy) })
	}
	if s.cut {
		time.AfterFunc(length/4, func() { fleet.cut.Store(true) })
	}
	group.Wait()
	return s.summarize(fleet, slices.Concat(starts...), length), nil
}

func (s scenario) summarize(f *testFleet, starts []start, length time.Duration) result {
	last := count(starts, length/2, length)
	r := result{
		most:  mostInASecond(starts),
		first: float64(count(starts, 0, time.Second)) / float64(s.limit),
		last:  float64(last) / (float64(s.limit) * (length / 2).Seconds()),
	}
	for i, e := range f.entries {
		bytes := float64(e.bytes()) / length.Seconds()
		if i < s.busy {
			r.busyBytes += bytes / float64(s.busy)
		} else {
			r.otherBytes += bytes / float64(s.entries-s.busy)
		}
		r.requests += float64(e.requests.Load()) / length.Seconds()
	}
	return r
}

// start is an admitted call: it was admitted between from and to.
type start struct{ from, to time.Duration }

// mostInASecond returns the most calls that were certainly admitted within one
// half-open second.
func mostInASecond(starts []start) int {
	slices.SortFunc(starts, func(x, y start) int { return cmp.Compare(x.from, y.from) })
	most := 0
	for i, first := range starts {
		end := first.from + time.Second
		n := 0
		for _, s := range starts[i:] {
			if s.from >= end {
				break
			}
			if s.to < end {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func count(starts []start, from, to time.Duration) int {
	n := 0
	for _, s := range starts {
		if s.to >= from && s.to < to {
			n++
		}
	}
	return n
}

// callers offers calls at an even rate and returns those that were admitted.
func (e *entry) callers(ctx context.Context, begin time.Time, rate int) []start {
	var starts []start
	interval := time.Second / time.Duration(rate)
	for due := time.Now(); ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		from := time.Since(begin)
		release, refusal := e.limiter.TryAcquire(benchMember, benchService, benchRank)
		if refusal == nil {
			starts = append(starts, start{from: from, to: time.Since(begin)})
			release()
		}
	}
	return starts
}

// benchTree has one voted limit on the calls started.
func benchTree(s scenario) *tree.Tree {
	return &tree.Tree{
		Seats:  s.entries,
		Limits: []tree.Limit{{CallsPerSecond: s.limit}},
	}
}

// benchSeats gives each entry one seat.
func benchSeats(s scenario) (seat.Table, error) {
	var seats seat.Table
	var err error
	for i := range s.entries {
		claim := seat.Claim{Seat: i, Incarnation: name(i), VM: name(i)}
		if seats, err = seats.Apply(int64(i), claim, s.entries); err != nil {
			return seat.Table{}, err
		}
	}
	return seats, nil
}
