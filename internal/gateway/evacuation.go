package gateway

import (
	"slices"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
)

// zoneEvacuation holds the availability zones to whose servers nothing is sent. The zero value is
// that of no evacuated zone.
type zoneEvacuation struct {
	zones   []string // sorted
	unknown []string // those of which a log line said that they have no server
}

func (z *zoneEvacuation) set(zones []string) {
	z.zones = zones
	z.unknown = slices.DeleteFunc(z.unknown, func(zone string) bool { return !slices.Contains(zones, zone) })
}

// mark returns the servers, with those of evacuated zones marked as such unless they leave.
func (z *zoneEvacuation) mark(listed []fleet.VM) []fleet.VM {
	if len(z.zones) == 0 {
		return listed
	}
	marked := slices.Clone(listed)
	for i := range marked {
		if marked[i].State == fleet.Live && slices.Contains(z.zones, marked[i].Zone) {
			marked[i].State = fleet.Evacuated
		}
	}
	return marked
}

// logEvacuations logs and counts the zones that are newly evacuated or taken back. holder.mu must
// be held.
func (a applier) logEvacuations(zones []string) {
	old := a.holder.evacuation.zones
	for _, zone := range zones {
		if !slices.Contains(old, zone) {
			metrics.Count(a.scope, metrics.ZoneEvacuations, "evacuated")
			a.events.Info("zone evacuated", "zone", zone, "servers", serversIn(a.holder.listed, zone))
		}
	}
	for _, zone := range old {
		if !slices.Contains(zones, zone) {
			metrics.Count(a.scope, metrics.ZoneEvacuations, "taken_back")
			a.events.Info("zone taken back", "zone", zone, "servers", serversIn(a.holder.listed, zone))
		}
	}
}

// warnOfUnknownZones logs once each evacuated zone that no server is in: its name may be
// misspelt. holder.mu must be held.
func (a applier) warnOfUnknownZones() {
	z := &a.holder.evacuation
	if len(a.holder.listed) == 0 {
		return // the servers are not known yet
	}
	for _, zone := range z.zones {
		if serversIn(a.holder.listed, zone) == 0 && !slices.Contains(z.unknown, zone) {
			z.unknown = append(z.unknown, zone)
			metrics.Count(a.scope, metrics.ZoneEvacuations, "unknown_zone")
			a.events.Warn("evacuated zone has no server", "zone", zone)
		}
	}
}

// serversIn returns the number of servers in the zone.
func serversIn(vms []fleet.VM, zone string) int {
	n := 0
	for _, vm := range vms {
		if vm.Zone == zone {
			n++
		}
	}
	return n
}
