// Package probe requests the load of backend servers whose responses give no recent load
// reports: idle, ejected, draining and just started ones.
//
// All probes of an entry are limited by the probe budgets of the tree: a token bucket for
// each service and one for the whole entry. A Prober is used by one goroutine; each probe
// that it sends runs in a goroutine of its own.
package probe

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// pollInterval is how often the prober looks for servers that need a probe.
	pollInterval = 50 * time.Millisecond
	// burst is the size of the token buckets in probes.
	burst = 1
)

// Source selects the servers of a service to probe and receives the results.
type Source interface {
	ProbeNext(now time.Time) (fleet.VM, bool)
	ProbeSucceeded(server string, now time.Time, r balancer.Report)
	ProbeFailed(server string, now time.Time)
}

// Target is a service to probe.
type Target struct {
	// Service holds the probe budget and the name of the load report header.
	Service *tree.Service
	// Source is the service's balancer or a DrainingSource.
	Source Source
}

// Sender sends a probe to a server and returns its load report.
type Sender interface {
	Send(ctx context.Context, vm fleet.VM, svc *tree.Service) (balancer.Report, error)
}

// Options are the settings of a Prober.
type Options struct {
	// Targets lists the services to probe.
	Targets func() []Target
	// Budget returns the maximum probes per second of this entry.
	Budget func() float64
	// Sender sends the probes; nil sends them over HTTP.
	Sender Sender
	// Scope receives the counters; nil discards them.
	Scope tally.Scope
}

// Prober probes the servers that need it most, within the probe budgets.
type Prober struct {
	options     Options
	total       *rate.Limiter
	services    map[string]*rate.Limiter
	targetIndex int
}

// New returns a prober. Run starts it.
func New(options Options) *Prober {
	if options.Sender == nil {
		options.Sender = NewHTTP()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Prober{
		options:  options,
		total:    rate.NewLimiter(0, burst),
		services: make(map[string]*rate.Limiter),
	}
}

// Run sends probes until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			p.sendAll(ctx, now)
		}
	}
}

// sendAll starts all probes that are needed and within the budgets.
func (p *Prober) sendAll(ctx context.Context, now time.Time) {
	for {
		target, vm, ok := p.Next(now)
		if !ok {
			return
		}
		go p.send(ctx, target, vm)
	}
}

// Next returns the server that needs a probe most and takes a token from both budgets. It
// returns false if no server needs one or the budgets are exhausted. Services are tried in
// round-robin order.
func (p *Prober) Next(now time.Time) (Target, fleet.VM, bool) {
	p.total.SetLimitAt(now, rate.Limit(p.options.Budget()))
	targets := p.options.Targets()
	for range targets {
		p.targetIndex++
		t := targets[p.targetIndex%len(targets)]
		if vm, ok := p.next(t, now); ok {
			return t, vm, true
		}
	}
	return Target{}, fleet.VM{}, false
}

// next selects a server first and then takes both tokens, so that no token is used without
// a probe.
func (p *Prober) next(t Target, now time.Time) (fleet.VM, bool) {
	limiter := p.limiter(t.Service, now)
	if limiter.TokensAt(now) < 1 || p.total.TokensAt(now) < 1 {
		return fleet.VM{}, false
	}
	vm, ok := t.Source.ProbeNext(now)
	if !ok {
		return fleet.VM{}, false
	}
	limiter.AllowN(now, 1)
	p.total.AllowN(now, 1)
	return vm, true
}

// limiter returns the rate limiter of the service with its current budget.
func (p *Prober) limiter(svc *tree.Service, now time.Time) *rate.Limiter {
	limit := rate.Limit(svc.Budgets.ProbesPerSecond)
	l := p.services[svc.Key()]
	if l == nil {
		l = rate.NewLimiter(limit, burst)
		p.services[svc.Key()] = l
	}
	if l.Limit() != limit {
		l.SetLimitAt(now, limit)
	}
	return l
}

// send sends one probe and passes the result to the target's source.
func (p *Prober) send(ctx context.Context, t Target, vm fleet.VM) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	scope := p.options.Scope.Tagged(map[string]string{"service": t.Service.Key()})
	report, err := p.options.Sender.Send(ctx, vm, t.Service)
	if err != nil {
		metrics.Count(scope, metrics.Probes, "failed")
		t.Source.ProbeFailed(vm.Name, time.Now())
		return
	}
	metrics.Count(scope, metrics.Probes, "answered")
	t.Source.ProbeSucceeded(vm.Name, time.Now(), report)
}
