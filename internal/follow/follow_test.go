package follow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// withWorld runs a test in virtual time, with entries that have applied three records.
func withWorld(t *testing.T, entries int, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(entries)
		defer w.stop()
		w.append(claim(0, "i0", ""))
		w.append(claim(1, "i1", ""))
		time.Sleep(healTime)
		test(t, w)
	})
}

// requireOffset fails the test unless the entry has the expected state at the offset.
func requireOffset(t *testing.T, w *world, entry int, offset int64) {
	t.Helper()
	state := w.entries[entry].Current()
	if state.Offset() != offset || state.Hash() != w.states[offset].Hash() {
		t.Fatalf("entry %d is at offset %d, want %d with the expected hash", entry, state.Offset(), offset)
	}
}

func TestOutageWhileAllEntriesAreReplacedKeepsTheTree(t *testing.T) {
	withWorld(t, 3, func(t *testing.T, w *world) {
		w.set(func() { w.logDown = map[int]bool{0: true, 1: true, 2: true} })
		for n := range w.entries {
			w.start(n)
			time.Sleep(5 * time.Second)
			requireOffset(t, w, n, 2)
			if w.entries[n].Current().Tree() == nil {
				t.Fatalf("entry %d has no tree", n)
			}
		}
	})
}

func TestEntryPartitionedFromTheLogFollowsItsPeers(t *testing.T) {
	withWorld(t, 3, func(t *testing.T, w *world) {
		w.set(func() { w.logDown[2] = true })
		w.append(claim(2, "i2", ""))
		time.Sleep(5 * time.Second)
		requireOffset(t, w, 2, 3)
	})
}

func TestFrozenLogIsReplacedByPeers(t *testing.T) {
	withWorld(t, 3, func(t *testing.T, w *world) {
		w.set(func() { w.logHangs[2] = true })
		time.Sleep(pollWait)
		w.append(claim(2, "i2", ""))
		time.Sleep(5 * time.Second)
		requireOffset(t, w, 2, 3)
	})
}

func TestSlowLogIsFollowed(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world) {
		w.set(func() { w.logSlow = true })
		w.append(claim(2, "i2", ""))
		time.Sleep(2 * slowReadTime)
		requireOffset(t, w, 0, 3)
	})
}

func TestSnapshotReplacesExpiredRecords(t *testing.T) {
	withWorld(t, 2, func(t *testing.T, w *world) {
		time.Sleep(maxSnapshotAge)
		w.expire()
		w.append(claim(2, "i2", ""))
		w.set(func() { w.partitioned[1] = true })
		w.start(1)
		time.Sleep(5 * time.Second)
		requireOffset(t, w, 1, 3)
	})
}

func TestSnapshotIsAppendedByMostlyOneEntry(t *testing.T) {
	withWorld(t, 4, func(t *testing.T, w *world) {
		const periods = 6
		time.Sleep(periods * (maxSnapshotAge + snapshotCheckInterval))
		if got := w.snapshotCount(); got < periods || got > periods+1 {
			t.Errorf("%d snapshots in %d periods, want one per period and at most one more", got, periods)
		}
	})
}

func TestManyRecordsMakeASnapshotDue(t *testing.T) {
	withWorld(t, 2, func(t *testing.T, w *world) {
		for range maxRecordsSinceSnapshot {
			w.append(claim(9, "i9", ""))
		}
		time.Sleep(time.Minute)
		if got := w.snapshotCount(); got != 1 {
			t.Errorf("%d snapshots, want 1", got)
		}
	})
}

func TestStateIsKeptWhereNothingBridgesExpiredRecords(t *testing.T) {
	withWorld(t, 1, func(t *testing.T, w *world) {
		w.set(func() { w.logDown[0] = true })
		time.Sleep(time.Minute)
		w.append(claim(2, "i2", ""))
		w.append(claim(3, "i3", ""))
		w.set(func() { w.oldest, w.logDown[0] = 4, false })
		time.Sleep(time.Minute)
		requireOffset(t, w, 0, 2)
	})
}

// The log of the product's own platform is append-only. If it lost records all the same and
// gave their offsets out again, entries that run would keep what was accepted and miss the
// records at those offsets; an entry that starts would have another state. This can't be
// mended here, but it never goes back unnoticed: the states differ at the same offset, which
// CheckDivergence reports.
func TestLogThatGoesBackIsNoticed(t *testing.T) {
	withWorld(t, 2, func(t *testing.T, w *world) {
		before := w.entries[0].Current()
		w.set(func() { w.records, w.states = w.records[:2], w.states[:2] })
		w.append(claim(2, "i2", ""))
		time.Sleep(time.Minute)
		if got := w.entries[0].Current(); got.Hash() != before.Hash() {
			t.Fatalf("the state changed to offset %d by a record at an offset that was given out before", got.Offset())
		}
		w.append(claim(3, "i3", ""))
		time.Sleep(time.Minute)
		w.start(1)
		time.Sleep(time.Minute)
		offset, state := w.entries[0].Fingerprint()
		otherOffset, otherState := w.entries[1].Fingerprint()
		if offset != 3 || otherOffset != 3 || state == otherState {
			t.Errorf("offsets %d and %d, states %x and %x, want two states at offset 3", offset, otherOffset, state, otherState)
		}
	})
}

func TestPeerWithAnotherStateIsNotFollowed(t *testing.T) {
	f := New(Options{})
	next, _ := statemachine.Empty().Apply(0, initialRecord())
	record := peer.ConfigRecord{Offset: 0, Data: initialRecord()}
	for name, reply := range map[string]*peer.SinceReply{
		"other hash":   {Offset: 0, Hash: "other", Records: []peer.ConfigRecord{record}},
		"other offset": {Offset: 1, Hash: next.Hash(), Records: []peer.ConfigRecord{record}},
		"gap":          {Offset: 1, Hash: next.Hash(), Records: []peer.ConfigRecord{{Offset: 1, Data: initialRecord()}}},
		"bad state":    {Offset: 0, State: []byte(`{"version":1,"hash":"0","state":{"offset":0}}`)},
		"nothing":      {Offset: 5},
	} {
		if err := f.applyReply(reply); err == nil || f.Current().Offset() != -1 {
			t.Errorf("%s: error %v and offset %d, want an error and offset -1", name, err, f.Current().Offset())
		}
	}
	good := &peer.SinceReply{Offset: 0, Hash: next.Hash(), Records: []peer.ConfigRecord{record}}
	if err := f.applyReply(good); err != nil || f.Current().Hash() != next.Hash() {
		t.Errorf("good reply: error %v, or the state has another hash than the peer's", err)
	}
}

func TestPeerWithAnotherStateAtTheSameOffsetIsReported(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	f := New(Options{Scope: scope})
	f.applyRecords([]logservice.Record{{Offset: 0, Data: initialRecord()}})
	offset, state := f.Fingerprint()
	for _, c := range []struct {
		offset int64
		state  uint64
		want   int64
	}{{offset, state, 0}, {offset + 1, state + 1, 0}, {-1, 0, 0}, {offset, state + 1, 1}} {
		f.CheckDivergence("peer", c.offset, c.state)
		var got int64
		if counter := scope.Snapshot().Counters()["config_divergence+"]; counter != nil {
			got = counter.Value()
		}
		if got != c.want {
			t.Errorf("offset %d, state %x: %d divergences, want %d", c.offset, c.state, got, c.want)
		}
	}
}

func TestSubscribersReceiveOffsetsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1)
		defer w.stop()
		f := New(Options{Log: worldLog{w, 0}, Client: worldClient{w, 0}})
		offsets := []int64{-1}
		f.Subscribe(func(s *statemachine.State) { offsets = append(offsets, s.Offset()) })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		w.running.Go(func() { f.Run(ctx) })
		for range 20 {
			w.append(claim(0, "i0", ""))
			time.Sleep(time.Second)
		}
		synctest.Wait()
		for i := 1; i < len(offsets); i++ {
			if offsets[i] <= offsets[i-1] {
				t.Fatalf("offsets %v, want increasing ones", offsets)
			}
		}
		if offsets[len(offsets)-1] != 20 {
			t.Fatalf("offsets %v, want 20 as the last", offsets)
		}
	})
}

func TestPeerGetsTheStateWhereRecordsAreMissing(t *testing.T) {
	f := New(Options{})
	f.applyRecords([]logservice.Record{{Offset: 0, Data: initialRecord()}})
	later := f.Current()
	for offset := int64(1); offset <= 3; offset++ {
		later, _ = later.Apply(offset, claim(0, "i0", ""))
	}
	f.installState(later, "peer")
	f.applyRecords([]logservice.Record{{Offset: 4, Data: claim(1, "i1", "")}})
	for after, wantRecords := range map[int64]int{-1: 0, 0: 0, 2: 0, 3: 1} {
		reply := &peer.SinceReply{}
		if err := f.Receiver().Since(&peer.SinceArgs{Offset: after}, reply); err != nil {
			t.Fatal(err)
		}
		if len(reply.Records) != wantRecords || (len(reply.State) > 0) != (wantRecords == 0) {
			t.Errorf("reply after offset %d has %d records and %d bytes of state, want either records or a state", after, len(reply.Records), len(reply.State))
		}
	}
	if f.installState(later, "peer") || f.Current().Offset() != 4 {
		t.Errorf("an older state was installed, or the offset %d is not 4", f.Current().Offset())
	}
}
