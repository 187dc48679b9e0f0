package seat

import (
	"slices"
	"time"
)

// absences notes since when this process has seen VMs gone and other processes
// silent. It starts with everything present.
type absences struct {
	gone   map[string]time.Time // by VM
	silent map[string]time.Time // by incarnation
}

func newAbsences() absences {
	return absences{gone: make(map[string]time.Time), silent: make(map[string]time.Time)}
}

// noteGone takes the newest VM list; without any list no VM is gone.
func (a *absences) noteGone(now time.Time, table Table, isListed func(vm string) (listed, known bool)) {
	gone := make(map[string]time.Time)
	for _, h := range table.holders {
		listed, known := isListed(h.VM)
		if h.VM != "" && known && !listed {
			gone[h.VM] = firstSeen(a.gone, h.VM, now)
		}
	}
	a.gone = gone
}

// noteSilent takes the incarnations that gave a sign lately.
func (a *absences) noteSilent(now time.Time, table Table, live []string) {
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

func (a *absences) goneFor(vm string, now time.Time, d time.Duration) bool {
	at, gone := a.gone[vm]
	return gone && now.Sub(at) >= d
}

func (a *absences) silentFor(incarnation string, now time.Time, d time.Duration) bool {
	at, silent := a.silent[incarnation]
	return silent && now.Sub(at) >= d
}
