package storesync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// restarted is a cluster whose members restart at the same time, with a store that they
// share. Each announces its versions to all others every 66 ms.
type restarted struct {
	log     *unnotifiedLog
	syncers []*testSyncer

	mu      sync.Mutex // guards members
	members []cluster.LiveMember
}

func (r *restarted) view() *cluster.View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &cluster.View{Live: append([]cluster.LiveMember(nil), r.members...)}
}

func newRestarted(entries, servers int) *restarted {
	r := &restarted{log: &unnotifiedLog{}}
	r.log.put("config", "7")
	for i := range servers {
		r.log.put(fmt.Sprintf("s%d", i), "live 1")
	}
	links := &narrowLinks{
		bytesPerSecond: 10e6 / 8, sending: map[string]int{}, sent: map[string]int{},
		receivers: map[string]interface {
			Since(SinceArgs, *SinceReply) error
		}{},
	}
	for i := range entries {
		s := newTestSyncer()
		name := fmt.Sprintf("vm-%d", i)
		s.options.Log, s.options.Client, s.options.Self, s.options.View = r.log, links, name, r.view
		s.options.Zone = fmt.Sprint(i % 3)
		r.syncers = append(r.syncers, s)
		r.members = append(r.members, cluster.LiveMember{Member: cluster.Member{VM: name, Zone: s.options.Zone, PeerAddress: name}})
		links.receivers[name] = s.Receiver()
	}
	return r
}

// heartbeats announces the versions of each member until ctx is done.
func (r *restarted) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for i, s := range r.syncers {
			r.mu.Lock()
			r.members[i].Revision, r.members[i].ServersVersion = s.Revision(), s.ServersVersion()
			r.members[i].StoreReadAge, r.members[i].LastSeen = s.StoreReadAge(time.Now()), time.Now()
			announced := r.members[i]
			r.mu.Unlock()
			for _, other := range r.syncers {
				other.ObservePeer(announced)
			}
		}
		time.Sleep(66 * time.Millisecond)
	}
}

// complete counts the members that have the configuration and all servers.
func (r *restarted) complete() int {
	n := 0
	for _, s := range r.syncers {
		if s.Revision() > 0 && s.ServersVersion() > 0 {
			n++
		}
	}
	return n
}

// Pattern: all entries of a large cluster restart at the same time. Their store calls have
// a price and a limit, so few of them read the store and the others take the state from
// these; all must have it within the two seconds that a restart may lag behind seeds.
func TestRestartOfAllReadsTheStoreOnce(t *testing.T) {
	large := 200
	if raceEnabled {
		large = 60 // the race detector's runtime does not bear more; see scripts/test
	}
	for _, c := range []struct{ entries, maxReads int }{{20, 20 * 4}, {large, 24}} {
		synctest.Test(t, func(t *testing.T) {
			r := newRestarted(c.entries, 720)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { r.heartbeats(ctx) })
			for _, s := range r.syncers {
				running.Go(func() { s.Run(ctx) })
			}
			time.Sleep(2 * time.Second)
			complete := r.complete()
			r.log.mu.Lock()
			reads := r.log.reads
			r.log.mu.Unlock()
			cancel()
			running.Wait()
			if complete != c.entries {
				t.Errorf("%d of %d members have the state 2 s after the restart", complete, c.entries)
			}
			if reads > c.maxReads {
				t.Errorf("%d members made %d reads of the store, want at most %d", c.entries, reads, c.maxReads)
			}
		})
	}
}
