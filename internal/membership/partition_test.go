package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func TestOneWayPartitionLeavesEntriesLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(7, 0)
		partitioned := entries[2].vm.Name
		for _, c := range []struct {
			name          string
			isPartitioned func(from, to fleet.VM) bool
		}{
			{"cannot call", func(from, _ fleet.VM) bool { return from.Name == partitioned }},
			{"cannot be called", func(_, to fleet.VM) bool { return to.Name == partitioned }},
		} {
			f.set(func() { f.isPartitioned = c.isPartitioned })
			time.Sleep(time.Minute)
			for _, e := range entries {
				if got := len(e.View().Entries); got != len(entries) {
					t.Errorf("%s: %s sees %d entries, want 7", c.name, e.vm.Name, got)
				}
			}
		}
	})
}

func TestUpdatesOfBothSidesMergeAfterARegionPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(12, 60)
		inFirstSide := func(vm fleet.VM) bool { return vm.Zone == "zone-0" || vm.Zone == "zone-1" }
		f.set(func() {
			f.listDown = true
			f.isPartitioned = func(from, to fleet.VM) bool { return inFirstSide(from) != inFirstSide(to) }
		})
		time.Sleep(10 * time.Minute)
		for i := range 20 { // entries 0 and 1 are on one side of the partition, 2 and 3 on the other
			entries[i%4].ReportDraining(serverVM(i).Name)
			time.Sleep(time.Second)
		}
		f.set(func() { f.isPartitioned = func(_, _ fleet.VM) bool { return false } })
		time.Sleep(time.Minute)
		for _, e := range entries {
			if got := len(e.View().Entries); got != len(entries) {
				t.Errorf("%s sees %d entries after the partition, want 12", e.vm.Name, got)
			}
			for i := range 20 {
				if !e.View().Draining(serverVM(i).Name) {
					t.Errorf("%s does not see that %s is draining", e.vm.Name, serverVM(i).Name)
				}
			}
		}
	})
}

func TestAddressesAreSpreadOverTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(16, 0)
		first := map[string]int{}
		for i := range 400 {
			addresses := entries[0].View().Addresses("zone-1", fmt.Sprint("caller-", i), oneRegion)
			first[addresses[0].Address]++
			if len(addresses) != 16 || addresses[0].Zone != "zone-1" || addresses[3].Zone != "zone-1" {
				t.Fatalf("got addresses %v, want 16 with the 4 entries of zone-1 first", addresses)
			}
			again := entries[5].View().Addresses("zone-1", fmt.Sprint("caller-", i), oneRegion)
			if again[0] != addresses[0] {
				t.Fatalf("first address differs between two entries: %v and %v", addresses[0], again[0])
			}
		}
		for address, n := range first {
			if n < 50 || len(first) != 4 {
				t.Errorf("%s is the first choice of %d of 400 callers, want at least 50; %d addresses are a first choice, want 4", address, n, len(first))
			}
		}
	})
}
