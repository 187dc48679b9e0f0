package main

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/quota"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	lenderName   = "0123456789abcdef0123456789abcdef"
	borrowerName = "fedcba9876543210fedcba9876543210"
	// benchLimit is far more than the measurements acquire.
	benchLimit = 1_000_000_000
	// idleTime is how long an idle limiter is measured.
	idleTime = 3 * time.Second
)

func limitMeasurements() []measurement {
	return []measurement{
		{
			name: "heap of a voted limit of 1,000 calls/s, fully spent", unit: "B/limit", sizes: []int{30, 120, 480},
			value: limitHeap,
		},
		{
			name: "processor time of spending", unit: "us/limit that governs the call", sizes: []int{1, 2, 4, 8},
			value: acquireCPU,
		},
		{
			name: "processor time of a ledger without borrowing, by limits", unit: "us/s/limit", sizes: []int{30, 120, 480},
			value: idleCPU,
		},
		{
			name: "processor time of lending, by limits in a request", unit: "us/limit", sizes: []int{1, 10, 100},
			value: lendCPU,
		},
		{
			name: "bytes of a borrow request and its reply on a kept connection", unit: "B/limit", sizes: []int{1, 10, 100},
			value: borrowBytes,
		},
	}
}

// newLimiter returns a limiter that holds the only seat, with one rate limit for each
// of count members.
func newLimiter(count, callsPerSecond int) (*quota.Limiter, error) {
	return newLimiterWith(count, callsPerSecond, quota.Options{})
}

func newLimiterWith(count, callsPerSecond int, opts quota.Options) (*quota.Limiter, error) {
	claim := seat.Claim{Incarnation: lenderName, VM: "entry-01"}
	seats, err := seat.Table{}.Apply(0, claim, 1)
	if err != nil {
		return nil, err
	}
	opts.Incarnation, opts.LastContact = lenderName, time.Now
	l := quota.New(opts)
	l.SetTree(limitTree(count, callsPerSecond))
	l.SetSeats(seats)
	return l, nil
}

func limitTree(count, callsPerSecond int) *tree.Tree {
	t := &tree.Tree{Seats: 1}
	for i := range count {
		scope := tree.Scope{Member: fmt.Sprint("member", i)}
		t.Limits = append(t.Limits, tree.Limit{Scope: scope, CallsPerSecond: callsPerSecond})
	}
	return t
}

func limitHeap(size int) (float64, error) {
	const callsPerSecond = 1000
	var failed error
	heap := heapOf(func() any {
		l, err := newLimiter(size, callsPerSecond)
		if err != nil {
			failed = err
			return nil
		}
		for range callsPerSecond {
			for i := range size {
				l.TryAcquire(fmt.Sprint("member", i), "service", "rank")
			}
		}
		return l
	})
	return heap, failed
}

func acquireCPU(size int) (float64, error) {
	l, err := newLimiter(0, 0)
	if err != nil {
		return 0, err
	}
	t := &tree.Tree{Seats: 1}
	for i := range size {
		// A scope has at most one rate limit and one concurrency limit, so two limits share
		// each scope.
		scopes := []tree.Scope{{}, {Member: "m"}, {Member: "m", Service: "s"}, {Member: "m", Service: "s", Rank: "r"}}
		t.Limits = append(t.Limits, tree.Limit{Scope: scopes[i/2], CallsPerSecond: benchLimit * (1 - i%2), ConcurrentCalls: benchLimit * (i % 2)})
	}
	l.SetTree(t)
	return cpuOf(func() {
		release, _ := l.TryAcquire("m", "s", "r")
		release()
	}), nil
}

// unreachableClient is a client without reachable peers; no request is expected.
type unreachableClient struct{}

func (unreachableClient) Call(context.Context, string, string, any, any) error {
	return &peer.UnreachableError{}
}

// idleCPU returns the CPU time, in microseconds per second, of a running limiter whose
// callers request nothing beyond its share.
func idleCPU(size int) (float64, error) {
	peers := make([]quota.Peer, 60)
	for i := range peers {
		peers[i] = quota.Peer{Incarnation: fmt.Sprintf("%032d", i)}
	}
	l, err := newLimiterWith(size, benchLimit, quota.Options{
		Client: unreachableClient{},
		Peers:  func() []quota.Peer { return peers },
	})
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), idleTime)
	defer cancel()
	before := processCPU()
	l.Run(ctx)
	return float64((processCPU() - before).Microseconds()) / idleTime.Seconds(), nil
}

// benchRequest returns a borrow request for count limits.
func benchRequest(count int, sequence uint64) *peer.BorrowRequest {
	r := &peer.BorrowRequest{Lender: lenderName, Borrower: borrowerName, Sequence: sequence}
	for i := range count {
		key := quota.LimitID(tree.Scope{Member: fmt.Sprint("member", i)}, quota.CallsPerSecond)
		r.Items = append(r.Items, peer.BorrowItem{Limit: key, Held: 10, Want: 20, Busy: time.Second})
	}
	return r
}

func lendCPU(size int) (float64, error) {
	l, err := newLimiter(size, benchLimit)
	if err != nil {
		return 0, err
	}
	request := benchRequest(size, 0)
	receiver := l.Receiver()
	var failed error
	micros := cpuOf(func() {
		request.Sequence++
		var reply peer.BorrowReply
		if err := receiver.Lend(request, &reply); err != nil {
			failed = err
		}
	})
	return micros, failed
}

// borrowBytes returns the size of a request and its reply. It measures the second
// exchange on a connection, as the first one also transfers the gob type definitions.
func borrowBytes(size int) (float64, error) {
	l, err := newLimiter(size, benchLimit)
	if err != nil {
		return 0, err
	}
	var requests, replies bytes.Buffer
	requestEncoder, replyEncoder := gob.NewEncoder(&requests), gob.NewEncoder(&replies)
	total := 0
	for sequence := range uint64(2) {
		requests.Reset()
		replies.Reset()
		request := benchRequest(size, sequence+1000)
		var reply peer.BorrowReply
		if err := l.Receiver().Lend(request, &reply); err != nil {
			return 0, err
		}
		if err := requestEncoder.Encode(request); err != nil {
			return 0, err
		}
		if err := replyEncoder.Encode(reply); err != nil {
			return 0, err
		}
		total = requests.Len() + replies.Len()
	}
	return float64(total), nil
}
