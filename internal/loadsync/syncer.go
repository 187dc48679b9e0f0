// Package loadsync probes backend servers and exchanges their load reports between the
// entries.
//
// Each server is assigned to one entry, by rendezvous hashing among the entries in the
// server's availability zone. That entry probes the server in each round. Each entry
// sends with its heartbeats what is new since the previous one: the load reports of
// probes and of responses, and the counts of its requests. If the phase of a server's
// speed changes is known (see package phase), it is probed right after its speed may
// have changed, and a change is sent immediately. While entries disagree on an
// assignment, a server is probed twice or not at all; the excess is bounded by each
// entry's budget.
package loadsync

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/phase"
	"chestnutrouter.example/chestnutrouter/internal/probe"
	"chestnutrouter.example/chestnutrouter/internal/service"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// maxRoundWait is how long a round waits for its probes; later reports are sent
	// with the next heartbeat.
	maxRoundWait = 6 * time.Millisecond
	// probeTimeout bounds one probe: a server that takes longer counts as failed.
	probeTimeout = 250 * time.Millisecond
	// minReportAge is the age of the last report from which a probe is worth its cost.
	minReportAge = 15 * time.Millisecond
	// minReportAgeBetween is the age of the last report from which a probe between two
	// possible changes of the speed is worth its cost: such a probe only updates the
	// number of requests. It is about half of the time between two scheduled probes.
	minReportAgeBetween = 40 * time.Millisecond
	// assignInterval is the least time between two assignments of the servers: the cost
	// is proportional to entries times servers, and at a start entries join one by
	// one.
	assignInterval = 200 * time.Millisecond
	// budgetSlack is how many times its equal share of all probes an entry may send. It
	// keeps an entry that sees few others from probing all servers at full rate.
	budgetSlack = 2.5
)

// Options are the settings of a Syncer.
type Options struct {
	// VM is the name of this VM.
	VM string
	// View returns the view of the cluster.
	View func() *cluster.View
	// Sender sends the probes.
	Sender probe.Sender
	// Flush sends pending reports and counts immediately; if nil, they wait for the next
	// heartbeat.
	Flush func()
	// SettledAt is when this entry should have contact to others after its start. Until then it sends
	// no probes while it knows no other entry, as it would take all servers for its own. The zero
	// time is that of an entry without others.
	SettledAt time.Time
	// Scope receives the counters; nil discards them.
	Scope tally.Scope
}

// target is a backend server of a running service.
type target struct {
	id       cluster.ServerID
	vm       fleet.VM
	service  *tree.Service
	balancer *balancer.Balancer
	probing  bool
	owned    bool // the server is assigned to this entry
	tracker  phase.Tracker
	// dueAt is when a timer probes the server, and afterChange whether its speed may
	// have changed right before. Rounds skip the server until then.
	dueAt       time.Time
	afterChange bool
}

// pending holds the report, the counts, the request limit and the warm-up of a server to send
// with the next heartbeat.
type pending struct {
	report       cluster.LoadReport
	reportAt     time.Time // time of report, zero if there is none
	counts       cluster.RequestCounts
	limit        cluster.RequestLimit
	limitAt      time.Time // arrival of the response with limit, zero if there is none
	warmUp       cluster.WarmUp
	warmUpAt     time.Time // arrival of the response with warmUp, zero if there is none
	lastSentAt   time.Time // when the last request in counts was sent
	lastReportAt time.Time // time of the last report, of this or another entry
}

// Syncer probes the servers assigned to this entry and collects the reports and counts
// for its heartbeats. It is safe for concurrent use.
type Syncer struct {
	options Options

	mu         sync.Mutex // guards the fields below
	targets    map[cluster.ServerID]*target
	byName     map[string]*target
	pending    map[cluster.ServerID]*pending
	budget     float64
	view       *cluster.View // view of the last assignment; nil if it is outdated
	assignedAt time.Time     // time of the last assignment
}

// New returns a Syncer without servers.
func New(options Options) *Syncer {
	if options.Flush == nil {
		options.Flush = func() {}
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Syncer{
		options: options,
		targets: map[cluster.ServerID]*target{},
		byName:  map[string]*target{},
		pending: map[cluster.ServerID]*pending{},
	}
}

var _ balancer.Observer = (*Syncer)(nil)

// Update replaces the set of servers by those of the running services.
func (s *Syncer) Update(t *tree.Tree, running *service.Set, servers []fleet.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	services := make(map[string]*tree.Service, len(t.Services))
	for _, svc := range t.Services {
		services[svc.Key()] = svc
	}
	targets := make(map[cluster.ServerID]*target, len(servers))
	byName := make(map[string]*target, len(servers))
	for _, vm := range servers {
		svc := services[vm.Service]
		if svc == nil {
			continue
		}
		r, ok := running.Get(svc.Key())
		if !ok {
			continue
		}
		next := &target{id: cluster.ServerIDOf(vm), vm: vm, service: svc, balancer: r.Balancer}
		if old := s.targets[next.id]; old != nil {
			next.probing, next.tracker, next.dueAt, next.afterChange = old.probing, old.tracker, old.dueAt, old.afterChange
		}
		targets[next.id], byName[vm.Name] = next, next
	}
	for id := range s.pending {
		if targets[id] == nil {
			delete(s.pending, id)
		}
	}
	s.targets, s.byName = targets, byName
	s.view = nil
}

// assign determines which servers are assigned to this entry, if the entries or the
// servers have changed. s.mu must be held.
func (s *Syncer) assign(view *cluster.View, now time.Time) {
	if s.view != nil && (s.view.SameAssignment(view) || now.Sub(s.assignedAt) < assignInterval) {
		return
	}
	s.view, s.assignedAt = view, now
	for _, t := range s.targets {
		owner, ok := view.Owner(t.vm.Name, t.vm.Zone)
		t.owned = ok && owner.VM == s.options.VM
	}
}

// Round probes the servers assigned to this entry that are due, and waits up to
// maxRoundWait for the reports.
func (s *Syncer) Round(ctx context.Context, now time.Time) {
	due := s.dueTargets(now)
	if len(due) == 0 {
		return
	}
	done := make(chan struct{}, len(due))
	for _, t := range due {
		go func() {
			s.probe(ctx, t)
			done <- struct{}{}
		}()
	}
	timer := time.NewTimer(maxRoundWait)
	defer timer.Stop()
	for range due {
		select {
		case <-done:
		case <-timer.C:
			return
		}
	}
}

// dueTargets returns the servers to probe in this round and takes them from the budget.
func (s *Syncer) dueTargets(now time.Time) []*target {
	view := s.options.View()
	if view.Known <= 1 && now.Before(s.options.SettledAt) {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assign(view, now)
	share := float64(len(s.targets)) / float64(max(view.Known, 1)) * budgetSlack
	s.budget = min(s.budget+share, max(2*share, 1))
	var due []*target
	for _, t := range s.targets {
		if s.budget < 1 {
			break
		}
		if !t.owned || t.probing || t.dueAt.After(now) || !t.balancer.Wants(t.vm.Name, now) || now.Sub(s.pendingFor(t.id).lastReportAt) < minReportAge {
			continue
		}
		s.budget--
		t.probing = true
		due = append(due, t)
	}
	return due
}

// scheduleProbe sets a timer for the next probe of a server whose phase is known. s.mu must
// be held.
func (s *Syncer) scheduleProbe(ctx context.Context, t *target, now time.Time) {
	if !t.owned || !t.tracker.Locked() || t.dueAt.After(now) {
		return
	}
	t.dueAt, t.afterChange = t.tracker.Next(now)
	id := t.id
	time.AfterFunc(t.dueAt.Sub(now), func() { s.probeScheduled(ctx, id) })
}

// probeScheduled probes a server whose timer has expired. A server that it skips is due in
// the next round, or at its next scheduled probe.
func (s *Syncer) probeScheduled(ctx context.Context, id cluster.ServerID) {
	now := time.Now()
	s.mu.Lock()
	t := s.targets[id]
	if t == nil || !t.owned || t.probing || t.dueAt.After(now) || ctx.Err() != nil || !t.balancer.Wants(t.vm.Name, now) {
		s.mu.Unlock()
		return
	}
	if !t.afterChange && now.Sub(s.pendingFor(id).lastReportAt) < minReportAgeBetween {
		s.scheduleProbe(ctx, t, now)
		s.mu.Unlock()
		return
	}
	if s.budget < 1 {
		s.mu.Unlock()
		return
	}
	s.budget--
	t.probing = true
	s.mu.Unlock()
	s.probe(ctx, t)
}

// pendingFor returns the pending report and counts of a server. s.mu must be held.
func (s *Syncer) pendingFor(id cluster.ServerID) *pending {
	p := s.pending[id]
	if p == nil {
		p = &pending{counts: cluster.RequestCounts{Server: id}}
		s.pending[id] = p
	}
	return p
}

// probe probes a server and applies the result.
func (s *Syncer) probe(parent context.Context, t *target) {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	report, err := s.options.Sender.Send(ctx, t.vm, t.service)
	now := time.Now()
	changed := s.recordProbe(parent, t.id, report, err, now)
	switch {
	case errors.Is(err, probe.ErrNoLoad):
		metrics.Count(s.options.Scope, metrics.Probes, "no_load")
		t.balancer.ObserveProbe(t.vm.Name, now, balancer.Report{Notices: report.Notices})
	case err != nil:
		metrics.Count(s.options.Scope, metrics.Probes, "failed")
		t.balancer.ProbeFailed(t.vm.Name, now)
	default:
		metrics.Count(s.options.Scope, metrics.Probes, "answered")
		t.balancer.AddReport(t.vm.Name, now, report)
		t.balancer.ObserveProbe(t.vm.Name, now, report)
	}
	if changed {
		s.options.Flush()
	}
}

// recordProbe ends a probe: in one step it records the report and allows the next probe,
// so that no round finds the server due in between. It returns whether the speed has
// changed, so that the report must be sent immediately.
func (s *Syncer) recordProbe(ctx context.Context, id cluster.ServerID, r balancer.Report, err error, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[id]
	if t != nil {
		t.probing = false
	}
	if err != nil {
		if !errors.Is(err, probe.ErrNoLoad) {
			s.pendingFor(id).counts.Failed++
		}
		return false
	}
	changed := s.recordReport(id, r, now)
	if t != nil {
		s.scheduleProbe(ctx, t, now)
	}
	return changed
}

// recordReport records the report of a server for the next heartbeat and returns whether
// the speed has changed. s.mu must be held.
func (s *Syncer) recordReport(id cluster.ServerID, r balancer.Report, at time.Time) bool {
	p := s.pendingFor(id)
	p.reportAt, p.lastReportAt = at, at
	p.counts.Sent = 0 // the report includes them
	p.report = cluster.LoadReport{
		Server: id, InFlight: r.InFlight, Queue: r.Queue, Slowdown: r.Slowdown, Draining: r.Draining,
	}
	t := s.targets[id]
	return t != nil && t.tracker.Observe(at, r.Slowdown)
}
