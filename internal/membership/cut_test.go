package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func TestOneWayCutLeavesEntriesLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(7, 0)
		lame := entries[2].vm.Name
		for _, c := range []struct {
			name string
			cut  func(from, to fleet.VM) bool
		}{
			{"cannot call", func(from, _ fleet.VM) bool { return from.Name == lame }},
			{"cannot be called", func(_, to fleet.VM) bool { return to.Name == lame }},
		} {
			f.set(func() { f.cut = c.cut })
			time.Sleep(time.Minute)
			for _, e := range entries {
				if got := len(e.View().Entries); got != len(entries) {
					t.Errorf("%s: %s sees %d entries", c.name, e.vm.Name, got)
				}
			}
		}
	})
}

func TestNewsOfBothSidesMeetAfterARegionCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(12, 60)
		isLeft := func(vm fleet.VM) bool { return vm.Zone == "zone-0" || vm.Zone == "zone-1" }
		f.set(func() {
			f.down = true
			f.cut = func(from, to fleet.VM) bool { return isLeft(from) != isLeft(to) }
		})
		time.Sleep(10 * time.Minute)
		for i := range 20 { // entries 0 and 1 are on the left, 2 and 3 on the right
			entries[i%4].ReportDraining(serverVM(i).Name)
			time.Sleep(time.Second)
		}
		f.set(func() { f.cut = func(_, _ fleet.VM) bool { return false } })
		time.Sleep(time.Minute)
		for _, e := range entries {
			if got := len(e.View().Entries); got != len(entries) {
				t.Errorf("%s sees %d entries after the cut", e.vm.Name, got)
			}
			for i := range 20 {
				if !e.View().Draining(serverVM(i).Name) {
					t.Errorf("%s does not know that %s drains", e.vm.Name, serverVM(i).Name)
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
			choices := entries[0].View().Addresses("zone-1", fmt.Sprint("caller-", i), oneRegion)
			first[choices[0].Address]++
			if len(choices) != 16 || choices[0].Zone != "zone-1" || choices[3].Zone != "zone-1" {
				t.Fatalf("choices %v", choices)
			}
			again := entries[5].View().Addresses("zone-1", fmt.Sprint("caller-", i), oneRegion)
			if again[0] != choices[0] {
				t.Fatalf("entries differ: %v and %v", choices[0], again[0])
			}
		}
		for address, n := range first {
			if n < 50 || len(first) != 4 {
				t.Errorf("%s is the first choice of %d callers of 400; %d addresses", address, n, len(first))
			}
		}
	})
}
