package membership

import (
	"maps"
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func sameServers(a, b *serverView) bool {
	same := func(x, y []fleet.VM) bool { return slices.Equal(x, y) }
	return maps.EqualFunc(a.taking, b.taking, same) && maps.EqualFunc(a.leaving, b.leaving, same)
}

// logChanges logs changes of the live entries and backend servers and updates the
// gauges.
func (m *Membership) logChanges(before, next *View) {
	m.opts.Scope.Gauge("entries_live").Update(float64(len(next.Entries)))
	m.opts.Scope.Gauge("entries_silent").Update(float64(len(next.silent)))
	m.opts.Scope.Gauge("servers_taking").Update(float64(serverCount(next.servers.taking)))
	m.opts.Scope.Gauge("servers_leaving").Update(float64(serverCount(next.servers.leaving)))
	if !sameMembers(before, next) {
		m.opts.Logger.Info("entries changed",
			"live", entryNames(next.Entries), "silent", entryNames(next.silent))
	}
	if !sameServers(before.servers, next.servers) {
		m.opts.Logger.Info("backend servers changed",
			"taking", serverCount(next.servers.taking), "leaving", serverCount(next.servers.leaving))
	}
}

func unique(in []string) []string {
	out := slices.Clone(in)
	slices.Sort(out)
	return slices.Compact(out)
}

func without(in, removed []string) []string {
	return slices.DeleteFunc(in, func(s string) bool { return slices.Contains(removed, s) })
}

// entryNames returns the VM names of entries.
func entryNames(entries []Entry) []string {
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.VM.Name
	}
	return out
}

// serverCount returns the total number of VMs of all services.
func serverCount(byService map[string][]fleet.VM) int {
	n := 0
	for _, vms := range byService {
		n += len(vms)
	}
	return n
}
