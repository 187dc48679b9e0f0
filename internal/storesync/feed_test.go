package storesync

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// log is a keyed log that can be down.
type log struct {
	mu      sync.Mutex
	records []logservice.KeyedRecord
	oldest  int64
	down    bool
	reads   int
}

var errDown = errors.New("down")

func (l *log) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, logservice.KeyedRecord{Key: key, Value: []byte(value), Offset: int64(len(l.records))})
}

func (l *log) Newest(context.Context, string) (logservice.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return logservice.KeyedPage{}, errDown
	}
	newest := map[string]logservice.KeyedRecord{}
	for _, r := range l.records {
		newest[r.Key] = r
	}
	page := logservice.KeyedPage{Next: int64(len(l.records))}
	for _, r := range newest {
		if !r.IsTombstone() {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (l *log) ReadKeyed(_ context.Context, _ string, from int64, _ time.Duration) (logservice.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return logservice.KeyedPage{}, errDown
	}
	if from < l.oldest {
		return logservice.KeyedPage{}, &logservice.ExpiredError{Oldest: l.oldest}
	}
	return logservice.KeyedPage{Records: append([]logservice.KeyedRecord(nil), l.records[from:]...), Next: int64(len(l.records))}, nil
}

func (l *log) Put(context.Context, string, string, []byte) error { return errDown }

// decode reads "STATE SEQUENCE" as a server.
func decode(key string, value []byte) (fleet.VM, error) {
	state, _, ok := strings.Cut(string(value), " ")
	if !ok {
		return fleet.VM{}, fmt.Errorf("%s: no server", key)
	}
	return fleet.VM{Name: key, State: fleet.State(state)}, nil
}

func decodeTree(value []byte) (*tree.Tree, error) {
	revision, err := strconv.ParseInt(string(value), 10, 64)
	return &tree.Tree{Revision: revision}, err
}

// subject is a feed with what it put in force.
type subject struct {
	*Syncer
	log     *log
	live    []cluster.LiveMember
	trees   []int64
	servers map[string]fleet.State
}

func newSubject() *subject {
	s := &subject{log: &log{}, servers: map[string]fleet.State{}}
	s.live = []cluster.LiveMember{{Member: cluster.Member{VM: "self", Zone: "a"}}}
	s.Syncer = New(Options{
		Log: s.log, ConfigStream: "config", ConfigKey: "config", ServersStream: "servers",
		DecodeTree: decodeTree, DecodeServer: decode, Self: "self",
		View:   func() *cluster.View { return &cluster.View{Live: s.live} },
		OnTree: func(t *tree.Tree) { s.trees = append(s.trees, t.Revision) },
		OnServers: func(vms []fleet.VM) {
			s.servers = map[string]fleet.State{}
			for _, vm := range vms {
				s.servers[vm.Name] = vm.State
			}
		},
	})
	return s
}

// Heartbeats are no change; a new state, a removal and a foreign record are.
func TestServersChange(t *testing.T) {
	s := newSubject()
	for _, step := range []struct {
		key, value string
		changes    bool
	}{
		{"a", "live 1", true},
		{"a", "live 2", false},
		{"b", "live 1", true},
		{"b", "leaving 2", true},
		{"c", "unreadable", false},
		{"a", "unreadable", true},
		{"a", "live 9", true},
		{"b", "", true},
	} {
		s.log.put(step.key, step.value)
		before := s.ServersVersion()
		if !s.readServers(t.Context()) {
			t.Fatal("not read")
		}
		if changed := s.ServersVersion() > before; changed != step.changes {
			t.Errorf("%v: version %d after %d", step, s.ServersVersion(), before)
		}
	}
	if len(s.servers) != 1 || s.servers["a"] != fleet.Live {
		t.Errorf("servers %v", s.servers)
	}
}

// The store has dropped the records that come next: the newest of each key tell
// what is there, and what is gone.
func TestForgottenHistory(t *testing.T) {
	s := newSubject()
	s.log.put("a", "live 1")
	s.log.put("b", "live 1")
	s.readServers(t.Context())
	s.log.put("b", "")
	s.log.put("c", "live 1")
	s.log.oldest = 4
	s.readServers(t.Context())
	if len(s.servers) != 2 || s.servers["a"] != fleet.Live || s.servers["c"] != fleet.Live {
		t.Errorf("servers %v", s.servers)
	}
}

// A peer's newer state is taken over, an older one never.
func TestPullNeverGoesBack(t *testing.T) {
	newer, older := newSubject(), newSubject()
	newer.log.put("a", "live 1")
	older.log.put("a", "live 1")
	newer.readServers(t.Context())
	older.readServers(t.Context())
	newer.log.put("a", "leaving 2")
	newer.log.put("b", "live 1")
	newer.readServers(t.Context())
	newer.putConfig(logservice.KeyedRecord{Key: "config", Value: []byte("7"), Offset: 3}, 4, "store")
	older.putConfig(logservice.KeyedRecord{Key: "config", Value: []byte("5"), Offset: 2}, 3, "store")

	clients := map[string]*Syncer{"newer": newer.Syncer, "older": older.Syncer}
	older.options.Client, newer.options.Client = direct{clients}, direct{clients}
	older.pull(t.Context(), cluster.LiveMember{Member: cluster.Member{PeerAddress: "newer"}, Status: cluster.Status{Revision: 7, ServersVersion: newer.ServersVersion()}})
	if older.Revision() != 7 || older.ServersVersion() != newer.ServersVersion() || older.servers["a"] != fleet.Leaving {
		t.Errorf("revision %d, servers %v at %d", older.Revision(), older.servers, older.ServersVersion())
	}
	before := len(newer.trees)
	older.putConfig(logservice.KeyedRecord{Key: "config", Value: []byte("6"), Offset: 9}, 10, "store")
	newer.pull(t.Context(), cluster.LiveMember{Member: cluster.Member{PeerAddress: "older"}, Status: cluster.Status{Revision: 99}})
	if older.Revision() != 7 || newer.Revision() != 7 || len(newer.trees) != before {
		t.Errorf("an older state was put in force: %v, %v", older.trees, newer.trees)
	}
}

// direct calls another feed in this process.
type direct struct{ feeds map[string]*Syncer }

func (d direct) Call(_ context.Context, address, _ string, args, reply any) error {
	return d.feeds[address].Receiver().Since(args.(SinceArgs), reply.(*SinceReply))
}

// A record that vanished while the store was away may be back soon: its server is
// used until the time for that has passed. One that said that it leaves is not.
func TestLapseIsHeld(t *testing.T) {
	s := newSubject()
	s.log.put("a", "live 1")
	s.log.put("b", "live 1")
	s.log.put("c", "leaving 1")
	s.readServers(t.Context())
	s.contact.Store(time.Now().Add(-5 * time.Second).UnixNano())
	for _, key := range []string{"a", "b", "c"} {
		s.log.put(key, "")
	}
	s.readServers(t.Context())
	if len(s.servers) != 2 {
		t.Fatalf("right after the store's return: %v", s.servers)
	}
	s.log.put("b", "live 2")
	s.readServers(t.Context())
	version := s.ServersVersion()
	s.putLapsed(time.Now().Add(lapseHold + time.Millisecond))
	if len(s.servers) != 1 || s.servers["b"] != fleet.Live {
		t.Errorf("after the time to come back: %v", s.servers)
	}
	if s.ServersVersion() <= version {
		t.Error("other members can't tell that a held removal was put in force")
	}
}

// The first two members in order read all the time, the next ones once nobody has
// reached the store for a while.
func TestTurnsToRead(t *testing.T) {
	s := newSubject()
	now := time.Now()
	s.contact.Store(now.Add(-10 * time.Second).UnixNano())
	s.live[0].LastSeen = now
	for i := range 9 {
		s.live = append(s.live, cluster.LiveMember{
			Member: cluster.Member{VM: fmt.Sprintf("vm-%d", i), Zone: string(rune('a' + i%3))},
			Status: cluster.Status{StoreReadAge: 300 * time.Millisecond}, LastSeen: now,
		})
	}
	last := now.Add(-time.Hour)
	for i := range s.live {
		s.options.Self = s.live[i].VM
		rank := s.rank()
		if due := s.readDue(now, last, 0); due != (rank < readers) {
			t.Errorf("rank %d: due %v while a reader has contact", rank, due)
		}
	}
	for i := range s.live {
		s.live[i].StoreReadAge = 10 * time.Second
	}
	for i := range s.live {
		s.options.Self = s.live[i].VM
		if !s.readDue(now, last, 0) {
			t.Errorf("rank %d does not stand in", s.rank())
		}
		if s.readDue(now, now.Add(-time.Second), 9) {
			t.Error("a member whose reads fail does not back off")
		}
	}
}

// An unreadable configuration leaves the one in force.
func TestUnreadableConfiguration(t *testing.T) {
	s := newSubject()
	s.putConfig(logservice.KeyedRecord{Key: "config", Value: []byte("3")}, 1, "store")
	s.putConfig(logservice.KeyedRecord{Key: "config", Value: []byte("x"), Offset: 1}, 2, "store")
	s.putConfig(logservice.KeyedRecord{Key: "other", Value: []byte("9"), Offset: 2}, 3, "store")
	if s.Revision() != 3 || len(s.trees) != 1 {
		t.Errorf("in force %d of %v", s.Revision(), s.trees)
	}
}
