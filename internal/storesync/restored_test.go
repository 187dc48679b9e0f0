package storesync

import (
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
