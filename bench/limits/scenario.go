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

// scenario is one row of the table. The first busyEntries entries get all calls.
type scenario struct {
	name                 string
	entries, busyEntries int
	limit, offered       int
	// partition disconnects the busy entries from the others after a quarter of the run.
	partition bool
}

// result holds the figures of a scenario.
type result struct {
	maxPerSecond                int // maximum admitted calls in any second
	firstSecondUse, lastHalfUse float64
	busyBytes, otherBytes       float64
	requests                    float64
}

// run runs the scenario in real time.
func (s scenario) run(length time.Duration) (result, error) {
	f, err := newFleet(s)
	if err != nil {
		return result{}, err
	}
	defer f.close()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	admitted := make([][]admittedCall, s.busyEntries)
	begin := time.Now()
	var group sync.WaitGroup
	for _, e := range f.entries {
		group.Go(func() { e.limiter.Run(ctx) })
	}
	for i := range s.busyEntries {
		group.Go(func() { admitted[i] = f.entries[i].offerCalls(ctx, begin, s.offered/s.busyEntries) })
	}
	if s.partition {
		time.AfterFunc(length/4, func() { f.partitioned.Store(true) })
	}
	group.Wait()
	return s.summarize(f, slices.Concat(admitted...), length), nil
}

func (s scenario) summarize(f *testFleet, admitted []admittedCall, length time.Duration) result {
	lastHalf := countAdmitted(admitted, length/2, length)
	r := result{
		maxPerSecond:   maxInASecond(admitted),
		firstSecondUse: float64(countAdmitted(admitted, 0, time.Second)) / float64(s.limit),
		lastHalfUse:    float64(lastHalf) / (float64(s.limit) * (length / 2).Seconds()),
	}
	for i, e := range f.entries {
		bytes := float64(e.bytes()) / length.Seconds()
		if i < s.busyEntries {
			r.busyBytes += bytes / float64(s.busyEntries)
		} else {
			r.otherBytes += bytes / float64(s.entries-s.busyEntries)
		}
		r.requests += float64(e.requests.Load()) / length.Seconds()
	}
	return r
}

// admittedCall is a call that was admitted at some time between from and to.
type admittedCall struct{ from, to time.Duration }

// maxInASecond returns the highest number of calls that were certainly admitted within
// one half-open second.
func maxInASecond(admitted []admittedCall) int {
	slices.SortFunc(admitted, func(x, y admittedCall) int { return cmp.Compare(x.from, y.from) })
	highest := 0
	for i, first := range admitted {
		end := first.from + time.Second
		n := 0
		for _, c := range admitted[i:] {
			if c.from >= end {
				break
			}
			if c.to < end {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

func countAdmitted(admitted []admittedCall, from, to time.Duration) int {
	n := 0
	for _, c := range admitted {
		if c.to >= from && c.to < to {
			n++
		}
	}
	return n
}

// offerCalls offers calls at an even rate and returns those that were admitted.
func (e *entry) offerCalls(ctx context.Context, begin time.Time, rate int) []admittedCall {
	var admitted []admittedCall
	interval := time.Second / time.Duration(rate)
	for due := time.Now(); ctx.Err() == nil; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		from := time.Since(begin)
		release, refusal := e.limiter.TryAcquire(benchMember, benchService, benchRank)
		if refusal == nil {
			admitted = append(admitted, admittedCall{from: from, to: time.Since(begin)})
			release()
		}
	}
	return admitted
}

// benchTree returns a tree with one global limit on the rate of calls.
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
		claim := seat.Claim{Seat: i, Incarnation: entryName(i), VM: entryName(i)}
		if seats, err = seats.Apply(int64(i), claim, s.entries); err != nil {
			return seat.Table{}, err
		}
	}
	return seats, nil
}
