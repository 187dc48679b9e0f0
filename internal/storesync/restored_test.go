package storesync

import (
	"strconv"
	"testing"

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
