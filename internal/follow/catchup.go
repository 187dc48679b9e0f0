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
	// logGrace is how long the log may take to deliver records that a peer has
	// already applied, before the peer is asked for them.
	logGrace = 300 * time.Millisecond
	// pullTimeout bounds one request to a peer.
	pullTimeout = 3 * time.Second
	// maxPeersAhead bounds the peers in peerOffsets.
	maxPeersAhead = 64
)

// peerOffsets holds the applied offsets of peers that are ahead of this entry.
type peerOffsets struct {
	wake chan struct{} // holds one token while there may be a peer ahead

	mu        sync.Mutex // guards byAddress
	byAddress map[string]int64
}

func newPeerOffsets() peerOffsets {
	return peerOffsets{wake: make(chan struct{}, 1), byAddress: map[string]int64{}}
}

// record notes the offset of a peer and wakes followPeers.
func (t *peerOffsets) record(address string, offset int64) {
	t.mu.Lock()
	if len(t.byAddress) < maxPeersAhead || t.byAddress[address] != 0 {
		t.byAddress[address] = max(t.byAddress[address], offset)
	}
	t.mu.Unlock()
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// takeFurthest removes and returns the peer that is furthest ahead of an offset,
// and false if there is none.
func (t *peerOffsets) takeFurthest(offset int64) (address string, ok bool) {
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

// ObservePeerOffset records that the entry at a peer address has applied an offset
// of the config stream.
func (f *Follower) ObservePeerOffset(address string, offset int64) {
	if offset > f.Current().Offset() {
		f.ahead.record(address, offset)
	}
}

// followPeers catches up from peers that are ahead until the context ends.
func (f *Follower) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.ahead.wake:
		}
		if f.reachable.Load() {
			pause(ctx, logGrace)
		}
		for ctx.Err() == nil {
			address, ok := f.ahead.takeFurthest(f.Current().Offset())
			if !ok {
				break
			}
			f.pull(ctx, address)
		}
	}
}

// pull requests what follows the current state from a peer and applies it.
func (f *Follower) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply := &peer.SinceReply{}
	args := &peer.SinceArgs{Offset: f.Current().Offset()}
	err := f.opts.Client.Call(ctx, address, peer.MethodSince, args, reply)
	if err == nil {
		err = f.applyReply(reply)
	}
	if err != nil {
		f.opts.Scope.Counter("config_pulls_failed").Inc(1)
		f.opts.Logger.Warn("cannot get configuration from peer", "peer", address, "error", err)
		return
	}
	f.opts.Scope.Counter("config_pulls").Inc(1)
	f.opts.Logger.Info("configuration received from peer", "peer", address, "offset", f.Current().Offset())
}

// DivergenceError reports that a peer's state differs at the same offset.
type DivergenceError struct {
	// Offset is the offset of both states.
	Offset int64
}

// Error describes the divergence and its likely cause.
func (e *DivergenceError) Error() string {
	return "follow: the state differs from the peer's at the same offset; check that both entries run the same version"
}

var errNothingNewer = errors.New("follow: the peer returned nothing newer")

// applyReply installs a peer's state or applies its records.
func (f *Follower) applyReply(reply *peer.SinceReply) error {
	if len(reply.State) > 0 {
		state, err := statemachine.Restore(reply.State)
		if err != nil {
			return err
		}
		f.installState(state, "peer")
		return nil
	}
	return f.applyPeerRecords(reply)
}

// applyPeerRecords applies a peer's records if they result in the peer's state.
// Otherwise it changes nothing and fails.
func (f *Follower) applyPeerRecords(reply *peer.SinceReply) error {
	records := make([]logservice.Record, len(reply.Records))
	for i, r := range reply.Records {
		records[i] = logservice.Record{Offset: r.Offset, Data: r.Data}
	}
	before := f.Current()
	next := before
	for _, r := range records {
		if r.Offset == next.Offset()+1 {
			next, _ = next.Apply(r.Offset, r.Data)
		}
	}
	if next == before {
		return errNothingNewer
	}
	if next.Offset() != reply.Offset || next.Hash() != reply.Hash {
		f.opts.Scope.Counter("config_hash_mismatch").Inc(1)
		return &DivergenceError{Offset: reply.Offset}
	}
	f.applyRecords(records)
	return nil
}
