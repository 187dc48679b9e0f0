package storesync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// evacuationBound is the time after its acknowledgement in which an evacuation must be in force.
const evacuationBound = 5 * time.Second

func decodeEvacuation(key string) (string, bool) { return strings.CutPrefix(key, "evacuate/") }

// evacuationSyncer is a syncer with the zones that it evacuates.
type evacuationSyncer struct {
	*testSyncer
	zones []string
}

func newEvacuationSyncer(log *fakeLog) *evacuationSyncer {
	s := &evacuationSyncer{testSyncer: newTestSyncer()}
	s.log, s.options.Log = log, log
	s.options.DecodeEvacuation = decodeEvacuation
	s.options.OnEvacuations = func(zones []string) { s.zones = zones }
	return s
}

// read reads the configuration's stream and checks the evacuated zones.
func (s *evacuationSyncer) read(t *testing.T, what string, want ...string) {
	t.Helper()
	if ok, _ := s.readConfig(t.Context(), 0); !ok {
		t.Fatalf("%s: the read failed", what)
	}
	s.check(t, what, want...)
}

func (s *evacuationSyncer) check(t *testing.T, what string, want ...string) {
	t.Helper()
	if !slices.Equal(s.zones, want) && len(s.zones)+len(want) > 0 {
		t.Errorf("%s: evacuated zones %v, want %v", what, s.zones, want)
	}
}

// pull lets s pull from the other one what its heartbeat announces, and checks the zones.
func (s *evacuationSyncer) pull(t *testing.T, what string, from *evacuationSyncer, want ...string) {
	t.Helper()
	m := cluster.LiveMember{Member: cluster.Member{VM: "other", PeerAddress: "other"}}
	m.Revision, m.ServersVersion = from.Revision(), from.ServersVersion()
	m.EvacuationsVersion, m.EvacuationsHash = from.EvacuationsVersionAndHash()
	s.options.Client = receiverClient{from.Receiver()}
	s.Syncer.pull(t.Context(), m)
	s.check(t, what, want...)
}

// receiverClient calls one receiver.
type receiverClient struct{ receiver *Receiver }

func (c receiverClient) Call(_ context.Context, _, _ string, args, reply any) error {
	return c.receiver.Since(args.(SinceArgs), reply.(*SinceReply))
}

// Records count by whichever read they come, with other keys among them, and a member whose
// configuration is up to date pulls them. A key that can't be read changes nothing.
func TestEvacuationsByEveryRead(t *testing.T) {
	log := &fakeLog{}
	s, peer := newEvacuationSyncer(log), newEvacuationSyncer(&fakeLog{})
	log.put("config", "1")
	s.read(t, "no record")
	peer.pull(t, "no record, pulled", s)
	log.put("evacuate/a", "{}")
	log.put("evacuate/", "{}")
	log.put("other/b", "{}")
	s.read(t, "changes", "a")
	peer.pull(t, "pulled with the same configuration", s, "a")
	log.put("evacuate/b", "no JSON")
	log.put("evacuate/a", "")
	log.put("evacuate/a", "{}")
	s.read(t, "several in one read", "a", "b")
	starting := newEvacuationSyncer(log)
	starting.read(t, "the newest of each key", "a", "b")
	log.put("evacuate/a", "")
	s.read(t, "removal", "b")
	peer.pull(t, "removal, pulled", s, "b")
	peer.pull(t, "an older state, pulled", starting, "b")
	starting.pull(t, "from the member that pulled", peer, "b")
	log.malformed = 1 << 20
	log.put("evacuate/c", "{}")
	s.read(t, "after records that can't be told apart", "b", "c")
}

// The store forgets its history: a key without a record is no longer evacuated, neither at the
// reader nor at members that pull, of which one reads all keys for the first time. A page from
// which a record is missing as it can't be read removes nothing.
func TestEvacuationsAfterForgottenHistory(t *testing.T) {
	log := &fakeLog{}
	s, behind, starting := newEvacuationSyncer(log), newEvacuationSyncer(log), newEvacuationSyncer(log)
	log.put("config", "1")
	log.put("evacuate/a", "{}")
	log.put("evacuate/b", "{}")
	s.read(t, "both", "a", "b")
	behind.pull(t, "both, pulled", s, "a", "b")
	log.put("evacuate/a", "")
	log.put("config", "1")
	log.oldest = int64(len(log.records))
	starting.read(t, "a member that starts", "b")
	starting.pull(t, "from one that does not know the removal", s, "b")
	behind.pull(t, "from one that never knew the record", starting, "b")
	unreadable, err := log.Newest(t.Context(), "")
	if err != nil {
		t.Fatal(err)
	}
	unreadable.Unreadable = 1
	unreadable.Records = slices.DeleteFunc(unreadable.Records, func(r logservice.KeyedRecord) bool { return r.Key == "evacuate/b" })
	s.applyEvacuations(configPage{KeyedPage: unreadable, newest: &unreadable}, "store")
	s.check(t, "a record can't be read", "a", "b")
	s.read(t, "all keys", "b")
}

// The store returns as a copy without an evacuation that was in force. It stays in force, also at
// members that start and know only the copy, until its key is written again.
func TestEvacuationOutlivesARestoredCopy(t *testing.T) {
	for _, removalInCopy := range []bool{false, true} {
		log := &fakeLog{}
		s, unaware := newEvacuationSyncer(log), newEvacuationSyncer(log)
		log.put("config", "1")
		if removalInCopy {
			log.put("evacuate/a", "{}")
			log.put("evacuate/a", "")
		}
		copied := len(log.records)
		log.put("config", "2")
		log.put("evacuate/a", "{}")
		s.read(t, "before", "a")
		unaware.pull(t, "before, pulled", s, "a")
		log.restore(copied)
		starting := newEvacuationSyncer(log)
		starting.read(t, "a member that knows only the copy")
		unaware.pull(t, "from a member that knows only the copy", starting, "a")
		s.read(t, "restored", "a")
		starting.pull(t, "from a member that knows the record", s, "a")
		log.put("config", "3")
		s.read(t, "a later change", "a")
		reading := newEvacuationSyncer(log)
		reading.pull(t, "pulled during the first read of the store", s, "a")
		reading.configRead = false
		reading.read(t, "end of that read", "a")
		log.put("evacuate/a", "")
		s.read(t, "removed", []string{}...)
		starting.pull(t, "removed, pulled", s)
		unaware.pull(t, "removed, pulled by a member of the earlier epoch", s)
		log.put("evacuate/a", "{}")
		s.read(t, "written again", "a")
		unaware.pull(t, "written again, pulled", s, "a")
	}
}

// The copy still has an evacuation whose removal was lost with the restore. The store says that
// the zone is evacuated, so it is, until the operator removes the key again.
func TestRestoredEvacuationIsInForce(t *testing.T) {
	log := &fakeLog{}
	s := newEvacuationSyncer(log)
	log.put("config", "1")
	log.put("evacuate/a", "{}")
	log.put("evacuate/a", "")
	s.read(t, "removed")
	log.restore(2)
	s.read(t, "restored", "a")
	log.put("evacuate/a", "")
	s.read(t, "removed again")
}

// A member of an earlier version of this program sends an update without evacuations. Its
// position must not be continued from, as the records before it are not known.
func TestUpdateOfAnEarlierVersionShowsNoEvacuations(t *testing.T) {
	log := &fakeLog{}
	earlier, s := newEvacuationSyncer(log), newEvacuationSyncer(log)
	log.put("evacuate/a", "{}")
	log.put("config", "1")
	earlier.read(t, "before", "a")
	u := earlier.updateSince(SinceArgs{})
	u.Evacuations = nil
	s.applyUpdate(u, "earlier")
	s.check(t, "pulled")
	if s.Revision() != 1 {
		t.Errorf("revision %d, want 1", s.Revision())
	}
	s.read(t, "read after the pull", "a")
}

// A large update that was encoded before an evacuation must not be served after it.
func TestKeptUpdateIsOfTheSameEvacuations(t *testing.T) {
	log := &fakeLog{}
	s, first, second := newEvacuationSyncer(log), newEvacuationSyncer(log), newEvacuationSyncer(log)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 400 {
		log.put(fmt.Sprintf("server-%d", i), fmt.Sprintf("live %d", random.Int64()))
	}
	s.readServers(t.Context())
	receiver := s.Receiver()
	m := cluster.LiveMember{Status: cluster.Status{ServersVersion: s.ServersVersion()}}
	first.options.Client, second.options.Client = receiverClient{receiver}, receiverClient{receiver}
	first.Syncer.pull(t.Context(), m)
	if receiver.last.data == nil {
		t.Fatal("the update was not kept, so the test shows nothing")
	}
	log.put("evacuate/a", "{}")
	s.read(t, "evacuated", "a")
	second.Syncer.pull(t.Context(), m)
	second.check(t, "pulled", "a")
}

// evacuationLives are members that share a store, and what the operator wrote of one zone.
type evacuationLives struct {
	*configLives
	evacuated bool
	written   time.Time
}

// write evacuates the zone or takes it back.
func (c *evacuationLives) write(evacuate bool) {
	value := ""
	if evacuate {
		value = "{}"
	}
	c.note("the operator writes evacuate/a = %q", value)
	c.log.put("evacuate/a", value)
	c.evacuated, c.written = evacuate, time.Now()
}

// wrong returns the members with a path to the store or to others whose state is not the
// operator's.
func (c *evacuationLives) wrong(touched func(*livesMember) bool) []string {
	var names []string
	for _, m := range c.running() {
		c.mu.Lock()
		evacuated := len(m.zones) > 0
		c.mu.Unlock()
		if touched(m) && evacuated != c.evacuated {
			names = append(names, m.name)
		}
	}
	return names
}

// awaitAll fails the test if the operator's state is not in force everywhere within the bound.
func (c *evacuationLives) awaitAll(what string) {
	c.t.Helper()
	all := func(*livesMember) bool { return true }
	for len(c.wrong(all)) > 0 && time.Since(c.written) < evacuationBound {
		c.heartbeat()
		time.Sleep(heartbeatPause)
	}
	if names := c.wrong(all); len(names) > 0 {
		c.fail("%s: %v have another state than evacuated=%v, %v after it was written", what, names, c.evacuated, time.Since(c.written))
	}
	c.t.Logf("%s: in force everywhere after %v", what, time.Since(c.written))
}

// The readers die, lose the store or all members restart just when a zone is evacuated or taken
// back, the store forgets its history or is restored: within the bound the state is in force at
// every member in touch, those that start included.
func TestEvacuationThroughFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &evacuationLives{configLives: newConfigLives(t, 13)}
		defer c.stop()
		replaceReader := func(position int) {
			if reader := c.reader(position); reader != nil {
				c.end(reader, position == 0)
				c.start()
			}
		}
		for _, fault := range []struct {
			what  string
			begin func()
			end   func()
		}{
			{"no fault", func() {}, func() {}},
			{"first reader dies", func() { replaceReader(0) }, func() {}},
			{"both readers die", func() { replaceReader(0); replaceReader(1) }, func() {}},
			{"readers cut off the store", func() { c.cutReaders(activeReaders) }, func() { c.cutReaders(0) }},
			{"most members cut off the store", func() { c.cutReaders(7) }, func() { c.cutReaders(0) }},
			{"all restart", func() {
				for _, m := range c.running() {
					c.end(m, false)
					c.start()
				}
			}, func() {}},
		} {
			for _, evacuate := range []bool{true, false} {
				c.run(4 * time.Second)
				fault.begin()
				c.write(evacuate)
				c.awaitAll(fmt.Sprintf("%s, evacuated %v", fault.what, evacuate))
				fault.end()
			}
		}
		c.run(4 * time.Second)
		c.write(true)
		c.awaitAll("before the history is forgotten")
		c.cutReaders(13)
		c.run(time.Second)
		c.write(false)
		c.compact()
		c.cutReaders(0)
		c.awaitAll("removed in a history that was forgotten")
		c.run(4 * time.Second)
		c.log.mu.Lock()
		copied := len(c.log.records)
		c.log.mu.Unlock()
		c.write(true)
		c.awaitAll("before the restore")
		c.log.restore(copied)
		c.written = time.Now()
		c.run(3 * time.Second)
		c.start()
		c.awaitAll("lost by the copy")
		c.run(3 * time.Second)
		c.awaitAll("a while after the restore")
		c.write(false)
		c.awaitAll("removed after the restore")
	})
}

// A part of the members reaches neither the store nor the others. It keeps what it knows, and has
// the operator's state soon after it is in touch again.
func TestEvacuationAfterAPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &evacuationLives{configLives: newConfigLives(t, 9)}
		defer c.stop()
		c.run(4 * time.Second)
		c.write(true)
		c.awaitAll("before")
		c.mu.Lock()
		for i, m := range c.members {
			m.apart = i < 4
		}
		c.mu.Unlock()
		for _, m := range c.running() {
			m.log.setCut(m.apart)
		}
		c.run(time.Second)
		c.write(false)
		c.run(4 * time.Second)
		if names := c.wrong(func(m *livesMember) bool { return !m.apart }); len(names) > 0 {
			c.fail("%v do not know the removal", names)
		}
		if names := c.wrong(func(m *livesMember) bool { return m.apart }); len(names) != 4 {
			c.fail("%v of the 4 that are apart do not know the removal, want all", names)
		}
		c.mu.Lock()
		for _, m := range c.members {
			m.apart = false
		}
		c.mu.Unlock()
		c.written = time.Now()
		c.run(heartbeatPause)
		c.awaitAll("in touch again, without the store")
	})
}

// The copy is known to two members that start, with another zone, and the lost evacuation to one
// that has not read since. It reaches both, although its position is of the epoch before.
func TestLostEvacuationReachesMembersThatKnowOnlyTheCopy(t *testing.T) {
	log := &fakeLog{}
	unaware, first, second := newEvacuationSyncer(log), newEvacuationSyncer(log), newEvacuationSyncer(log)
	log.put("config", "1")
	log.put("evacuate/b", "{}")
	log.put("evacuate/a", "{}")
	unaware.read(t, "before", "a", "b")
	log.restore(2)
	first.read(t, "a member that starts", "b")
	second.read(t, "another one", "b")
	first.pull(t, "from the member that knows both", unaware, "b")
	unaware.pull(t, "from a member that knows only the copy", first, "a", "b")
	first.pull(t, "from the member that knows both, later", unaware, "a", "b")
	second.pull(t, "from the one that pulled", first, "a", "b")
}

// A member is out of contact while an evacuation is removed, and the store then loses both. It
// keeps the evacuation until it is in touch, but must not bring it back at the others, whoever of
// them pulls first.
func TestLostRemovalIsNotUndoneByAMemberThatMissedIt(t *testing.T) {
	for _, missedPullsFirst := range []bool{false, true} {
		log := &fakeLog{}
		s, missed, starting := newEvacuationSyncer(log), newEvacuationSyncer(log), newEvacuationSyncer(log)
		log.put("config", "1")
		log.put("evacuate/a", "{}")
		s.read(t, "before", "a")
		missed.read(t, "before", "a")
		log.put("evacuate/a", "")
		s.read(t, "removed")
		log.restore(1)
		s.read(t, "restored")
		log.put("config", "2")
		missed.read(t, "restored, at the member that missed the removal", "a")
		if missedPullsFirst {
			missed.pull(t, "from one that knows the removal", s, "a") // it announces nothing newer
		}
		s.pull(t, "from the member that missed the removal", missed)
		missed.pull(t, "from one that knows the removal", s)
		starting.pull(t, "at a member that starts", s)
		log.put("evacuate/a", "{}")
		s.read(t, "evacuated anew", "a")
		missed.pull(t, "evacuated anew, pulled", s, "a")
	}
}

// The operator removes a lost evacuation again once the entries have read the restored store. One
// that was out of contact until then can't tell the removal from one of the copy, but must not
// bring the evacuation back at the others.
func TestRemovalAfterARestoreIsNotUndoneByALateReader(t *testing.T) {
	for _, latePullsFirst := range []bool{false, true} {
		log := &fakeLog{}
		s, late, starting := newEvacuationSyncer(log), newEvacuationSyncer(log), newEvacuationSyncer(log)
		for revision := range 5 {
			log.put("config", strconv.Itoa(revision+1))
		}
		log.put("evacuate/a", "{}")
		s.read(t, "before", "a")
		late.read(t, "before", "a")
		log.restore(1)
		s.read(t, "restored", "a")
		log.put("evacuate/a", "")
		s.read(t, "removed")
		starting.read(t, "a member that starts")
		log.put("config", "6")
		late.read(t, "at the late reader", "a")
		if latePullsFirst {
			late.pull(t, "from one that knows the removal", s, "a") // it announces nothing newer
		}
		s.pull(t, "from the late reader", late)
		late.pull(t, "from one that knows the removal", s)
		starting.pull(t, "at a member that starts", s)
	}
}

// A removal that the operator wrote after the restore, at an offset beyond that of the
// evacuation, is no removal of the copy.
func TestRemovalAfterARestoreIsKnownByItsOffset(t *testing.T) {
	log := &fakeLog{}
	s := newEvacuationSyncer(log)
	log.put("config", "1")
	log.put("evacuate/a", "{}")
	s.read(t, "before", "a")
	log.restore(1)
	log.put("config", "2")
	log.put("evacuate/a", "")
	s.read(t, "removed before the first read after the restore")
}

// A member that starts applies evacuations before the configuration and the servers that it
// serves with, whether it reads the store or pulls from a member.
func TestEvacuationsAreAppliedBeforeAllElseAtAStart(t *testing.T) {
	log := &fakeLog{}
	log.put("config", "1")
	log.put("evacuate/a", "{}")
	log.put("server", "live 1")
	reader := newEvacuationSyncer(log)
	for what, start := range map[string]func(*evacuationSyncer){
		"read": func(s *evacuationSyncer) { s.read(t, "read", "a") },
		"pull": func(s *evacuationSyncer) { s.pull(t, "pull", reader, "a") },
	} {
		s := newEvacuationSyncer(log)
		check := func(applied string) {
			if len(s.zones) == 0 {
				t.Errorf("%s: %s applied before the evacuated zones", what, applied)
			}
		}
		s.options.OnTree = func(*tree.Tree) { check("configuration") }
		s.options.OnServers = func([]fleet.VM) { check("servers") }
		if reader.Revision() == 0 {
			reader.read(t, "reader", "a")
			reader.readServers(t.Context())
		}
		start(s)
	}
}

// Two members came to the same version in different ways: one of them keeps an evacuation that the
// other one found removed. They agree after each has heard the other's heartbeat.
func TestEvacuationsOfOneVersionConverge(t *testing.T) {
	log := &fakeLog{}
	kept, removed := newEvacuationSyncer(log), newEvacuationSyncer(log)
	next := position(1, 9)
	kept.mergeEvacuations(map[string]evacuationRecord{"evacuate/a": {Zone: "a", Evacuated: true, Position: next.Preceding(2)}}, evacuationSource{next: next}, "test")
	removed.mergeEvacuations(map[string]evacuationRecord{"evacuate/a": {Zone: "a", Position: next.Preceding(1)}}, evacuationSource{next: next}, "test")
	for _, pair := range [][2]*evacuationSyncer{{kept, removed}, {removed, kept}} {
		s, other := pair[0], pair[1]
		s.options.Client = receiverClient{other.Receiver()}
		var m cluster.LiveMember
		m.EvacuationsVersion, m.EvacuationsHash = other.EvacuationsVersionAndHash()
		s.ObservePeer(m)
		select {
		case m := <-s.pulls:
			s.Syncer.pull(t.Context(), m)
		default:
		}
		s.check(t, "after the other's heartbeat")
	}
}

// playEvacuationLives plays three minutes in which the operator evacuates a zone and takes it back while
// readers end, members lose the store, and the store forgets its history or is restored. What a
// restore loses is expected as it was known to the members, where they agree on it.
func playEvacuationLives(t *testing.T, seed uint64) {
	c := &evacuationLives{configLives: newConfigLives(t, 8)}
	c.rng = rand.New(rand.NewPCG(seed, 31))
	defer c.stop()
	certain, restored := true, time.Now()
	c.written, c.faultEnded = time.Now(), time.Now()
	for i := range int(3 * time.Minute / heartbeatPause) {
		c.heartbeat()
		time.Sleep(heartbeatPause)
		members := c.running()
		switch c.rng.IntN(160) {
		case 0:
			if time.Since(restored) > touchTime {
				c.write(c.rng.IntN(2) == 0)
				certain = true
			}
		case 1:
			c.publish()
		case 2, 3:
			if time.Since(restored) > 2*evacuationBound {
				c.log.mu.Lock()
				kept := max(1, len(c.log.records)-c.rng.IntN(4))
				lost := slices.ContainsFunc(c.log.records[kept:], func(r logservice.KeyedRecord) bool { return r.Key == "evacuate/a" })
				inCopy := false
				for _, r := range c.log.records[:kept] {
					inCopy = r.Key == "evacuate/a" && !r.IsTombstone() || inCopy && r.Key != "evacuate/a"
				}
				c.log.mu.Unlock()
				if lost {
					// Known to all members in touch by now, or to some of them.
					certain = certain && time.Since(c.written) > evacuationBound
					c.evacuated = c.evacuated || inCopy
				}
				c.log.restore(kept)
				c.note("the store is restored, %d records kept, evacuated %v, certain %v", kept, c.evacuated, certain)
				restored, c.faultEnded, c.written = time.Now(), time.Now(), time.Now()
			}
		case 4, 5:
			if reader := c.reader(c.rng.IntN(3)); reader != nil {
				c.end(reader, c.rng.IntN(2) == 0)
				c.start()
			}
		case 6:
			m := members[c.rng.IntN(len(members))]
			m.log.setCut(true)
			c.note("%s is cut off", m.name)
		case 7, 8, 9, 10:
			for _, m := range members {
				if m.isCut() {
					m.log.setCut(false)
					m.since = time.Now()
				}
			}
		case 11:
			c.compact()
		}
		due := certain && time.Since(c.written) > evacuationBound && time.Since(c.faultEnded) > evacuationBound
		touched := func(m *livesMember) bool { return !m.isCut() && time.Since(m.since) > touchTime }
		if names := c.wrong(touched); due && len(names) > 0 {
			c.fail("round %d: %v have another state than evacuated=%v, %v after it was written", i, names, c.evacuated, time.Since(c.written))
		}
	}
}

// Whatever happens to readers, members and the store, the operator's state is in force within the
// bound at every member in touch, and no member in touch leaves it after that.
func TestEvacuationThroughStoreLives(t *testing.T) {
	for seed := range uint64(rounds(evacuationSeeds)) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEvacuationLives(t, seed) })
		})
	}
}

// evacuationSeeds is the number of seeds that are played without the race detector.
const evacuationSeeds = 12
