package storesync

import (
	"strings"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// incompressible returns a configuration of that revision which takes several chunks.
func incompressible(revision int) []byte {
	return largeConfiguration(revision, 10_000)
}

// A member applies a newer configuration while its earlier one is being fetched. The
// fetch starts again and never mixes chunks of both.
func TestUpdateThatChangesWhileItIsFetched(t *testing.T) {
	source, target := newTestSyncer(), newTestSyncer()
	source.options.DecodeTree, target.options.DecodeTree = decodeLargeTree, decodeLargeTree
	apply := func(revision int) {
		source.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: incompressible(revision), Position: position(0, int64(revision))}}, position(0, int64(revision+1)), "store")
	}
	apply(1)
	receiver, calls := source.Receiver(), 0
	target.options.Client = callFunc(func(args SinceArgs, reply *SinceReply) error {
		calls++
		if calls == 3 {
			apply(2)
		}
		return receiver.Since(args, reply)
	})
	peer := cluster.LiveMember{Member: cluster.Member{VM: "source"}, Status: cluster.Status{Revision: 2}}
	if !target.pull(t.Context(), peer) || target.Revision() != 2 || string(target.config.Value) != string(incompressible(2)) {
		t.Errorf("revision %d after %d calls, want 2 with its whole value", target.Revision(), calls)
	}

	// A member that changes with each call is given up.
	other := newTestSyncer()
	other.options.DecodeTree, calls = decodeLargeTree, 0
	other.options.Client = callFunc(func(args SinceArgs, reply *SinceReply) error {
		calls++
		apply(2 + calls)
		return receiver.Since(args, reply)
	})
	other.pull(t.Context(), peer)
	if other.Revision() != 0 || calls > 2*(maxFetchRestarts+2) {
		t.Errorf("revision %d after %d calls of a member that changes with each", other.Revision(), calls)
	}
}

// Replies that make no sense end the fetch. Guards against a peer that sends an update byte by byte,
// which would keep this member from asking others, and against one that sends more than it announced.
func TestMalformedUpdates(t *testing.T) {
	for name, reply := range map[string]SinceReply{
		"nothing":            {},
		"no chunk":           {Size: 100},
		"too large":          {Size: maxUpdateBytes + 1, Chunk: []byte("x")},
		"more than its size": {Size: 10, Chunk: make([]byte, 1<<20)},
		"a byte a call":      {Size: maxUpdateBytes, Chunk: []byte("x")},
		"not compressed":     {Size: 5, Chunk: []byte("hello")},
		"an endless length":  {Size: 10, Chunk: []byte(strings.Repeat("\xff", 10))},
	} {
		s, calls := newTestSyncer(), 0
		s.options.Client = callFunc(func(_ SinceArgs, out *SinceReply) error {
			calls++
			*out = reply
			return nil
		})
		s.pull(t.Context(), cluster.LiveMember{Status: cluster.Status{Revision: 2}})
		if s.Revision() != 0 || calls > 2 {
			t.Errorf("%s: revision %d after %d calls, want none after one", name, s.Revision(), calls)
		}
	}
}
