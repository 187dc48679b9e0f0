package loadsync

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// Sent records that this entry sends a request to the server. If other entries are likely
// to want the same slot before the next heartbeat, it is sent to them immediately.
func (s *Syncer) Sent(server string, peersWantSlot bool) {
	s.mu.Lock()
	if t := s.byName[server]; t != nil {
		p := s.pendingFor(t.id)
		p.counts.Sent++
		p.lastSentAt = time.Now()
	}
	s.mu.Unlock()
	if peersWantSlot {
		s.options.Flush()
	}
}

// Ended records the result of a request of this entry. If the request frees a slot of a
// full server, that is sent to the other entries immediately.
func (s *Syncer) Ended(server string, r balancer.Result, freed bool, now time.Time) {
	s.recordResult(server, r, now)
	if freed {
		s.options.Flush()
	}
}

// limitRepeatTime is how long a request limit is repeated in each heartbeat after the
// response that named it, as some heartbeats are lost or do not reach all entries.
const limitRepeatTime = time.Second

// LimitNamed records the request limit in a response for the next heartbeats. A change is
// sent immediately.
func (s *Syncer) LimitNamed(server string, limit balancer.NamedLimit, at time.Time, changed bool) {
	s.mu.Lock()
	if t := s.byName[server]; t != nil {
		p := s.pendingFor(t.id)
		p.limit = cluster.RequestLimit{Server: t.id, PerSecond: limit.PerSecond, Ended: limit.Ended}
		p.limitAt = at
	}
	s.mu.Unlock()
	if changed {
		s.options.Flush()
	}
}

// WarmingUp records how long the warm-up of a server lasts by a response, for the next heartbeats.
// News is sent immediately.
func (s *Syncer) WarmingUp(server string, left time.Duration, at time.Time, news bool) {
	s.mu.Lock()
	if t := s.byName[server]; t != nil {
		p := s.pendingFor(t.id)
		p.warmUp, p.warmUpAt = cluster.WarmUp{Server: t.id, Left: left}, at
	}
	s.mu.Unlock()
	if news {
		s.options.Flush()
	}
}

// recordResult adds the result of a request to the pending counts.
func (s *Syncer) recordResult(server string, r balancer.Result, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.byName[server]
	if t == nil {
		return
	}
	p := s.pendingFor(t.id)
	switch r.Kind {
	case balancer.OK:
		p.counts.Completed++
	case balancer.Error, balancer.DialFailed:
		p.counts.Failed++
	}
	if r.HasReport {
		s.recordReport(t.id, r.Report, now)
	}
}

// Collect moves the pending reports and counts into a heartbeat.
func (s *Syncer) Collect(heartbeat *cluster.Heartbeat, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pending {
		if !p.reportAt.IsZero() {
			p.report.Age = now.Sub(p.reportAt)
			heartbeat.Reports = append(heartbeat.Reports, p.report)
			p.reportAt = time.Time{}
		}
		if p.counts != (cluster.RequestCounts{Server: id}) {
			if p.counts.Sent > 0 {
				p.counts.SentAge = now.Sub(p.lastSentAt)
			}
			heartbeat.RequestCounts = append(heartbeat.RequestCounts, p.counts)
			p.counts = cluster.RequestCounts{Server: id}
		}
		if !p.limitAt.IsZero() {
			p.limit.Age = now.Sub(p.limitAt)
			heartbeat.RequestLimits = append(heartbeat.RequestLimits, p.limit)
			if p.limit.Age >= limitRepeatTime {
				p.limitAt = time.Time{}
			}
		}
		if !p.warmUpAt.IsZero() {
			p.warmUp.Age = now.Sub(p.warmUpAt)
			heartbeat.WarmUps = append(heartbeat.WarmUps, p.warmUp)
			if p.warmUp.Age >= limitRepeatTime {
				p.warmUpAt = time.Time{}
			}
		}
	}
}

// Receive applies the reports, counts and limits in another entry's heartbeat. Unknown
// servers are ignored.
func (s *Syncer) Receive(heartbeat *cluster.Heartbeat, now time.Time) {
	s.receiveLimits(heartbeat.RequestLimits, now)
	for _, w := range heartbeat.WarmUps {
		if t := s.target(w.Server); t != nil {
			t.balancer.AddPeerWarmUp(t.vm.Name, now.Add(-w.Age), w.Left)
		}
	}
	for _, r := range heartbeat.Reports {
		t := s.target(r.Server)
		if t == nil {
			continue
		}
		at := now.Add(-r.Age)
		t.balancer.AddReport(t.vm.Name, at, balancer.Report{
			InFlight: r.InFlight, Queue: r.Queue, Slowdown: r.Slowdown, Draining: r.Draining,
		})
		s.recordPeerReport(t.id, at)
	}
	for _, counts := range heartbeat.RequestCounts {
		if t := s.target(counts.Server); t != nil {
			t.balancer.AddPeerCounts(t.vm.Name, now.Add(-counts.SentAge), balancer.RequestCounts{
				Sent: counts.Sent, Completed: counts.Completed, Failed: counts.Failed,
			})
		}
	}
}

// receiveLimits applies the request limits in another entry's heartbeat.
func (s *Syncer) receiveLimits(limits []cluster.RequestLimit, now time.Time) {
	for _, l := range limits {
		if t := s.target(l.Server); t != nil {
			t.balancer.AddPeerLimit(t.vm.Name, now.Add(-l.Age), balancer.NamedLimit{PerSecond: l.PerSecond, Ended: l.Ended})
		}
	}
}

// recordPeerReport records the time of another entry's report, so that the server is not
// probed right after it.
func (s *Syncer) recordPeerReport(id cluster.ServerID, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pendingFor(id)
	if at.After(p.lastReportAt) {
		p.lastReportAt = at
	}
}

// target returns the server with that id, or nil.
func (s *Syncer) target(id cluster.ServerID) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}
