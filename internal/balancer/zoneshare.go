package balancer

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer/spill"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

const (
	// zoneShareInterval is the time between two decisions on what leaves the zone.
	zoneShareInterval = 100 * time.Millisecond
	// maxFreshAge is the mean age of another zone's load reports up to which single requests may
	// go there when their own zone's servers can't take them as soon. With older ones all entries
	// choose servers that others have filled by then, and slow each other down: then requests
	// leave by the share alone.
	maxFreshAge = 100 * time.Millisecond
	// ageWeight is the weight of the newest mean age.
	ageWeight = 0.1
	// minOwnServers is the number of servers in a zone from which requests may be kept there. A
	// zone of fewer is often without a server at full speed by chance.
	minOwnServers = 8
	// minZoneShareLogInterval is the least time between two log lines on a zone, and zoneShareLogStep
	// the change of the share from which there is one.
	minZoneShareLogInterval = time.Second
	zoneShareLogStep        = 0.1
)

// Reasons for which a request leaves the zone, as in the counter.
const (
	leftByShare     = "share"      // the zone's servers are busier than the others
	leftForNoServer = "no_server"  // the zone has no usable server
	leftForNoRoom   = "no_room"    // no other server of the zone could answer in time, or as soon
	leftByLoad      = "by_request" // servers report no slowdown; the choice goes by requests in progress
)

// ZoneShareChange is a change of the share of this entry's requests that another zone gets.
type ZoneShareChange struct {
	// Service is the service's key and Zone the other availability zone.
	Service, Zone string
	// Share is the new share, 0 to 1, and Before the one of the last change.
	Share, Before float64
	// OwnLoad and Load are the loads of the own zone and of the other one, in requests per slot
	// below the knee.
	OwnLoad, Load float64
}

// ZoneStatus is how one entry sees and uses the servers of an availability zone.
type ZoneStatus struct {
	// Zone is the zone and Servers the number of its usable servers.
	Zone    string `json:"zone"`
	Servers int    `json:"servers"`
	// Load is the number of requests there per slot below the knee, smoothed.
	Load float64 `json:"load"`
	// ReportAgeMs is the mean age of the newest load reports of a zone's servers, in milliseconds.
	ReportAgeMs int64 `json:"report_age_ms,omitempty"`
	// Share is the part of the entry's requests that it sends there because its own zone is
	// busier, and Sent all requests that it sent there.
	Share float64 `json:"share"`
	Sent  uint64  `json:"sent"`
}

// zoneState is this entry's state for the servers of one availability zone.
type zoneState struct {
	name      string
	timeCost  atomic.Uint64 // float64 bits: cost of its servers for requests of this entry, in nominal service times
	reportAge ewma          // mean age of the newest load reports of its servers, in nanoseconds
	sent      atomic.Uint64 // requests sent there
}

// zoneShares decides what leaves the zone. Its lock is a leaf, and picks never wait for it.
type zoneShares struct {
	decided atomic.Int64 // time of the last decision, in Unix nanoseconds
	current atomic.Pointer[zoneDecision]

	mu         sync.Mutex
	controller spill.Controller
	zones      []string // the other zones of the controller
	logged     map[string]loggedShare
}

type loggedShare struct {
	share float64
	at    int64
}

// zoneDecision is an immutable decision.
type zoneDecision struct {
	spill.Decision
	zones   []*zoneRing // the other zones, in the order of Decision.Parts
	servers []int       // usable servers of the own zone and of each other one
}

// zoneRing holds the servers of another zone in the order in which this entry prefers them.
type zoneRing struct {
	zone *zoneState
	ring []*backend
}

// otherZones returns the rings of all other zones in the same region.
func otherZones(backends []*backend, rank ZoneRank) []*zoneRing {
	var zones []*zoneRing
	for _, be := range backends {
		if be.localityCost <= 0 || be.localityCost > crossZoneLoadCost {
			continue
		}
		i := slices.IndexFunc(zones, func(z *zoneRing) bool { return z.zone == be.zone })
		if i < 0 {
			i, zones = len(zones), append(zones, &zoneRing{zone: be.zone})
		}
		zones[i].ring = append(zones[i].ring, be)
	}
	for _, z := range zones {
		z.ring = ringFrom(z.ring, rank)
	}
	slices.SortFunc(zones, func(a, b *zoneRing) int { return cmp.Compare(a.zone.name, b.zone.name) })
	return zones
}

// decideLeaving makes a new decision if one is due. Concurrent picks go by the current one.
func (b *Balancer) decideLeaving(s *snapshot, p *pickParams) {
	if len(s.otherZones) == 0 {
		if b.zoneShares.current.Load() != nil {
			b.zoneShares.current.Store(nil)
		}
		return
	}
	if p.now-b.zoneShares.decided.Load() < int64(zoneShareInterval) || !b.zoneShares.mu.TryLock() {
		return
	}
	defer b.zoneShares.mu.Unlock()
	if p.now-b.zoneShares.decided.Load() < int64(zoneShareInterval) {
		return
	}
	l := &b.zoneShares
	l.decided.Store(p.now)
	loads := make([]spill.Zone, 1+len(s.otherZones))
	servers := make([]int, len(loads))
	ages := make([]float64, len(loads))
	reports := false
	for _, be := range s.backends {
		i := 0
		if be.localityCost > 0 {
			i = 1 + slices.IndexFunc(s.otherZones, func(z *zoneRing) bool { return z.zone == be.zone })
			if i == 0 {
				continue // another region
			}
		}
		reservationMask := be.reserved.Load()
		if be.suspended(reservationMask, p.now) || !be.accepts(0, s.maxPerServer, p.now) || be.requestLimit.blocks(p) {
			continue
		}
		reports = reports || be.speed.known()
		servers[i]++
		ages[i] += float64(min(p.now-be.report.receivedAt.Load(), int64(reportLifetime)))
		loads[i].Slots += max(1, math.Floor(kneeUtilization*be.slots(p)))
		loads[i].Busy += be.inProgress(reservationMask, p)
	}
	if !reports {
		l.current.Store(nil)
		return
	}
	zones := make([]string, 0, len(s.otherZones))
	for _, z := range s.otherZones {
		zones = append(zones, z.zone.name)
	}
	if !slices.Equal(zones, l.zones) {
		l.controller, l.zones = spill.Controller{}, zones
	}
	d := &zoneDecision{Decision: l.controller.Update(steady.Time(p.now), loads[0], loads[1:]), zones: s.otherZones, servers: servers}
	for i, z := range d.zones {
		cost := float64(crossZoneTimeCost)
		z.zone.reportAge.update(ages[1+i]/max(float64(servers[1+i]), 1), ageWeight)
		switch {
		case servers[0] == 0:
			cost = 0
		case servers[0] >= minOwnServers && z.zone.reportAge.value() > float64(maxFreshAge):
			cost = math.Inf(1)
		}
		z.zone.timeCost.Store(math.Float64bits(cost))
	}
	l.current.Store(d)
	b.notifyShares(d, p.now)
}

// notifyShares tells of shares that changed by much since they were last told.
func (b *Balancer) notifyShares(d *zoneDecision, now int64) {
	if b.options.OnZoneShare == nil {
		return
	}
	for i, z := range d.zones {
		share := d.Share * d.Parts[i]
		last := b.zoneShares.logged[z.zone.name]
		ended := share == 0 && last.share > 0
		if !ended && math.Abs(share-last.share) < zoneShareLogStep || now-last.at < int64(minZoneShareLogInterval) {
			continue
		}
		if b.zoneShares.logged == nil {
			b.zoneShares.logged = make(map[string]loggedShare)
		}
		b.zoneShares.logged[z.zone.name] = loggedShare{share: share, at: now}
		b.options.OnZoneShare(ZoneShareChange{
			Service: b.options.Service, Zone: z.zone.name, Share: share, Before: last.share,
			OwnLoad: d.OwnLoad, Load: d.Loads[i],
		})
	}
}

// drawZone returns the zone that the pick goes to by the shares, or nil for the own one. The servers
// are those of the snapshot: the zone may have lost its servers, or been evacuated, since the decision.
func (b *Balancer) drawZone(s *snapshot, p *pickParams) *zoneRing {
	d := b.zoneShares.current.Load()
	if d == nil || d.Share == 0 || d.servers[0] == 0 {
		return nil
	}
	at := float64(p.salt>>11) / (1 << 53)
	for i, z := range d.zones {
		if at -= d.Share * d.Parts[i]; at >= 0 {
			continue
		}
		if i := slices.IndexFunc(s.otherZones, func(other *zoneRing) bool { return other.zone == z.zone }); i >= 0 {
			return s.otherZones[i]
		}
		return nil
	}
	return nil
}

// bestIn returns the best server of the zone for a request that leaves, or nil if none of those
// that the entry prefers there has a low score.
func (s *snapshot) bestIn(z *zoneRing, from int, p *pickParams, exclude []string) (*backend, uint32) {
	roaming := *p
	roaming.zone = z.zone
	return bestOfRing(z.ring, s.maxPerServer, from, &roaming, exclude)
}

// crossZoneCost returns the cost of a server of the zone, in nominal service times. A request that
// was sent before may go to any zone.
func (z *zoneState) crossZoneCost(p *pickParams) float64 {
	cost := math.Float64frombits(z.timeCost.Load())
	if p.again {
		cost = min(cost, crossZoneTimeCost)
	}
	return cost + p.bodyCost
}

// countLeft counts a request that leaves the zone.
func (b *Balancer) countLeft(be *backend, p *pickParams, byShare bool) {
	if be.localityCost <= 0 {
		return
	}
	be.zone.sent.Add(1)
	reason := leftForNoRoom
	switch d := b.zoneShares.current.Load(); {
	case byShare:
		reason = leftByShare
	case d == nil || !be.speed.known():
		reason = leftByLoad
	case d.servers[0] == 0:
		reason = leftForNoServer
	}
	b.options.Scope.Tagged(map[string]string{"service": b.options.Service, "zone": be.zone.name, "reason": reason}).
		Counter(metrics.LeftZone).Inc(1)
}

// ZoneStatuses returns the status of the own zone, which comes first, and of each other zone of
// the region; nothing if there is only one zone or servers report no slowdown.
func (b *Balancer) ZoneStatuses() []ZoneStatus {
	d := b.zoneShares.current.Load()
	if d == nil {
		return nil
	}
	statuses := []ZoneStatus{{Zone: b.options.Zone, Servers: d.servers[0], Load: round2(d.OwnLoad)}}
	for i, z := range d.zones {
		statuses = append(statuses, ZoneStatus{
			Zone: z.zone.name, Servers: d.servers[1+i], Load: round2(d.Loads[i]),
			ReportAgeMs: int64(z.zone.reportAge.value()) / int64(time.Millisecond),
			Share:       round2(d.Share * d.Parts[i]), Sent: z.zone.sent.Load(),
		})
	}
	return statuses
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }
