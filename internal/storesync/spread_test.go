package storesync

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// narrowLinks calls syncers in this process over links of a bounded rate. Replies of one
// member share its link, so each takes longer the more of them there are.
type narrowLinks struct {
	bytesPerSecond float64
	mu             sync.Mutex
	receivers      map[string]interface {
		Since(SinceArgs, *SinceReply) error
	}
	sending map[string]int
	sent    map[string]int // bytes, by member
}

func (l *narrowLinks) Call(ctx context.Context, address, _ string, args, reply any) error {
	l.mu.Lock()
	receiver := l.receivers[address]
	l.mu.Unlock()
	var got SinceReply
	if err := receiver.Since(args.(SinceArgs), &got); err != nil {
		return err
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(got); err != nil {
		return err
	}
	l.mu.Lock()
	l.sending[address]++
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.sending[address]--
		l.mu.Unlock()
	}()
	const slice = 5 * time.Millisecond
	for left := float64(encoded.Len()); left > 0; {
		l.mu.Lock()
		share := l.bytesPerSecond * slice.Seconds() / float64(l.sending[address])
		l.sent[address] += int(min(share, left))
		l.mu.Unlock()
		left -= share
		time.Sleep(slice)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	*reply.(*SinceReply) = got
	return nil
}

// largeConfiguration returns a configuration as text: its revision, and then routes like
// those of the users' platform, with names that do not repeat.
func largeConfiguration(revision, routes int) []byte {
	rng := rand.New(rand.NewPCG(1, uint64(revision)))
	var text bytes.Buffer
	fmt.Fprintf(&text, "%d\n", revision)
	for i := range routes {
		fmt.Fprintf(&text, `{"name":"r%x","host":"ficu95.example","pathPrefix":"/lohu%x/%x/","kind":"idempotent","service":"bookings",`+
			`"priority":%d,"timeout":"1500ms","targetLatency":"500ms","maxAttempts":2},`, rng.Uint32(), rng.Uint32(), i, i%3)
	}
	return text.Bytes()
}

func decodeLargeTree(value []byte) (*tree.Tree, error) {
	digits, _, _ := bytes.Cut(value, []byte("\n"))
	return decodeTree(digits)
}

// Pattern: the configuration grows by 1,400 routes on 98 entries whose links carry 10
// Mbit/s. One entry reads it from the store; it must be in force at all others within the
// 2.5 s that the users allow on such a site, and no link may be needed for more than that.
// One of 10,000 routes does not pass such links that often in time; it must still be in
// force within the 11 s of the size to design for.
func TestLargeConfigurationSpreads(t *testing.T) {
	const linkRate = 10e6 / 8
	entries := 98
	if raceEnabled {
		entries = 40 // as in TestRestartOfAllReadsTheStoreOnce
	}
	for _, size := range []struct {
		routes int
		bound  time.Duration
	}{{100, 2500 * time.Millisecond}, {1400, 2500 * time.Millisecond}, {10_000, 11 * time.Second}} {
		routes, bound := size.routes, size.bound
		synctest.Test(t, func(t *testing.T) {
			links := &narrowLinks{
				bytesPerSecond: linkRate, sending: map[string]int{}, sent: map[string]int{},
				receivers: map[string]interface {
					Since(SinceArgs, *SinceReply) error
				}{},
			}
			ctx, cancel := context.WithCancel(t.Context())
			var members []cluster.LiveMember
			var syncers []*Syncer
			var mu sync.Mutex // guards members
			view := func() *cluster.View {
				mu.Lock()
				defer mu.Unlock()
				return &cluster.View{Live: append([]cluster.LiveMember(nil), members...)}
			}
			for i := range entries {
				name := fmt.Sprintf("vm-%d", i)
				s := New(Options{
					Log: &fakeLog{}, ConfigStream: "config", ConfigKey: "config", ServersStream: "servers",
					DecodeTree: decodeLargeTree, DecodeServer: decode, Self: name, Zone: fmt.Sprint(i % 3), View: view, Client: links,
					OnTree: func(*tree.Tree) {}, OnServers: func([]fleet.VM) {},
				})
				syncers = append(syncers, s)
				members = append(members, cluster.LiveMember{Member: cluster.Member{VM: name, Zone: fmt.Sprint(i % 3), PeerAddress: name}})
				links.receivers[name] = s.Receiver()
				go s.pullFromPeers(ctx)
			}
			// Heartbeats: each entry announces its revision to all every 66 ms, one after
			// the other.
			go func() {
				for ctx.Err() == nil {
					for i, s := range syncers {
						mu.Lock()
						members[i].Revision = s.Revision()
						announced := members[i]
						mu.Unlock()
						for _, other := range syncers {
							other.ObservePeer(announced)
						}
						time.Sleep(66 * time.Millisecond / time.Duration(entries))
					}
				}
			}()
			value := largeConfiguration(2, routes)
			began := time.Now()
			syncers[0].applyConfig([]logservice.KeyedRecord{{Key: "config", Value: value, Position: position(0, 1)}}, position(0, 2), "store")
			late := entries
			for late > 0 && time.Since(began) < bound+time.Second {
				time.Sleep(5 * time.Millisecond)
				late = 0
				for _, s := range syncers {
					if s.Revision() != 2 {
						late++
					}
				}
			}
			took := time.Since(began)
			cancel()
			time.Sleep(time.Second)
			most := 0
			for _, sent := range links.sent {
				most = max(most, sent)
			}
			t.Logf("%d routes, %d KB: in force at all after %v; at most %d KB sent by one entry", routes, len(value)>>10, took, most>>10)
			if late > 0 || took > bound {
				t.Errorf("%d routes: %d of %d entries are late after %v, want all within %v", routes, late, entries, took, bound)
			}
			if limit := int(linkRate * bound.Seconds()); most > limit {
				t.Errorf("%d routes: one entry sent %d B, want at most the %d B that its link carries in time", routes, most, limit)
			}
		})
	}
}

// An entry that knows of a newer configuration must say so until it has it, and not for
// ever: the member that announced it may be gone.
func TestBehindUntilApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSyncer()
		if s.IsBehind() {
			t.Error("behind before any heartbeat")
		}
		newer := cluster.LiveMember{Member: cluster.Member{VM: "other"}, Status: cluster.Status{Revision: 7}}
		s.ObservePeer(newer)
		time.Sleep(100 * time.Millisecond)
		if !s.IsBehind() {
			t.Error("not behind after the heartbeat of a member with a newer revision")
		}
		s.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: []byte("7"), Position: position(0, 1)}}, position(0, 2), "store")
		if s.IsBehind() {
			t.Error("behind with the newest revision")
		}
		s.ObservePeer(cluster.LiveMember{Status: cluster.Status{Revision: 9}})
		time.Sleep(behindTime + time.Millisecond)
		if s.IsBehind() {
			t.Errorf("behind %v after the last heartbeat with a newer revision", behindTime)
		}
	})
}
