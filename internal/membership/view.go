package membership

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Entry is one entry process.
type Entry struct {
	// VM is where the process runs; its State is that of the VM list.
	VM fleet.VM
	// Incarnation is the random id of the process.
	Incarnation string
	// Epoch is the newest known epoch of its tickets.
	Epoch uint32
	// Offset is its applied offset of the config stream, -1 before the first.
	Offset int64
	// Draining is set when it takes no new callers.
	Draining bool
	// LastSeen is when it last gave a sign, on this VM's clock.
	LastSeen time.Time
	// readiness is the share of callers (0 to 1) that may choose it first.
	readiness float64
}

// takesCallers reports whether the entry belongs into the address answer.
func (e Entry) takesCallers() bool {
	return !e.Draining && e.Offset >= 0 && e.VM.State != fleet.Leaving
}

// View is what is known of the fleet at one time. It is immutable.
type View struct {
	// Entries are the live entries, this one and draining ones among them,
	// sorted by VM name.
	Entries []Entry
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
	hosts    map[string]bool     // IP numbers of all backend servers
}

// Servers returns the backend servers of a service ("member/service") that take
// new work, sorted by name. The slice must not be changed.
func (v *View) Servers(serviceKey string) []fleet.VM { return v.servers.taking[serviceKey] }

// LeavingServers returns the backend servers of a service that finish their work
// and take no new work. The slice must not be changed.
func (v *View) LeavingServers(serviceKey string) []fleet.VM { return v.servers.leaving[serviceKey] }

// Draining reports whether a backend server is known to take no new work.
func (v *View) Draining(server string) bool { return v.servers.draining[server] }

// Listed reports whether the newest known VM list has a VM of that name; known is
// false before the first list.
func (v *View) Listed(name string) (listed, known bool) {
	_, listed = v.servers.listed[name]
	return listed, v.servers.listed != nil
}

// IsServerHost reports whether a backend server has that IP number.
func (v *View) IsServerHost(ip string) bool { return v.servers.hosts[ip] }

// Position returns how many live entries come before this one in the rendezvous
// order of a key, so that the first in it can do a piece of work for all.
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

// ByIncarnation returns the entry process of that id, a silent one too.
func (v *View) ByIncarnation(id string) (Entry, bool) {
	e, ok := v.known[id]
	return e, ok
}
