package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/quota"
)

const (
	benchMember  = "bench"
	benchService = "shop"
	benchRank    = "lookups"
)

// entry is one limiter with its RPC server and client.
type entry struct {
	limiter     *quota.Limiter
	server      *peer.Server
	pool        *peer.Pool
	address     string
	requests    atomic.Int64
	partitioned *atomic.Bool // nil for an entry that is never partitioned
}

// testFleet holds all entries of a scenario.
type testFleet struct {
	entries     []*entry
	partitioned atomic.Bool
}

var errPartitioned = errors.New("network partition")

func entryName(i int) string { return fmt.Sprintf("entry%02d", i) }

func newFleet(s scenario) (*testFleet, error) {
	seats, err := benchSeats(s)
	if err != nil {
		return nil, err
	}
	f := &testFleet{}
	for i := range s.entries {
		e := &entry{}
		if i < s.busyEntries {
			e.partitioned = &f.partitioned
		}
		f.entries = append(f.entries, e)
		if err := f.startEntry(i, e); err != nil {
			f.close()
			return nil, err
		}
		e.limiter.SetTree(benchTree(s))
		e.limiter.SetSeats(seats)
	}
	return f, nil
}

func (f *testFleet) startEntry(i int, e *entry) error {
	e.server = peer.NewServer()
	e.pool = peer.NewPool(peer.Options{})
	e.limiter = quota.New(quota.Options{
		Incarnation: entryName(i),
		Client:      e,
		Peers:       f.peers,
		LastContact: time.Now, // the log is always reachable
	})
	if err := e.server.Register(quota.ReceiverName, e.limiter.Receiver()); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	go func() {
		// Serve returns when close closes the server.
		_ = e.server.Serve(listener)
	}()
	return nil
}

// peers returns all entries; each limiter skips itself.
func (f *testFleet) peers() []quota.Peer {
	peers := make([]quota.Peer, len(f.entries))
	for i, e := range f.entries {
		peers[i] = quota.Peer{Incarnation: entryName(i), Address: e.address}
	}
	return peers
}

// Call implements peer.Client.
func (e *entry) Call(ctx context.Context, address, method string, args, reply any) error {
	if e.partitioned != nil && e.partitioned.Load() {
		return errPartitioned
	}
	e.requests.Add(1)
	return e.pool.Call(ctx, address, method, args, reply)
}

// bytes returns the bytes that the entry sent and received for borrowing and lending.
func (e *entry) bytes() int64 {
	client, server := e.pool.Traffic(), e.server.Traffic()
	return client.SentBytes() + client.ReceivedBytes() + server.SentBytes() + server.ReceivedBytes()
}

func (f *testFleet) close() {
	for _, e := range f.entries {
		if e.pool != nil {
			e.pool.Close()
		}
	}
	for _, e := range f.entries {
		if e.server != nil {
			e.server.Close()
		}
	}
}
