package seat

import (
	"slices"
	"time"
)

// absenceTracker records since when VMs have been missing from the VM list and
// since when other entries have been silent, that is without a heartbeat within the
// liveness timeout. Initially all are present.
type absenceTracker struct {
	gone   map[string]time.Time // by VM
	silent map[string]time.Time // by incarnation
}

func newAbsenceTracker() absenceTracker {
	return absenceTracker{gone: make(map[string]time.Time), silent: make(map[string]time.Time)}
}

// updateGone applies the newest VM list. While no list is known, no VM counts
// as gone.
func (a *absenceTracker) updateGone(now time.Time, table Table, isListed func(vm string) (listed, known bool)) {
	gone := make(map[string]time.Time)
	for _, h := range table.holders {
		listed, known := isListed(h.VM)
		if h.VM != "" && known && !listed {
			gone[h.VM] = firstSeen(a.gone, h.VM, now)
		}
	}
	a.gone = gone
}

// updateSilent applies the list of the incarnations that are live.
func (a *absenceTracker) updateSilent(now time.Time, table Table, live []string) {
	silent := make(map[string]time.Time)
	for _, incarnation := range table.Holders() {
		if !slices.Contains(live, incarnation) {
			silent[incarnation] = firstSeen(a.silent, incarnation, now)
		}
	}
	a.silent = silent
}

func firstSeen(seen map[string]time.Time, key string, now time.Time) time.Time {
	if at, ok := seen[key]; ok {
		return at
	}
	return now
}

func (a *absenceTracker) goneFor(vm string, now time.Time, d time.Duration) bool {
	at, gone := a.gone[vm]
	return gone && now.Sub(at) >= d
}

func (a *absenceTracker) silentFor(incarnation string, now time.Time, d time.Duration) bool {
	at, silent := a.silent[incarnation]
	return silent && now.Sub(at) >= d
}
