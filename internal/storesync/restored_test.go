package storesync

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// restore replaces the log by a copy of its first records: the others are lost, and their
// offsets are given out again.
func (l *fakeLog) restore(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:records:records]
	l.oldest = min(l.oldest, int64(records))
	l.epoch++
}

// The store comes back from a copy, and the operator writes only the newest configuration
// again. The next one then gets an offset that was given out before, below the one from
// which the readers continue: they never saw it, and it was in force nowhere (incident of
// 2026-12-04).
func TestConfigurationAfterTheStoreWasRestored(t *testing.T) {
	for lost := 1; lost <= 4; lost++ {
		for rewritten := 0; rewritten <= lost; rewritten++ {
			s := newTestSyncer()
			for revision := 1; revision <= 5; revision++ {
				s.log.put("config", strconv.Itoa(revision))
			}
			s.readConfig(t.Context(), 0)
			s.log.restore(5 - lost)
			s.readConfig(t.Context(), 0)
			for i := range rewritten {
				s.log.put("config", strconv.Itoa(5-rewritten+i+1))
			}
			s.readConfig(t.Context(), 0)
			s.log.put("config", "6")
			s.readConfig(t.Context(), 0)
			if s.Revision() != 6 {
				t.Errorf("%d records lost, %d written again: revision %d is active, want 6", lost, rewritten, s.Revision())
			}
			for i := 1; i < len(s.revisions); i++ {
				if s.revisions[i] < s.revisions[i-1] {
					t.Errorf("%d records lost, %d written again: revisions %v went back", lost, rewritten, s.revisions)
				}
			}
		}
	}
}

// A position that the store refuses is given up: going on from it costs two paid calls for
// each read, without a pause.
func TestRefusedPositionIsReadOnce(t *testing.T) {
	s := newTestSyncer()
	for revision := 1; revision <= 5; revision++ {
		s.log.put("config", strconv.Itoa(revision))
	}
	s.readConfig(t.Context(), 0)
	s.log.restore(3)
	s.log.reads = 0
	const reads = 10
	for range reads {
		s.readConfig(t.Context(), 0)
	}
	if s.log.reads > reads+1 {
		t.Errorf("%d calls for %d reads after the store was restored, want one more than reads", s.log.reads, reads)
	}
}

// What servers write after the store was restored has lower offsets than what they wrote
// before. It has to be applied all the same, here and at peers.
func TestServersAfterTheStoreWasRestored(t *testing.T) {
	s, peer := newTestSyncer(), newTestSyncer()
	s.log.put("a", "live 1")
	s.log.put("b", "live 1")
	for i := range 8 {
		s.log.put("c", []string{"leaving ", "live "}[i%2]+strconv.Itoa(i))
	}
	s.readServers(t.Context())
	pullAll(t, peer, s)
	s.log.restore(2)
	s.log.put("c", "live 8") // written again
	s.readServers(t.Context())
	s.log.put("a", "leaving 2")
	s.log.put("d", "live 1")
	s.readServers(t.Context())
	pullAll(t, peer, s)
	want := map[string]fleet.State{"a": fleet.Leaving, "b": fleet.Live, "c": fleet.Live, "d": fleet.Live}
	for name, servers := range map[string]map[string]fleet.State{"reader": s.servers, "peer": peer.servers} {
		for key, state := range want {
			if servers[key] != state {
				t.Errorf("%s: server %s is %q, want %q", name, key, servers[key], state)
			}
		}
	}
}

// The copy has servers as live that left since, lacks one that came, and has one whose
// removal was wrong. What was acknowledged as leaving stays out, what lives stays in, and
// what the store still says once silent servers must be gone is believed. The same holds at
// a member that has not noticed, and at one that starts and knows only the copy.
func TestRestoredCopyRevivesNoServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unaware := newTestSyncer(), newTestSyncer()
		for _, key := range []string{"stays", "drains", "left", "returns"} {
			s.log.put(key, "live 1")
		}
		s.readServers(t.Context())
		s.log.put("drains", "leaving 2")
		s.log.put("left", "leaving 2")
		s.log.put("left", "")
		s.log.put("came", "live 1")
		s.log.put("returns", "")
		s.readServers(t.Context())
		pullAll(t, unaware, s)
		s.log.restore(4)
		s.readServers(t.Context())
		starting := newTestSyncer()
		starting.log = s.log
		starting.options.Log = s.log
		starting.readServers(t.Context())
		pullAll(t, unaware, starting)
		pullAll(t, s, starting)
		pullAll(t, starting, s)
		pullAll(t, unaware, s)
		check := func(when string, want map[string]fleet.State) {
			t.Helper()
			for name, m := range map[string]*testSyncer{"reader": s, "unaware": unaware, "starting": starting} {
				for _, key := range []string{"stays", "drains", "left", "came", "returns"} {
					if m == starting && key == "came" && want[key] == fleet.Live && m.servers[key] == "" {
						continue // not written again yet, so only members that knew it have it
					}
					if m.servers[key] != want[key] {
						t.Errorf("%s: server %s is %q at the %s member, want %q", when, key, m.servers[key], name, want[key])
					}
				}
			}
		}
		check("right after the restore", map[string]fleet.State{"stays": fleet.Live, "drains": fleet.Leaving, "came": fleet.Live})
		s.log.put("drains", "leaving 5")
		s.log.put("came", "live 5")
		time.Sleep(removalGrace + time.Millisecond)
		everyoneReads(t, s, unaware, starting)
		check("written again", map[string]fleet.State{"stays": fleet.Live, "drains": fleet.Leaving, "came": fleet.Live})
		s.log.put("left", "") // silent
		everyoneReads(t, s, unaware, starting)
		time.Sleep(revivalGrace)
		everyoneReads(t, s, unaware, starting)
		check("in the end", map[string]fleet.State{"stays": fleet.Live, "drains": fleet.Leaving, "came": fleet.Live, "returns": fleet.Live})
	})
}

// A server that came in the lost span and does not write again is gone.
func TestServerThatIsNotWrittenAgainIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSyncer()
		s.log.put("a", "live 1")
		s.log.put("b", "live 1")
		s.readServers(t.Context())
		s.log.restore(1)
		s.readServers(t.Context())
		if len(s.servers) != 2 {
			t.Errorf("servers %v right after the restore, want both", s.servers)
		}
		time.Sleep(removalGrace + time.Millisecond)
		everyoneReads(t, s)
		if len(s.servers) != 1 || s.servers["a"] != fleet.Live {
			t.Errorf("servers %v after the grace period, want only a", s.servers)
		}
	})
}

// everyoneReads lets the first member read the store and the others pull from all.
func everyoneReads(t *testing.T, members ...*testSyncer) {
	t.Helper()
	members[0].applyDeferred(time.Now())
	members[0].readServers(t.Context())
	for range 2 {
		for _, to := range members {
			for _, from := range members {
				if from != to {
					pullAll(t, to, from)
				}
			}
		}
	}
}

// restoredFleet plays members, servers and restores of the store at random, in virtual time.
type restoredFleet struct {
	t        *testing.T
	rng      *rand.Rand
	log      *fakeLog
	members  []*fleetMember
	servers  map[string]*playedServer
	restored time.Time
	started  int
}

type fleetMember struct {
	*testSyncer
	name     string
	lastRead time.Time
	since    time.Time
	// known has, for each server, the number of its last change that the member has known.
	known map[string]int
}

// playedServer is a server as it really is.
type playedServer struct {
	state    fleet.State // empty if it does not run
	sequence int
	started  int       // first sequence number of its present life
	changes  int       // of state
	changed  time.Time // the last of them
	written  time.Time // of the record in the store
	knownAt  time.Time // when a member first knew the last change
	writeAt  time.Time // when it writes again what the store lacks
}

const (
	fleetStep = 50 * time.Millisecond
	// leavingBound is how long a server that reported its leaving may still get requests at
	// a member, and joinBound how long a new one may be unknown.
	leavingBound = 2 * time.Second
	joinBound    = 3 * time.Second
	// exchangeBound is how long members may take to learn from each other.
	exchangeBound = time.Second
	// silenceTimeout is when the store removes a server that does not write.
	silenceTimeout = 4500 * time.Millisecond
)

func (f *restoredFleet) start() {
	f.started++
	m := &fleetMember{testSyncer: newTestSyncer(), name: fmt.Sprintf("vm-%d", f.started), since: time.Now(), known: map[string]int{}}
	m.log, m.options.Log = f.log, f.log
	f.members = append(f.members, m)
}

// write appends the record of a server.
func (f *restoredFleet) write(key string) {
	s := f.servers[key]
	s.sequence++
	s.written = time.Now()
	f.log.put(key, fmt.Sprintf("%s %d", s.state, s.sequence))
}

// stores reports whether the store's record says how the server is.
func (f *restoredFleet) stores(key string) bool {
	s := f.servers[key]
	page, err := f.log.Newest(f.t.Context(), "servers")
	if err != nil {
		f.t.Fatal(err)
	}
	for _, r := range page.Records {
		if r.Key == key {
			vm, err := decode(r.Key, r.Value)
			if err != nil {
				f.t.Fatal(err)
			}
			return vm.State == s.state && vm.Sequence >= int64(s.started)
		}
	}
	return s.state == ""
}

// change makes a server start, leave or end.
func (f *restoredFleet) change(now time.Time) {
	key := fmt.Sprintf("s%d", f.rng.IntN(8))
	s := f.servers[key]
	if s == nil {
		s = &playedServer{}
		f.servers[key] = s
	}
	if now.Sub(s.changed) < leavingBound+joinBound {
		return
	}
	s.changed = now
	s.changes++
	switch s.state {
	case "":
		// A start under the same name counts anew; its numbers go on here, as the text of
		// the records has no incarnation.
		s.state, s.started = fleet.Live, s.sequence+1
		f.write(key)
	case fleet.Live:
		s.state = fleet.Leaving
		f.write(key)
	default:
		s.state = ""
		f.remove(key)
	}
}

// remove appends the removal of a server.
func (f *restoredFleet) remove(key string) {
	f.servers[key].written = time.Now()
	f.log.put(key, "")
}

// settle makes servers write again what the store lacks, and the store remove those that
// are silent.
func (f *restoredFleet) settle(now time.Time) {
	for key, s := range f.servers {
		switch {
		case f.stores(key):
			s.writeAt = time.Time{}
		case s.writeAt.IsZero() && s.state == "":
			s.writeAt = now.Add(silenceTimeout)
		case s.writeAt.IsZero():
			s.writeAt = now.Add(time.Duration(f.rng.IntN(1700)) * time.Millisecond)
		case !now.Before(s.writeAt) && s.state == "":
			f.remove(key)
		case !now.Before(s.writeAt):
			f.write(key)
		}
	}
}

// exchange lets the first two members read the store, and all pull what others announce.
func (f *restoredFleet) exchange(now time.Time) {
	for i, m := range f.members {
		m.applyDeferred(now)
		first := m.lastRead.IsZero()
		if i < activeReaders && now.Sub(m.lastRead) >= readInterval || first {
			m.lastRead = now
			m.readServers(f.t.Context())
		}
	}
	for _, to := range f.members {
		for _, from := range f.members {
			if from == to || f.rng.IntN(4) == 0 {
				continue
			}
			pullAll(f.t, to.testSyncer, from.testSyncer)
		}
	}
}

// check compares what the members use with how the servers are. A member that has known
// how a server is must not forget it. One that has not must learn it in time from the store, or
// from a member that knows.
func (f *restoredFleet) check(now time.Time) {
	f.t.Helper()
	for key, s := range f.servers {
		known := false
		for _, m := range f.members {
			known = known || m.known[key] == s.changes
		}
		if !known {
			s.knownAt = now
		}
		known = known && now.Sub(s.knownAt) > exchangeBound
		bound := joinBound
		if s.state != fleet.Live {
			bound = leavingBound
		}
		stored := f.stores(key) && now.Sub(s.written) > bound
		for _, m := range f.members {
			settled := now.Sub(m.since) > exchangeBound && now.Sub(f.restored) > exchangeBound
			matches := (m.servers[key] == fleet.Live) == (s.state == fleet.Live)
			switch {
			case matches:
				// One that started after a server had gone has never known it.
				if m.Syncer.servers.rows[key] != nil {
					m.known[key] = s.changes
				}
			case m.known[key] == s.changes, stored && settled, known && settled && s.state != fleet.Live:
				f.t.Fatalf("%v after the last restore %s, started %v ago, has %s as %q, which is %q since %v, written %v ago",
					now.Sub(f.restored), m.name, now.Sub(m.since), key, m.servers[key], s.state, now.Sub(s.changed), now.Sub(s.written))
			}
		}
	}
}

// Members, servers and restores in any order: a server that left stays out and one that
// lives stays in, at readers, at members that do not read, and at members that start or are
// replaced meanwhile.
func TestServersThroughRestores(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRestores(t, seed) })
		})
	}
}

func playRestores(t *testing.T, seed uint64) {
	f := &restoredFleet{t: t, rng: rand.New(rand.NewPCG(seed, 3)), log: &fakeLog{}, servers: map[string]*playedServer{}}
	for i := range 6 {
		key := fmt.Sprintf("s%d", i)
		f.servers[key] = &playedServer{state: fleet.Live, changes: 1}
		f.write(key)
	}
	for range 4 {
		f.start()
	}
	const length = 60 * time.Second
	quiet := time.Now().Add(length - 12*time.Second)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(fleetStep) {
		now := time.Now()
		if now.Before(quiet) {
			switch f.rng.IntN(120) {
			case 0, 1, 2, 3:
				f.change(now)
			case 4:
				if now.Sub(f.restored) > 8*time.Second {
					f.log.restore(max(1, len(f.log.records)-f.rng.IntN(9)))
					f.restored = now
				}
			case 5:
				i := f.rng.IntN(len(f.members))
				f.members = append(f.members[:i], f.members[i+1:]...)
				f.start()
			}
		}
		f.settle(now)
		f.exchange(now)
		f.check(now)
	}
	for _, m := range f.members {
		for key, s := range f.servers {
			if m.servers[key] != s.state {
				t.Errorf("in the end %s has %s as %q, it is %q", m.name, key, m.servers[key], s.state)
			}
		}
	}
}
