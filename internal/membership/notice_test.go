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
		f.set(func() { f.down = true }) // the other lists lag
		leaving := slices.Clone(f.vms)
		leaving[3].State = fleet.Leaving
		entries[0].setList(newVMList(leaving, time.Now()))
		time.Sleep(leaveTarget)
		for _, e := range entries {
			e.ReportServing(leaving[3].Name) // its load reports do not say draining yet
			time.Sleep(leaveTarget)
		}
		for _, e := range entries {
			if has(e.View().Servers("glazenpot/shop"), leaving[3].Name) {
				t.Errorf("%s uses a server that one list calls leaving", e.vm.Name)
			}
		}
		f.set(func() { f.down = false }) // the VM does not leave after all, all lists say
		time.Sleep(time.Minute)
		for _, e := range entries {
			if !has(e.View().Servers("glazenpot/shop"), leaving[3].Name) {
				t.Errorf("%s does not use a server that stays", e.vm.Name)
			}
		}
	})
}
