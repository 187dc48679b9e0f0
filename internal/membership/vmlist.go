package membership

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// vmList is the newest known VM list.
type vmList struct {
	vms    []fleet.VM
	byName map[string]fleet.VM
	hash   uint64
	asOf   time.Time // when the platform returned it
}

// newVMList returns a list sorted by name.
func newVMList(vms []fleet.VM, asOf time.Time) vmList {
	l := vmList{vms: slices.Clone(vms), byName: make(map[string]fleet.VM, len(vms)), asOf: asOf}
	slices.SortFunc(l.vms, func(a, b fleet.VM) int { return strings.Compare(a.Name, b.Name) })
	for _, vm := range l.vms {
		l.byName[vm.Name] = vm
	}
	data, _ := json.Marshal(l.vms) // never fails for a fleet.VM
	l.hash = xxhash.Sum64(data)
	return l
}

func (l vmList) known() bool { return l.byName != nil }

func (l vmList) has(name string) bool {
	_, ok := l.byName[name]
	return ok
}

// entries returns the entry VMs.
func (l vmList) entries() []fleet.VM {
	var out []fleet.VM
	for _, vm := range l.vms {
		if vm.Service == fleet.EntryService {
			out = append(out, vm)
		}
	}
	return out
}

// setList replaces the VM list and reports whether anything changed. It records
// the leaving VMs on each call, also if the list is unchanged, as a peer with an
// outdated list may have reported them as staying in the meantime.
func (t *table) setList(now time.Time, next vmList) bool {
	before := t.list
	t.list = next
	changed := !before.known() || before.hash != next.hash
	for _, vm := range next.vms {
		wasLeaving := before.byName[vm.Name].State == fleet.Leaving
		if vm.State == fleet.Leaving {
			changed = t.notices.reportList(now, vm.Name, true) || changed
		} else if wasLeaving {
			changed = t.notices.reportList(now, vm.Name, false) || changed
		}
	}
	return changed
}
