package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// heardOnce returns a membership that has heard one other entry now.
func heardOnce(t *testing.T) *Membership {
	t.Helper()
	f := newFleet(t)
	m := f.start(entryVM(0), "own").Membership
	f.kill(f.run[entryVM(0).PeerAddress]) // its loops have ended; the test takes their turns
	m.table.describe(time.Now(), []peer.Member{{
		Sign: peer.Liveness{ID: peer.ShortID("other"), Counter: 1},
		Row:  peer.EntryState{Incarnation: "other", Version: 1},
		VM:   entryVM(1),
	}})
	return m
}

func TestPausedProcessKeepsTheOthers(t *testing.T) {
	for _, c := range []struct {
		name         string
		sinceTurn    time.Duration
		wantEntries  int
		silentLater  time.Duration
		entriesLater int
	}{
		{"paused", time.Minute, 2, silentAfter + time.Second, 1},
		{"running", beatInterval, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := heardOnce(t)
				time.Sleep(time.Minute)
				lastTurn := time.Now().Add(-c.sinceTurn)
				m.notePause(&lastTurn)
				m.publish()
				if got := len(m.View().Entries); got != c.wantEntries {
					t.Errorf("%d entries, want %d", got, c.wantEntries)
				}
				time.Sleep(c.silentLater)
				m.publish()
				if got := len(m.View().Entries); got != c.entriesLater {
					t.Errorf("%d entries later, want %d", got, c.entriesLater)
				}
			})
		})
	}
}

func TestTwoProcessesOfOneVMNameLeaveOneChoice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(4, 0)
		twin := entryVM(1)
		twin.Address, twin.PeerAddress = "10.0.9.9:80", "10.0.9.9:81"
		f.start(twin, "twin", entries[0].vm.PeerAddress)
		time.Sleep(2 * doubleStartGrace)
		for _, e := range []*testEntry{entries[0], entries[2], entries[3]} {
			named := 0
			for _, live := range e.View().Entries {
				if live.VM.Name == twin.Name {
					named++
				}
			}
			if named != 1 {
				t.Errorf("%s sees %d processes of %s", e.vm.Name, named, twin.Name)
			}
			for _, id := range []string{"twin", "incarnation-1"} {
				if _, ok := e.View().ByIncarnation(id); !ok {
					t.Errorf("%s cannot find %s", e.vm.Name, id)
				}
			}
		}
	})
}

func TestLeavingEntryInTheListOfOneEntryLeavesEveryAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(4, 0)
		f.set(func() { f.down = true })
		leaving := slices.Clone(f.vms)
		leaving[1].State = fleet.Leaving
		entries[0].setList(newVMList(leaving, time.Now()))
		time.Sleep(leaveTarget)
		for _, e := range entries {
			if hasAddress(e.View().Addresses("zone-1", "caller", oneRegion), entries[1].vm) {
				t.Errorf("%s names an entry that one list calls leaving", e.vm.Name)
			}
		}
	})
}
