package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

const (
	// offerGrace is how long the log may take to bring what a peer has already.
	offerGrace = 300 * time.Millisecond
	// pullTimeout is the deadline of asking a peer.
	pullTimeout = 3 * time.Second
	// maxOffers bounds the remembered peers that are ahead.
	maxOffers = 64
)

// offerTable holds the peers that are ahead.
type offerTable struct {
	wake chan struct{} // holds one token while there may be an offer

	mu        sync.Mutex // guards byAddress
	byAddress map[string]int64
}

func newOfferTable() offerTable {
	return offerTable{wake: make(chan struct{}, 1), byAddress: map[string]int64{}}
}

func (t *offerTable) add(address string, offset int64) {
	t.mu.Lock()
	if len(t.byAddress) < maxOffers || t.byAddress[address] != 0 {
		t.byAddress[address] = max(t.byAddress[address], offset)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// best removes and returns the peer that is furthest ahead of an offset.
func (t *offerTable) best(offset int64) (address string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	highest := offset
	for a, o := range t.byAddress {
		if o <= offset {
			delete(t.byAddress, a)
			continue
		}
		if o > highest {
			address, highest, ok = a, o, true
		}
	}
	delete(t.byAddress, address)
	return address, ok
}

// ObservePeerOffset tells that the entry at a peer address has applied an offset of the
// config stream.
func (f *Follower) ObservePeerOffset(address string, offset int64) {
	if offset > f.Current().Offset() {
		f.offers.add(address, offset)
	}
}

// followPeers catches up from peers that are ahead, until the context ends.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.offers.wake:
		}
		if f.reachable.Load() {
			pause(ctx, offerGrace)
		}
		for ctx.Err() == nil {
			address, ok := f.offers.best(f.Current().Offset())
			if !ok {
				break
			}
			f.pull(ctx, address)
		}
	}
}

// pull asks a peer for what follows the current state and applies it.
func (f *Follower) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply := &peer.SinceReply{}
	args := &peer.SinceArgs{Offset: f.Current().Offset()}
	err := f.opts.Client.Call(ctx, address, peer.MethodSince, args, reply)
	if err == nil {
		err = f.takeReply(reply)
	}
	if err != nil {
		f.opts.Scope.Counter("config_pulls_failed").Inc(1)
		f.opts.Logger.Warn("configuration not got from peer", "peer", address, "error", err)
		return
	}
	f.opts.Scope.Counter("config_pulls").Inc(1)
	f.opts.Logger.Info("configuration got from peer", "peer", address, "offset", f.Current().Offset())
}

// DivergenceError reports that a peer holds another state at the same offset.
type DivergenceError struct {
	// Offset is the offset of both states.
	Offset int64
}

// Error names the offset.
func (e *DivergenceError) Error() string {
	return "follow: the peer's state differs at the same offset; are both of one version?"
}

var errNothing = errors.New("follow: the peer had nothing newer")

func (f *Follower) takeReply(reply *peer.SinceReply) error {
	if len(reply.State) > 0 {
		state, err := statemachine.Restore(reply.State)
		if err != nil {
			return err
		}
		f.takeState(state, "peer")
		return nil
	}
	return f.takeRecords(reply)
}

// takeRecords applies a peer's records where they lead to the peer's state.
func (f *Follower) takeRecords(reply *peer.SinceReply) error {
	records := make([]logservice.Record, len(reply.Records))
	for i, r := range reply.Records {
		records[i] = logservice.Record{Offset: r.Offset, Data: r.Data}
	}
	before := f.Current()
	trial := before
	for _, r := range records {
		if r.Offset == trial.Offset()+1 {
			trial, _ = trial.Apply(r.Offset, r.Data)
		}
	}
	if trial == before {
		return errNothing
	}
	if trial.Offset() != reply.Offset || trial.Hash() != reply.Hash {
		f.opts.Scope.Counter("config_hash_mismatch").Inc(1)
		return &DivergenceError{Offset: reply.Offset}
	}
	f.applyRecords(records)
	return nil
}
