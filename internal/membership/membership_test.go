package membership

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// maxDrainDelay is the time within which all entries must stop sending new work to
// a leaving server or entry.
const maxDrainDelay = 3 * time.Second

func has(vms []fleet.VM, name string) bool {
	return slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.Name == name })
}

func hasAddress(addresses []EntryAddress, vm fleet.VM) bool {
	return slices.ContainsFunc(addresses, func(a EntryAddress) bool { return a.Address == vm.Address })
}

func TestDrainingServerLeavesEveryView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(19, 30)
		for round := range 10 {
			server := serverVM(round).Name
			entries[round].ReportDraining(server)
			time.Sleep(maxDrainDelay)
			for _, e := range entries {
				if has(e.View().Servers("glazenpot/shop"), server) {
					t.Errorf("%s still uses draining server %s", e.vm.Name, server)
				}
			}
		}
	})
}

func TestServerThatServesAgainComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(5, 3)
		server := serverVM(1).Name
		entries[0].ReportDraining(server)
		time.Sleep(maxDrainDelay)
		entries[1].ReportServing(server)
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			if !has(e.View().Servers("glazenpot/shop"), server) {
				t.Errorf("%s does not use %s, which serves again", e.vm.Name, server)
			}
		}
	})
}

func TestLeavingServerInTheListOfOneEntryLeavesEveryView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(7, 3)
		f.set(func() { f.listDown = true })
		time.Sleep(time.Second)
		leaving := slices.Clone(f.vms)
		leaving[7].State = fleet.Leaving
		entries[2].setList(newVMList(leaving, time.Now()))
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			if has(e.View().Servers("glazenpot/shop"), leaving[7].Name) {
				t.Errorf("%s still uses leaving server %s", e.vm.Name, leaving[7].Name)
			}
		}
	})
}

func TestDeadEntryLeavesTheEndpointList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(19, 0)
		f.kill(entries[3])
		time.Sleep(2 * livenessTimeout)
		for _, e := range entries {
			if e != entries[3] && hasAddress(e.View().Addresses("zone-3", "caller", oneRegion), entries[3].vm) {
				t.Errorf("%s still returns the address of the dead entry", e.vm.Name)
			}
		}
	})
}

func TestDrainingEntryLeavesTheEndpointListAndStaysKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(19, 0)
		entries[3].SetDraining()
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			if hasAddress(e.View().Addresses("zone-3", "caller", oneRegion), entries[3].vm) {
				t.Errorf("%s still returns the address of the draining entry", e.vm.Name)
			}
			if _, ok := e.View().ByIncarnation("incarnation-3"); !ok {
				t.Errorf("%s no longer finds the draining entry by incarnation", e.vm.Name)
			}
		}
	})
}

func TestLiveEntriesNeverCountAsSilent(t *testing.T) {
	for _, n := range []int{3, 19, 60} {
		if n > maxFleet {
			break
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stop()
				entries := f.startAll(n, 0)
				for range 120 {
					time.Sleep(time.Second)
					for _, e := range entries {
						if got := len(e.View().Entries); got != n {
							t.Fatalf("%s sees %d entries, want %d", e.vm.Name, got, n)
						}
					}
				}
			})
		})
	}
}

func TestUnreachableListKeepsTheLastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(3, 4)
		f.set(func() { f.listDown = true })
		time.Sleep(time.Hour)
		for _, e := range entries {
			if got := len(e.View().Servers("glazenpot/shop")); got != 4 {
				t.Errorf("%s sees %d servers, want 4", e.vm.Name, got)
			}
			if got := len(e.View().Addresses("zone-1", "caller", oneRegion)); got != 3 {
				t.Errorf("%s returns %d addresses, want 3", e.vm.Name, got)
			}
		}
	})
}

func TestNewEntryInAnOutageGetsAllStateFromASeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(5, 4)
		entries[1].ReportDraining(serverVM(2).Name)
		time.Sleep(maxDrainDelay)
		f.set(func() { f.listDown = true })
		vm := entryVM(9) // is in no VM list
		fresh := f.start(vm, "incarnation-9", entries[0].vm.PeerAddress)
		time.Sleep(5 * time.Second)
		if got := len(fresh.View().Servers("glazenpot/shop")); got != 3 {
			t.Errorf("the new entry sees %d servers, want 3", got)
		}
		if got := len(fresh.View().Addresses("zone-1", "caller", oneRegion)); got != 6 {
			t.Errorf("the new entry returns %d addresses, want 6", got)
		}
		for _, e := range entries {
			if !hasAddress(e.View().Addresses("zone-1", "caller", oneRegion), vm) {
				t.Errorf("%s does not return the address of the new entry", e.vm.Name)
			}
		}
	})
}

func TestEntryWithoutConfigurationStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(3, 0)
		entries[1].follower.mu.Lock()
		entries[1].follower.offset = -1
		entries[1].follower.mu.Unlock()
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			if hasAddress(e.View().Addresses("zone-1", "caller", oneRegion), entries[1].vm) {
				t.Errorf("%s returns the address of an entry without a configuration", e.vm.Name)
			}
		}
	})
}

func TestRestartedProcessReplacesTheOldOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(5, 0)
		f.kill(entries[1])
		f.start(entryVM(1), "second")
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			if e == entries[1] {
				continue
			}
			count := 0
			for _, live := range e.View().Entries {
				if live.VM.Name != entryVM(1).Name {
					continue
				}
				count++
				if live.Incarnation != "second" {
					t.Errorf("%s sees the old process", e.vm.Name)
				}
			}
			if count != 1 {
				t.Errorf("%s sees %d processes of one VM, want 1", e.vm.Name, count)
			}
		}
	})
}

func TestCutZoneIsRoutedAroundAndItsReturnRamped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(12, 0)
		f.set(func() {
			f.isPartitioned = func(from, to fleet.VM) bool { return (from.Zone == "zone-2") != (to.Zone == "zone-2") }
		})
		time.Sleep(2 * livenessTimeout)
		outside := entries[0]
		for _, a := range outside.View().Addresses("zone-2", "caller", oneRegion) {
			if a.Zone == "zone-2" {
				t.Errorf("got the address of an entry in the partitioned zone")
			}
		}
		f.set(func() { f.isPartitioned = func(_, _ fleet.VM) bool { return false } })
		during, after := 0, 0
		for range 40 { // until the zone's return is detected
			time.Sleep(100 * time.Millisecond)
			if len(outside.View().Entries) == 12 {
				break
			}
		}
		during = firstChoices(outside, "zone-2")
		time.Sleep(2 * slowStartTime)
		after = firstChoices(outside, "zone-2")
		if during >= after/2 || after != zoneCallers {
			t.Errorf("own zone first for %d callers during slow start and %d after it; want less than half as many during it and 200 after it", during, after)
		}
		if got := len(outside.View().Entries); got != 12 {
			t.Errorf("%d entries after the partition, want 12", got)
		}
	})
}

// zoneCallers is the number of callers that firstChoices tries.
const zoneCallers = 200

// firstChoices returns the number of callers whose first address is in their own
// zone.
func firstChoices(e *testEntry, zone string) int {
	n := 0
	for i := range zoneCallers {
		if e.View().Addresses(zone, fmt.Sprint("caller-", i), oneRegion)[0].Zone == zone {
			n++
		}
	}
	return n
}

func TestIsolatedEntryStillListsTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(4, 0)
		isolated := entries[2].vm
		f.set(func() {
			f.isPartitioned = func(from, to fleet.VM) bool { return (from.Name == isolated.Name) != (to.Name == isolated.Name) }
		})
		time.Sleep(2 * livenessTimeout)
		addresses := entries[2].View().Addresses("zone-1", "caller", oneRegion)
		if len(addresses) != 4 || addresses[0].Address != isolated.Address {
			t.Errorf("got addresses %v, want all 4 entries with the isolated one first", addresses)
		}
		// The others may be lost, so they are not listed for as long as they are remembered.
		time.Sleep(maxListedSilence)
		addresses = entries[2].View().Addresses("zone-1", "caller", oneRegion)
		if len(addresses) != 1 || addresses[0].Address != isolated.Address {
			t.Errorf("got addresses %v after %v of silence, want the isolated entry only", addresses, 2*livenessTimeout+maxListedSilence)
		}
	})
}
