package storesync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// fakeLog is an in-memory keyed log that can be unavailable.
type fakeLog struct {
	mu      sync.Mutex
	records []logservice.KeyedRecord
	oldest  int64
	epoch   int64
	down    bool
	reads   int
	// malformed is the offset from which reads up to it can't be decoded, zero for none.
	malformed int64
}

var errDown = errors.New("down")

func (l *fakeLog) put(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, logservice.KeyedRecord{Key: key, Value: []byte(value)})
}

// position returns the position of an offset, which is in range in all tests.
func position(epoch, offset int64) logservice.Position {
	p, err := logservice.NewPosition(epoch, offset)
	if err != nil {
		panic(err)
	}
	return p
}

// from returns the records from an offset on. l.mu must be held.
func (l *fakeLog) from(offset int64) []logservice.KeyedRecord {
	records := slices.Clone(l.records[offset:])
	for i := range records {
		records[i].Position = position(l.epoch, offset+int64(i))
	}
	return records
}

func (l *fakeLog) Newest(context.Context, string) (logservice.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return logservice.KeyedPage{}, errDown
	}
	newest := map[string]logservice.KeyedRecord{}
	for _, r := range l.from(0) {
		newest[r.Key] = r
	}
	page := logservice.KeyedPage{Next: position(l.epoch, int64(len(l.records)))}
	for _, r := range newest {
		if !r.IsTombstone() {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

func (l *fakeLog) ReadKeyed(_ context.Context, stream string, from logservice.Position, _ time.Duration) (logservice.KeyedPage, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return logservice.KeyedPage{}, errDown
	}
	if offset := from.Offset(); offset < l.oldest || offset > int64(len(l.records)) {
		return logservice.KeyedPage{}, &logservice.ExpiredError{Oldest: l.oldest, Epoch: l.epoch}
	}
	if from.Epoch() != l.epoch {
		return logservice.KeyedPage{}, &logservice.EpochError{Stream: stream, Position: from, Epoch: l.epoch}
	}
	if l.malformed > 0 && from.Offset() <= l.malformed {
		return logservice.KeyedPage{}, &logservice.MalformedError{Stream: stream, Position: from}
	}
	return logservice.KeyedPage{Records: l.from(from.Offset()), Next: position(l.epoch, int64(len(l.records)))}, nil
}

func (l *fakeLog) Put(context.Context, string, string, []byte, logservice.Position) error {
	return errDown
}

// decode decodes a server from the text "STATE SEQUENCE".
func decode(key string, value []byte) (fleet.VM, error) {
	state, number, ok := strings.Cut(string(value), " ")
	sequence, err := strconv.ParseInt(number, 10, 64)
	if !ok || err != nil {
		return fleet.VM{}, fmt.Errorf("%s: no server", key)
	}
	return fleet.VM{Name: key, State: fleet.State(state), Sequence: sequence}, nil
}

func decodeTree(value []byte) (*tree.Tree, error) {
	revision, err := strconv.ParseInt(string(value), 10, 64)
	return &tree.Tree{Revision: revision}, err
}

func decodeRevision(value []byte) (int64, error) { return strconv.ParseInt(string(value), 10, 64) }

// testSyncer is a syncer that records what it applied.
type testSyncer struct {
	*Syncer
	log       *fakeLog
	live      []cluster.LiveMember
	revisions []int64
	servers   map[string]fleet.State
}

func newTestSyncer() *testSyncer {
	s := &testSyncer{log: &fakeLog{}, servers: map[string]fleet.State{}}
	s.live = []cluster.LiveMember{{Member: cluster.Member{VM: "self", Zone: "a"}}}
	s.Syncer = New(Options{
		Log: s.log, ConfigStream: "config", ConfigKey: "config", ServersStream: "servers",
		DecodeTree: decodeTree, DecodeRevision: decodeRevision, DecodeServer: decode, Self: "self",
		View:   func() *cluster.View { return &cluster.View{Live: s.live} },
		OnTree: func(t *tree.Tree) { s.revisions = append(s.revisions, t.Revision) },
		OnServers: func(vms []fleet.VM) {
			s.servers = map[string]fleet.State{}
			for _, vm := range vms {
				s.servers[vm.Name] = vm.State
			}
		},
	})
	return s
}

// A heartbeat alone does not change the version. A new state, a removal and a record
// that replaces a usable server by an unreadable one do.
func TestServersChange(t *testing.T) {
	s := newTestSyncer()
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
			t.Fatal("reading the servers failed")
		}
		if changed := s.ServersVersion() > before; changed != step.changes {
			t.Errorf("step %v: version %d after %d, want it to grow exactly if the step changes anything", step, s.ServersVersion(), before)
		}
	}
	if len(s.servers) != 1 || s.servers["a"] != fleet.Live {
		t.Errorf("servers %v, want only a, live", s.servers)
	}
}

// If the store no longer retains the next records, the newest record of each key shows
// which servers exist and which were removed.
func TestForgottenHistory(t *testing.T) {
	s := newTestSyncer()
	s.log.put("a", "live 1")
	s.log.put("b", "live 1")
	s.readServers(t.Context())
	s.log.put("b", "")
	s.log.put("c", "live 1")
	s.log.oldest = 4
	s.readServers(t.Context())
	if len(s.servers) != 2 || s.servers["a"] != fleet.Live || s.servers["c"] != fleet.Live {
		t.Errorf("servers %v, want a and c, live", s.servers)
	}
}

// A pull applies newer data of a peer and ignores older data.
func TestPullNeverGoesBack(t *testing.T) {
	newer, older := newTestSyncer(), newTestSyncer()
	newer.log.put("a", "live 1")
	older.log.put("a", "live 1")
	newer.readServers(t.Context())
	older.readServers(t.Context())
	newer.log.put("a", "leaving 2")
	newer.log.put("b", "live 1")
	newer.readServers(t.Context())
	newer.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: []byte("7"), Position: position(0, 3)}}, position(0, 4), "store")
	older.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: []byte("5"), Position: position(0, 2)}}, position(0, 3), "store")

	clients := map[string]*Syncer{"newer": newer.Syncer, "older": older.Syncer}
	older.options.Client, newer.options.Client = directClient{clients}, directClient{clients}
	older.pull(t.Context(), cluster.LiveMember{Member: cluster.Member{PeerAddress: "newer"}, Status: cluster.Status{Revision: 7, ServersVersion: newer.ServersVersion()}})
	if older.Revision() != 7 || older.ServersVersion() != newer.ServersVersion() || older.servers["a"] != fleet.Leaving {
		t.Errorf("after the pull: revision %d, servers %v at version %d; want revision 7, a leaving, the peer's version",
			older.Revision(), older.servers, older.ServersVersion())
	}
	before := len(newer.revisions)
	older.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: []byte("6"), Position: position(0, 9)}}, position(0, 10), "store")
	newer.pull(t.Context(), cluster.LiveMember{Member: cluster.Member{PeerAddress: "older"}, Status: cluster.Status{Revision: 99}})
	if older.Revision() != 7 || newer.Revision() != 7 || len(newer.revisions) != before {
		t.Errorf("an older configuration was applied: revisions %v and %v, want both to end at 7", older.revisions, newer.revisions)
	}
}

// pullAll pulls what the peer lacks of the source's data.
func pullAll(t *testing.T, peer, source *testSyncer) {
	t.Helper()
	peer.options.Client = directClient{map[string]*Syncer{"source": source.Syncer}}
	version, hash := source.ServersVersionAndHash()
	peer.pull(t.Context(), cluster.LiveMember{
		Member: cluster.Member{PeerAddress: "source"},
		Status: cluster.Status{Revision: source.Revision(), ServersVersion: version, ServersHash: hash},
	})
}

// A member that has just started read all servers after a removal, so it knows neither the
// server nor that it was removed. Whoever takes its version and position over must not miss
// the removal: the server that left would stay in use for good.
func TestRemovalIsNotSkipped(t *testing.T) {
	reader, other := newTestSyncer(), newTestSyncer()
	reader.log.put("a", "live 1")
	reader.log.put("b", "live 1")
	reader.readServers(t.Context())
	pullAll(t, other, reader)
	reader.log.put("a", "")
	reader.log.put("c", "live 1")
	starting := newTestSyncer()
	starting.options.Log = reader.log
	starting.readServers(t.Context())
	pullAll(t, reader, starting)
	pullAll(t, other, starting)
	reader.readServers(t.Context())
	pullAll(t, other, reader)
	for name, m := range map[string]*testSyncer{"reader": reader, "other": other} {
		if m.servers["a"] != "" || m.servers["c"] != fleet.Live {
			t.Errorf("%s: servers %v, want b and c", name, m.servers)
		}
	}
}

// directClient calls other syncers in this process.
type directClient struct{ syncers map[string]*Syncer }

func (d directClient) Call(_ context.Context, address, _ string, args, reply any) error {
	return d.syncers[address].Receiver().Since(args.(SinceArgs), reply.(*SinceReply))
}

// A registration that expired while the store was unavailable may return soon, so its
// server is used until the grace period ends. A server that was leaving is removed at
// once.
func TestLapseIsHeld(t *testing.T) {
	s := newTestSyncer()
	s.log.put("a", "live 1")
	s.log.put("b", "live 1")
	s.log.put("c", "leaving 1")
	s.readServers(t.Context())
	s.lastContact.Store(steady.Nanos(time.Now().Add(-5 * time.Second)))
	for _, key := range []string{"a", "b", "c"} {
		s.log.put(key, "")
	}
	s.readServers(t.Context())
	if len(s.servers) != 2 {
		t.Fatalf("right after the store's return: servers %v, want a and b", s.servers)
	}
	s.log.put("b", "live 2")
	s.readServers(t.Context())
	version := s.ServersVersion()
	s.applyDeferred(time.Now().Add(removalGrace + time.Millisecond))
	if len(s.servers) != 1 || s.servers["b"] != fleet.Live {
		t.Errorf("after the grace period: servers %v, want only b, live", s.servers)
	}
	if s.ServersVersion() <= version {
		t.Error("the version did not grow with a deferred removal, so peers would miss it")
	}
}

// An entry that started during an outage has its servers from another one. Its first read of
// the store must not remove, at all entries, the servers whose registrations expired meanwhile.
func TestLapseIsHeldByAMemberThatNeverRead(t *testing.T) {
	for name, firstRead := range map[string]func(*testSyncer){
		"changes": func(*testSyncer) {},
		"all":     func(s *testSyncer) { s.log.oldest = int64(len(s.log.records)) },
	} {
		reader, starting := newTestSyncer(), newTestSyncer()
		starting.options.Log = reader.log
		reader.log.put("a", "live 1")
		reader.log.put("b", "live 1")
		reader.readServers(t.Context())
		pullAll(t, starting, reader)
		reader.log.put("a", "")
		firstRead(starting)
		starting.readServers(t.Context())
		pullAll(t, reader, starting)
		if len(starting.servers) != 2 || len(reader.servers) != 2 {
			t.Errorf("first read of %s: servers %v, and %v at another member, want a and b", name, starting.servers, reader.servers)
		}
		starting.applyDeferred(time.Now().Add(removalGrace + time.Millisecond))
		if len(starting.servers) != 1 {
			t.Errorf("first read of %s, after the grace period: servers %v, want only b", name, starting.servers)
		}
	}
}

// The first two members in the order of readers read continuously, the others only when
// no member has reached the store for a while.
func TestTurnsToRead(t *testing.T) {
	s := newTestSyncer()
	now := time.Now()
	s.lastContact.Store(steady.Nanos(now.Add(-10 * time.Second)))
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
		position := s.readerPosition()
		if due := s.readDue(now, last, 0); due != (position < activeReaders) {
			t.Errorf("position %d: read due %v while a reader reaches the store, want it for the first two only", position, due)
		}
	}
	for i := range s.live {
		s.live[i].StoreReadAge = 10 * time.Second
	}
	for i := range s.live {
		s.options.Self = s.live[i].VM
		if !s.readDue(now, last, 0) {
			t.Errorf("position %d: no fallback read is due, though no member reaches the store", s.readerPosition())
		}
		if s.readDue(now, now.Add(-time.Second), 9) {
			t.Error("a read is due 1s after 9 failures, want a longer backoff")
		}
	}
}

// An unreadable configuration does not replace the active one, nor does a record of
// another key.
func TestUnreadableConfiguration(t *testing.T) {
	s := newTestSyncer()
	s.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: []byte("3")}}, position(0, 1), "store")
	s.applyConfig([]logservice.KeyedRecord{{Key: "config", Value: []byte("x"), Position: position(0, 1)}}, position(0, 2), "store")
	s.applyConfig([]logservice.KeyedRecord{{Key: "other", Value: []byte("9"), Position: position(0, 2)}}, position(0, 3), "store")
	if s.Revision() != 3 || len(s.revisions) != 1 {
		t.Errorf("active revision %d of %v, want only 3", s.Revision(), s.revisions)
	}
}

// callFunc is a client that calls a function.
type callFunc func(SinceArgs, *SinceReply) error

func (f callFunc) Call(_ context.Context, _, _ string, args, reply any) error {
	return f(args.(SinceArgs), reply.(*SinceReply))
}

// The records from a position on can't be told apart. The reader must not ask for them again at each
// read, and follow nothing any more: it reads the newest ones and goes on after them.
func TestMalformedRecordsArePassed(t *testing.T) {
	s := newTestSyncer()
	s.log.put("a", "live 1")
	s.log.put("config", "1")
	s.readServers(t.Context())
	s.readConfig(t.Context(), 0)
	s.log.put("b", "live 1")
	s.log.put("config", "2")
	s.log.malformed = 3
	s.readServers(t.Context())
	s.readConfig(t.Context(), 0)
	s.log.put("c", "live 1")
	s.log.put("config", "3")
	s.readServers(t.Context())
	s.readConfig(t.Context(), 0)
	if s.Revision() != 3 || len(s.servers) != 3 {
		t.Errorf("revision %d and servers %v, want 3 and a, b, c", s.Revision(), s.servers)
	}
}

// One record makes its decoder panic. It must not end this member, and then all others that read
// it; the records beside it are used.
func TestRecordThatPanicsIsIgnored(t *testing.T) {
	s := newTestSyncer()
	options := s.options
	panicking := "panics"
	options.DecodeServer = func(key string, value []byte) (fleet.VM, error) {
		if string(value) == panicking {
			panic("index out of range")
		}
		return decode(key, value)
	}
	options.DecodeTree = func(value []byte) (*tree.Tree, error) {
		if string(value) == panicking {
			panic("index out of range")
		}
		return decodeTree(value)
	}
	s.Syncer = New(options)
	s.log.put("a", "live 1")
	s.log.put("b", panicking)
	s.log.put("config", "4")
	s.log.put("config", panicking)
	for range 2 {
		s.readServers(t.Context())
		s.readConfig(t.Context(), 0)
		s.log.put("c", panicking)
	}
	if s.Revision() != 4 || len(s.servers) != 1 || s.servers["a"] != fleet.Live {
		t.Errorf("revision %d and servers %v, want 4 and a", s.Revision(), s.servers)
	}
}
