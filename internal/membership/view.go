package membership

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Entry is one entry process.
type Entry struct {
	// VM is where the process runs. Its State is Leaving if any entry's VM list
	// reports that, otherwise that of this entry's VM list.
	VM fleet.VM
	// Incarnation is the random id of the process.
	Incarnation string
	// Epoch is the newest known epoch of the tickets that it issues.
	Epoch uint32
	// Offset is its applied offset of the config stream, -1 before the first
	// record.
	Offset int64
	// Draining is set if the process takes no new callers.
	Draining bool
	// LastSeen is when its liveness counter last rose, on this VM's clock.
	LastSeen time.Time
	// slowStartShare is the share of callers (0 to 1) that may get it as their
	// first choice.
	slowStartShare float64
}

// takesCallers reports whether the entry belongs in the endpoint list.
func (e Entry) takesCallers() bool {
	return !e.Draining && e.Offset >= 0 && e.VM.State != fleet.Leaving
}

// View is an immutable snapshot of the known entries and backend servers.
type View struct {
	// Entries are the live entries, including this one and draining ones, sorted
	// by VM name.
	Entries []Entry
	builtAt time.Time
	self    string
	silent  []Entry
	known   map[string]Entry
	servers *serverView
}

// serverView is the backend server part of a View.
type serverView struct {
	taking   map[string][]fleet.VM
	leaving  map[string][]fleet.VM
	draining map[string]bool
	listed   map[string]fleet.VM // nil before the first VM list
	hosts    map[string]bool     // IP addresses of all backend servers
}

// Servers returns the backend servers of a service ("member/service") that take
// new work, sorted by name. The slice must not be changed.
func (v *View) Servers(serviceKey string) []fleet.VM { return v.servers.taking[serviceKey] }

// LeavingServers returns the backend servers of a service that finish their work
// and take no new work. The slice must not be changed.
func (v *View) LeavingServers(serviceKey string) []fleet.VM { return v.servers.leaving[serviceKey] }

// Draining reports whether a backend server, by VM name, is known to take no new
// work.
func (v *View) Draining(server string) bool { return v.servers.draining[server] }

// Listed reports whether the newest known VM list contains a VM with the given
// name. known is false before the first list.
func (v *View) Listed(name string) (listed, known bool) {
	_, listed = v.servers.listed[name]
	return listed, v.servers.listed != nil
}

// IsServerHost reports whether a backend server has the given IP address.
func (v *View) IsServerHost(ip string) bool { return v.servers.hosts[ip] }

// Position returns the number of live entries before this one in the rendezvous
// order of a key. It lets the first entry in that order do a task for all.
func (v *View) Position(key string) int {
	before := 0
	own := rendezvous(key, v.self)
	for _, e := range v.Entries {
		if e.Incarnation != v.self && rendezvous(key, e.Incarnation) > own {
			before++
		}
	}
	return before
}

// ByIncarnation returns the entry process with the given incarnation, also if it
// is silent.
func (v *View) ByIncarnation(id string) (Entry, bool) {
	e, ok := v.known[id]
	return e, ok
}
