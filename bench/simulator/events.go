package simulator

import (
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// Event changes servers or callers at a time of a run.
type Event struct {
	// At is measured from the end of the warm-up.
	At time.Duration
	// LoseServers is the share of the servers of Zone that leave the VM list.
	LoseServers float64
	// MoveCallers is the share of the callers of Zone that move to the zone To.
	MoveCallers float64
	// Zone and To are the indexes of zones.
	Zone, To int
}

// ZonePair is the zone of an entry and that of a server.
type ZonePair struct{ From, To int }

func (r *run) scheduleEvents() {
	for _, event := range r.scenario.Events {
		r.clock.after(r.scenario.WarmUp+event.At, func() {
			r.moved = append(r.moved, event)
			if event.LoseServers > 0 {
				r.loseServers(event.Zone, event.LoseServers)
			}
		})
	}
}

// loseServers removes a share of the zone's servers from the VM list. What runs there ends
// as usual.
func (r *run) loseServers(zone int, share float64) {
	var inZone, rest []*server
	for _, s := range r.servers {
		if s.zone == zone {
			inZone = append(inZone, s)
		} else {
			rest = append(rest, s)
		}
	}
	lost := int(share * float64(len(inZone)))
	for _, s := range inZone[:lost] {
		s.vm.State = fleet.Leaving
	}
	r.servers = append(rest, inZone[lost:]...)
	r.updateServers()
}

// entryFor returns the entry that a call of the entry's callers arrives at, which is
// another one if they have moved.
func (r *run) entryFor(e *entry, rng *rand.Rand) *entry {
	for _, event := range r.moved {
		if event.MoveCallers == 0 || event.Zone != e.zone || rng.Float64() >= event.MoveCallers {
			continue
		}
		var there []*entry
		for _, other := range r.entries {
			if other.zone == event.To {
				there = append(there, other)
			}
		}
		return there[rng.IntN(len(there))]
	}
	return e
}

// sent counts an attempt.
func (r *run) sent(a *attempt) {
	a.call.entry.pool.take(r, a)
	if !r.inMeasuredTime() {
		return
	}
	r.result.Servers[a.server.vm.Name]++
	second := int((r.clock.now - r.scenario.WarmUp) / time.Second)
	for len(r.result.Zones) <= second {
		r.result.Zones = append(r.result.Zones, make(map[ZonePair]int64))
	}
	r.result.Zones[second][ZonePair{a.call.entry.zone, a.server.zone}]++
}

// RemoteShare returns the share of the attempts in the seconds from and until that went to
// servers of other zones.
func (r *Result) RemoteShare(from, until int) float64 {
	var remote, all int64
	for _, counts := range r.Zones[from:min(until, len(r.Zones))] {
		for pair, n := range counts {
			all += n
			if pair.From != pair.To {
				remote += n
			}
		}
	}
	return float64(remote) / float64(max(all, 1))
}
