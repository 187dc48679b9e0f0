package membership

import (
	"net"
	"slices"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// buildView returns a View of the table at the given time.
func (t *table) buildView(now time.Time, servers *serverView) *View {
	v := &View{
		builtAt: now,
		self:    t.self.Row.Incarnation,
		known:   make(map[string]Entry, len(t.members)+1),
		servers: servers,
	}
	self := Entry{
		VM:             t.withListState(t.self.VM),
		Incarnation:    t.self.Row.Incarnation,
		Epoch:          t.self.Row.Epoch,
		Offset:         t.self.Row.Offset,
		Draining:       t.self.Row.Draining,
		LastSeen:       now,
		slowStartShare: 1,
	}
	v.known[self.Incarnation] = self
	v.Entries = append(v.Entries, self)
	for _, m := range t.members {
		t.addMember(v, m, now)
	}
	byName := func(a, b Entry) int { return strings.Compare(a.VM.Name, b.VM.Name) }
	slices.SortFunc(v.Entries, byName)
	slices.SortFunc(v.silent, byName)
	return v
}

func (t *table) addMember(v *View, m *member, now time.Time) {
	e := Entry{
		VM:             t.withListState(m.vm),
		Incarnation:    m.state.Incarnation,
		Epoch:          m.state.Epoch,
		Offset:         m.state.Offset,
		Draining:       m.state.Draining,
		LastSeen:       m.lastSeen,
		slowStartShare: m.slowStartShare(now),
	}
	v.known[e.Incarnation] = e
	switch {
	case !t.isNewest(m):
	case m.isSilent(now):
		v.silent = append(v.silent, e)
	default:
		v.Entries = append(v.Entries, e)
	}
}

// withListState returns the VM with its state in this entry's VM list, or with
// state leaving if a drain notice reports it.
func (t *table) withListState(vm fleet.VM) fleet.VM {
	if listed, ok := t.list.byName[vm.Name]; ok {
		vm.State = listed.State
	}
	if t.notices.isDraining(vm.Name) {
		vm.State = fleet.Leaving
	}
	return vm
}

// buildServers returns the backend server part of a View.
func (t *table) buildServers() *serverView {
	s := &serverView{
		taking:   map[string][]fleet.VM{},
		leaving:  map[string][]fleet.VM{},
		draining: t.notices.draining(),
		listed:   t.list.byName,
		hosts:    map[string]bool{},
	}
	for _, vm := range t.list.vms {
		if vm.Service != fleet.EntryService {
			s.hosts[hostOf(vm.Address)] = true
		}
		switch {
		case vm.Service == fleet.EntryService:
		case vm.State == fleet.Leaving || s.draining[vm.Name]:
			s.leaving[vm.Service] = append(s.leaving[vm.Service], vm)
		default:
			s.taking[vm.Service] = append(s.taking[vm.Service], vm)
		}
	}
	return s
}

// sameMembers reports whether two views have the same live entries in the same
// states, apart from their counters and offsets.
func sameMembers(a, b *View) bool {
	return slices.EqualFunc(a.Entries, b.Entries, func(x, y Entry) bool {
		return x.Incarnation == y.Incarnation && x.VM == y.VM && x.Draining == y.Draining
	})
}

// hostOf returns the IP address of an address with a port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
