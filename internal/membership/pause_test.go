package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// newWithOnePeer returns a membership that has just seen one other entry.
func newWithOnePeer(t *testing.T) *Membership {
	t.Helper()
	f := newFleet(t)
	m := f.start(entryVM(0), "own").Membership
	f.kill(f.running[entryVM(0).PeerAddress]) // ends its loops; the test calls their steps itself
	m.table.addMembers(time.Now(), []peer.Member{{
		Sign: peer.Liveness{ID: peer.ShortID("other"), Counter: 1},
		Row:  peer.EntryState{Incarnation: "other", Version: 1},
		VM:   entryVM(1),
	}})
	return m
}

func TestPausedProcessKeepsTheOthers(t *testing.T) {
	for _, c := range []struct {
		name           string
		sinceIteration time.Duration
		wantEntries    int
		waitLater      time.Duration
		entriesLater   int
	}{
		{"paused", time.Minute, 2, livenessTimeout + time.Second, 1},
		{"running", heartbeatInterval, 1, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newWithOnePeer(t)
				time.Sleep(time.Minute)
				lastIteration := time.Now().Add(-c.sinceIteration)
				m.detectPause(&lastIteration)
				m.publish()
				if got := len(m.View().Entries); got != c.wantEntries {
					t.Errorf("%d entries, want %d", got, c.wantEntries)
				}
				time.Sleep(c.waitLater)
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
		duplicate := entryVM(1)
		duplicate.Address, duplicate.PeerAddress = "10.0.9.9:80", "10.0.9.9:81"
		f.start(duplicate, "twin", entries[0].vm.PeerAddress)
		time.Sleep(2 * duplicateGrace)
		for _, e := range []*testEntry{entries[0], entries[2], entries[3]} {
			count := 0
			for _, live := range e.View().Entries {
				if live.VM.Name == duplicate.Name {
					count++
				}
			}
			if count != 1 {
				t.Errorf("%s sees %d processes of %s, want 1", e.vm.Name, count, duplicate.Name)
			}
			for _, id := range []string{"twin", "incarnation-1"} {
				if _, ok := e.View().ByIncarnation(id); !ok {
					t.Errorf("%s does not find the process %s by incarnation", e.vm.Name, id)
				}
			}
		}
	})
}

func TestLeavingEntryInTheListOfOneEntryLeavesEveryEndpointList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(4, 0)
		f.set(func() { f.listDown = true })
		leaving := slices.Clone(f.vms)
		leaving[1].State = fleet.Leaving
		entries[0].setList(newVMList(leaving, time.Now()))
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			if hasAddress(e.View().Addresses("zone-1", "caller", oneRegion), entries[1].vm) {
				t.Errorf("%s returns the address of an entry that one list reports as leaving", e.vm.Name)
			}
		}
	})
}
