package simulator

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/phase"
)

const (
	// sharedProbeInterval is the time between two probes of a server while the phase of
	// its speed changes is unknown.
	sharedProbeInterval = 33 * time.Millisecond
	// gossipDelay is the delay of a datagram between entries, processing included.
	gossipDelay = time.Millisecond
)

// startSharedProbes starts to probe each server. One entry sends each probe and
// broadcasts the report to all entries.
func (r *run) startSharedProbes() {
	for _, s := range r.servers {
		r.sharedProbeLoop(s, &phase.Tracker{})
	}
}

// sharedProbeLoop probes one server, and again when its speed may have changed or, while
// the phase of the changes is unknown, at a fixed interval.
func (r *run) sharedProbeLoop(s *server, tracker *phase.Tracker) {
	report, at := s.report(), r.clock.time()
	if r.inMeasuredTime() {
		r.result.Probes++
		r.result.Bytes += probeBytes
	}
	r.broadcast(nil, s.zone, func(q *productDispatcher) { q.balancer.AddReport(s.vm.Name, at, report) })
	tracker.Observe(at, report.Slowdown)
	delay := cmp.Or(r.scenario.ProbeInterval, sharedProbeInterval)
	if tracker.Locked() && !r.scenario.FixedRateProbes {
		due, _ := tracker.Next(at)
		delay = due.Sub(at)
	}
	r.clock.after(delay, func() { r.sharedProbeLoop(s, tracker) })
}

// broadcast runs do at all entries but the sender after the gossip delay, and after
// Scenario.OtherZonesDelay in zones other than the given one.
func (r *run) broadcast(from *productDispatcher, zone int, do func(*productDispatcher)) {
	deliver := func(inZone bool) {
		for _, e := range r.entries {
			if q := e.dispatcher.(*productDispatcher); q != from && (e.zone == zone) == inZone {
				do(q)
			}
		}
	}
	r.clock.after(gossipDelay, func() { deliver(true) })
	r.clock.after(max(gossipDelay, r.scenario.OtherZonesDelay), func() { deliver(false) })
}

// staggerPosition returns this entry's position in the order of entries for a server.
// The entry at which the order starts depends on the server.
func (d *productDispatcher) staggerPosition(server string) int {
	entries := d.entry.run.scenario.Entries
	return (d.entry.index + int(xxhash.Sum64String(server)%uint64(entries))) % entries
}

// zoneRank returns this entry's place among the entries of its zone.
func (d *productDispatcher) zoneRank() balancer.ZoneRank {
	s := d.entry.run.scenario
	var rank balancer.ZoneRank
	for i := range s.Entries {
		if zoneOf(i, s.Zones, s.ZoneEntries) != d.entry.zone {
			continue
		}
		rank.Entries++
		if i < d.entry.index {
			rank.Rank++
		}
	}
	return rank
}
