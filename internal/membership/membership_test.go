package membership

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// leaveTarget is how soon a leaving server or entry gets no new work anywhere.
const leaveTarget = 3 * time.Second

func has(vms []fleet.VM, name string) bool {
	return slices.ContainsFunc(vms, func(vm fleet.VM) bool { return vm.Name == name })
}

func hasAddress(choices []EntryAddress, vm fleet.VM) bool {
	return slices.ContainsFunc(choices, func(c EntryAddress) bool { return c.Address == vm.Address })
}

func TestDrainingServerLeavesEveryView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(19, 30)
		for round := range 10 {
			server := serverVM(round).Name
			entries[round].ReportDraining(server)
			time.Sleep(leaveTarget)
			for _, e := range entries {
				if has(e.View().Servers("glazenpot/shop"), server) {
					t.Errorf("%s still uses %s", e.vm.Name, server)
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
		time.Sleep(leaveTarget)
		entries[1].ReportServing(server)
		time.Sleep(leaveTarget)
		for _, e := range entries {
			if !has(e.View().Servers("glazenpot/shop"), server) {
				t.Errorf("%s does not use %s", e.vm.Name, server)
			}
		}
	})
}

func TestLeavingServerInTheListOfOneEntryLeavesEveryView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(7, 3)
		f.set(func() { f.down = true })
		time.Sleep(time.Second)
		leaving := slices.Clone(f.vms)
		leaving[7].State = fleet.Leaving
		entries[2].setList(newVMList(leaving, time.Now()))
		time.Sleep(leaveTarget)
		for _, e := range entries {
			if has(e.View().Servers("glazenpot/shop"), leaving[7].Name) {
				t.Errorf("%s still uses %s", e.vm.Name, leaving[7].Name)
			}
		}
	})
}

func TestDeadEntryLeavesTheAddressAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(19, 0)
		f.kill(entries[3])
		time.Sleep(2 * silentAfter)
		for _, e := range entries {
			if e != entries[3] && hasAddress(e.View().Addresses("zone-3", "caller", oneRegion), entries[3].vm) {
				t.Errorf("%s still names the dead entry", e.vm.Name)
			}
		}
	})
}

func TestDrainingEntryLeavesTheAddressAnswerAndStaysKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(19, 0)
		entries[3].SetDraining()
		time.Sleep(leaveTarget)
		for _, e := range entries {
			if hasAddress(e.View().Addresses("zone-3", "caller", oneRegion), entries[3].vm) {
				t.Errorf("%s still names the draining entry", e.vm.Name)
			}
			if _, ok := e.View().ByIncarnation("incarnation-3"); !ok {
				t.Errorf("%s lost the draining entry", e.vm.Name)
			}
		}
	})
}

func TestLiveEntriesNeverCountAsSilent(t *testing.T) {
	for _, n := range []int{3, 19, 60} {
		if n > largestFleet {
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
		f.set(func() { f.down = true })
		time.Sleep(time.Hour)
		for _, e := range entries {
			if got := len(e.View().Servers("glazenpot/shop")); got != 4 {
				t.Errorf("%s sees %d servers", e.vm.Name, got)
			}
			if got := len(e.View().Addresses("zone-1", "caller", oneRegion)); got != 3 {
				t.Errorf("%s names %d entries", e.vm.Name, got)
			}
		}
	})
}

func TestNewEntryInAnOutageLearnsAllFromASeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(5, 4)
		entries[1].ReportDraining(serverVM(2).Name)
		time.Sleep(leaveTarget)
		f.set(func() { f.down = true })
		vm := entryVM(9) // no VM list names it
		fresh := f.start(vm, "incarnation-9", entries[0].vm.PeerAddress)
		time.Sleep(5 * time.Second)
		if got := len(fresh.View().Servers("glazenpot/shop")); got != 3 {
			t.Errorf("the new entry sees %d servers, want 3", got)
		}
		if got := len(fresh.View().Addresses("zone-1", "caller", oneRegion)); got != 6 {
			t.Errorf("the new entry names %d entries, want 6", got)
		}
		for _, e := range entries {
			if !hasAddress(e.View().Addresses("zone-1", "caller", oneRegion), vm) {
				t.Errorf("%s does not name the new entry", e.vm.Name)
			}
		}
	})
}

func TestEntryWithoutConfigurationStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(3, 0)
		entries[1].config.mu.Lock()
		entries[1].config.offset = -1
		entries[1].config.mu.Unlock()
		time.Sleep(leaveTarget)
		for _, e := range entries {
			if hasAddress(e.View().Addresses("zone-1", "caller", oneRegion), entries[1].vm) {
				t.Errorf("%s names an entry without a configuration", e.vm.Name)
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
		time.Sleep(leaveTarget)
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
				t.Errorf("%s sees %d processes of one VM", e.vm.Name, count)
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
			f.cut = func(from, to fleet.VM) bool { return (from.Zone == "zone-2") != (to.Zone == "zone-2") }
		})
		time.Sleep(2 * silentAfter)
		outside := entries[0]
		for _, c := range outside.View().Addresses("zone-2", "caller", oneRegion) {
			if c.Zone == "zone-2" {
				t.Errorf("an entry of the cut zone is named")
			}
		}
		f.set(func() { f.cut = func(_, _ fleet.VM) bool { return false } })
		early, late := 0, 0
		for range 40 { // until the return is noticed
			time.Sleep(100 * time.Millisecond)
			if len(outside.View().Entries) == 12 {
				break
			}
		}
		early = firstChoices(outside, "zone-2")
		time.Sleep(2 * rampTime)
		late = firstChoices(outside, "zone-2")
		if early >= late/2 || late != ramCallers {
			t.Errorf("%d callers get their own zone first at once and %d later", early, late)
		}
		if got := len(outside.View().Entries); got != 12 {
			t.Errorf("%d entries after the cut, want 12", got)
		}
	})
}

// ramCallers is the number of callers asked for by firstChoices.
const ramCallers = 200

// firstChoices counts the callers of a zone whose first choice is in it.
func firstChoices(e *testEntry, zone string) int {
	n := 0
	for i := range ramCallers {
		if e.View().Addresses(zone, fmt.Sprint("caller-", i), oneRegion)[0].Zone == zone {
			n++
		}
	}
	return n
}

func TestEntryThatHearsNobodyStillNamesTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(4, 0)
		alone := entries[2].vm
		f.set(func() {
			f.cut = func(from, to fleet.VM) bool { return (from.Name == alone.Name) != (to.Name == alone.Name) }
		})
		time.Sleep(2 * silentAfter)
		choices := entries[2].View().Addresses("zone-1", "caller", oneRegion)
		if len(choices) != 4 || choices[0].Address != alone.Address {
			t.Errorf("choices %v", choices)
		}
	})
}
