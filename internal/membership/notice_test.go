package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func TestLoadReportDoesNotUndoTheVMList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		entries := f.startAll(3, 3)
		f.set(func() { f.listDown = true }) // the other lists lag
		leaving := slices.Clone(f.vms)
		leaving[3].State = fleet.Leaving
		entries[0].setList(newVMList(leaving, time.Now()))
		time.Sleep(maxDrainDelay)
		for _, e := range entries {
			e.ReportServing(leaving[3].Name) // its load reports are not draining yet
			time.Sleep(maxDrainDelay)
		}
		for _, e := range entries {
			if has(e.View().Servers("glazenpot/shop"), leaving[3].Name) {
				t.Errorf("%s uses a server that one list reports as leaving", e.vm.Name)
			}
		}
		f.set(func() { f.listDown = false }) // all lists report that the VM stays after all
		time.Sleep(time.Minute)
		for _, e := range entries {
			if !has(e.View().Servers("glazenpot/shop"), leaving[3].Name) {
				t.Errorf("%s does not use a server that stays", e.vm.Name)
			}
		}
	})
}
