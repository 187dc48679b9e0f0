// Package loadsync shares what the members learn of backend servers.
//
// Each server has one observer among the members, the first by rendezvous
// hashing in the server's availability zone. It asks the server for its load in
// each round, and every member passes on with its beats what it learned since the
// beat before: reports of probes and of answers, and what came of its requests.
// A server whose rhythm is known is asked right after its pace may have changed,
// and a change is told at once.
// Members that disagree on an observer for a while probe twice or not at all; the
// first is bounded by each member's budget.
package loadsync

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// roundWait is how long a round waits for its probes; what comes later goes
	// with the next beat.
	roundWait = 6 * time.Millisecond
	// probeTimeout bounds one probe: a server that takes longer counts as failed.
	probeTimeout = 250 * time.Millisecond
	// freshReport is the age of a report from which a probe is worth its cost.
	freshReport = 15 * time.Millisecond
	// freshBetween is the age of a report from which a probe between two possible
	// changes of the pace is worth its cost: it tells only of the requests there. It
	// is half of the time between two probes of a known rhythm.
	freshBetween = 40 * time.Millisecond
	// dealInterval bounds how often the servers are dealt out: it takes time for
	// each pair of a member and a server, and at a start members come by ones.
	dealInterval = 200 * time.Millisecond
	// budgetSlack is how many times its equal part of all probes a member may send,
	// so that one that sees few others does not probe everything at full rate.
	budgetSlack = 2.5
)

// Options are the settings of a Syncer.
type Options struct {
	// Self is the name of this VM.
	Self string
	// View returns the members.
	View func() *cluster.View
	// Sender asks a server for its load.
	Sender probe.Sender
	// Flush sends what is staged at once; nil leaves it to the next beat.
	Flush func()
	// Scope receives the counters; nil counts nowhere.
	Scope tally.Scope
}

// target is a backend server of a service in force.
type target struct {
	id       cluster.ServerID
	vm       fleet.VM
	service  *tree.Service
	balancer *balancer.Balancer
	probing  bool
	owned    bool // this member is the server's observer
	rhythm   phase.Tracker
	// due is when a timer probes the server, change whether its pace may have
	// changed right before; rounds leave it alone until then.
	due    time.Time
	change bool
}

// staged is what was learned of a server since the last beat.
type staged struct {
	report   cluster.LoadReport
	at       time.Time // of the report, zero where there is none
	outcome  cluster.RequestCounts
	sent     time.Time // when the last request of the outcome was sent
	reported time.Time // when a report was last passed on or probed
}

// Syncer probes this member's servers and stages what its beats carry. It is
// safe for concurrent use.
type Syncer struct {
	options Options

	mu      sync.Mutex // guards the fields below
	targets map[cluster.ServerID]*target
	byName  map[string]*target
	staged  map[cluster.ServerID]*staged
	budget  float64
	view    *cluster.View // by which owned was decided
	dealt   time.Time     // when that was
}

// New returns an observer without servers.
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
		staged:  map[cluster.ServerID]*staged{},
	}
}

// serverID returns what stands for the start of a server in beats.
func serverID(vm fleet.VM) cluster.ServerID {
	return cluster.ServerID(xxhash.Sum64String(vm.Name + "\x00" + strconv.FormatInt(vm.Incarnation, 10)))
}

// Update replaces the servers that are observed by those of the running services.
func (o *Syncer) Update(t *tree.Tree, running *service.Set, servers []fleet.VM) {
	o.mu.Lock()
	defer o.mu.Unlock()
	services := make(map[string]*tree.Service, len(t.Services))
	for _, s := range t.Services {
		services[s.Key()] = s
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
		next := &target{id: serverID(vm), vm: vm, service: svc, balancer: r.Balancer}
		if old := o.targets[next.id]; old != nil {
			next.probing, next.rhythm, next.due, next.change = old.probing, old.rhythm, old.due, old.change
		}
		targets[next.id], byName[vm.Name] = next, next
	}
	for id := range o.staged {
		if targets[id] == nil {
			delete(o.staged, id)
		}
	}
	o.targets, o.byName = targets, byName
	o.view = nil
}

// deal decides which servers this member observes, anew when the members or the
// servers have changed. The lock is held.
func (o *Syncer) deal(view *cluster.View, now time.Time) {
	if o.view != nil && (o.view.SameAssignment(view) || now.Sub(o.dealt) < dealInterval) {
		return
	}
	o.view, o.dealt = view, now
	for _, t := range o.targets {
		owner, ok := view.Owner(t.vm.Name, t.vm.Zone)
		t.owned = ok && owner.VM == o.options.Self
	}
}

// Round probes the servers that this member observes and waits a little for them.
func (o *Syncer) Round(ctx context.Context, now time.Time) {
	due := o.due(now)
	if len(due) == 0 {
		return
	}
	ended := make(chan struct{}, len(due))
	for _, t := range due {
		go func() {
			o.probe(ctx, t)
			ended <- struct{}{}
		}()
	}
	timer := time.NewTimer(roundWait)
	defer timer.Stop()
	for range due {
		select {
		case <-ended:
		case <-timer.C:
			return
		}
	}
}

// due takes the servers to probe in this round out of the budget.
func (o *Syncer) due(now time.Time) []*target {
	view := o.options.View()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deal(view, now)
	part := float64(len(o.targets)) / float64(max(view.Known, 1)) * budgetSlack
	o.budget = min(o.budget+part, max(2*part, 1))
	var due []*target
	for _, t := range o.targets {
		if o.budget < 1 {
			break
		}
		if !t.owned || t.probing || t.due.After(now) || now.Sub(o.stage(t.id).reported) < freshReport {
			continue
		}
		o.budget--
		t.probing = true
		due = append(due, t)
	}
	return due
}

// arm sets a timer for the next probe of a server whose rhythm is known. The lock
// is held.
func (o *Syncer) arm(ctx context.Context, t *target, now time.Time) {
	if !t.owned || !t.rhythm.Locked() || t.due.After(now) {
		return
	}
	t.due, t.change = t.rhythm.Next(now)
	id := t.id
	time.AfterFunc(t.due.Sub(now), func() { o.probeInTime(ctx, id) })
}

// probeInTime probes a server whose timer has run out. A server that it leaves out
// is due in the next round.
func (o *Syncer) probeInTime(ctx context.Context, id cluster.ServerID) {
	now := time.Now()
	o.mu.Lock()
	t := o.targets[id]
	if t == nil || !t.owned || t.probing || t.due.After(now) || ctx.Err() != nil {
		o.mu.Unlock()
		return
	}
	if !t.change && now.Sub(o.stage(id).reported) < freshBetween {
		o.arm(ctx, t, now)
		o.mu.Unlock()
		return
	}
	if o.budget < 1 {
		o.mu.Unlock()
		return
	}
	o.budget--
	t.probing = true
	o.mu.Unlock()
	o.probe(ctx, t)
}

// stage returns what is staged for a server. The lock is held.
func (o *Syncer) stage(id cluster.ServerID) *staged {
	s := o.staged[id]
	if s == nil {
		s = &staged{outcome: cluster.RequestCounts{Server: id}}
		o.staged[id] = s
	}
	return s
}

func (o *Syncer) probe(parent context.Context, t *target) {
	ctx, cancel := context.WithTimeout(parent, probeTimeout)
	defer cancel()
	report, err := o.options.Sender.Send(ctx, t.vm, t.service)
	now := time.Now()
	o.mu.Lock()
	if current := o.targets[t.id]; current != nil {
		current.probing = false
	}
	o.mu.Unlock()
	if errors.Is(err, probe.ErrNoLoad) {
		metrics.Count(o.options.Scope, metrics.Probes, "no_load")
		return
	}
	if err != nil {
		metrics.Count(o.options.Scope, metrics.Probes, "failed")
		t.balancer.ProbeFailed(t.vm.Name, now)
		o.noteFailure(t.id)
		return
	}
	metrics.Count(o.options.Scope, metrics.Probes, "answered")
	t.balancer.AddReport(t.vm.Name, now, report)
	if o.noteProbe(parent, t.id, report, now) {
		o.options.Flush()
	}
}

// noteProbe stages the report of a probe and sets the timer for the next one. It
// returns whether the others are to be told at once: the pace has changed.
func (o *Syncer) noteProbe(ctx context.Context, id cluster.ServerID, r balancer.Report, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := o.noteReport(id, r, now)
	if t := o.targets[id]; t != nil {
		o.arm(ctx, t, now)
	}
	return changed
}

// noteReport stages what a server said of itself and returns whether its pace has
// changed. The lock is held.
func (o *Syncer) noteReport(id cluster.ServerID, r balancer.Report, at time.Time) bool {
	s := o.stage(id)
	s.at, s.reported = at, at
	s.outcome.Sent = 0 // the report counts them
	s.report = cluster.LoadReport{
		Server: id, InFlight: r.InFlight, Queue: r.Queue, Slowdown: r.Slowdown, Draining: r.Draining,
	}
	t := o.targets[id]
	return t != nil && t.rhythm.Observe(at, r.Slowdown)
}

func (o *Syncer) noteFailure(id cluster.ServerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stage(id).outcome.Failed++
}
