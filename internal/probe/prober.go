// Package probe asks backend servers for their load where answers bring no
// news: idle, ejected, draining and cold ones.
//
// All probes of an entry come out of the measuring budgets of the tree: a token
// bucket for each service and one for the whole entry. A Prober is used by one
// goroutine; the probes that it sends run in their own.
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
	// interval is how often the prober looks for servers without news.
	interval = 50 * time.Millisecond
	// burst is the most probes that a bucket saves up.
	burst = 1
)

// Source tells which server needs a probe and takes in what it showed.
type Source interface {
	ProbeNext(now time.Time) (fleet.VM, bool)
	ProbeAnswered(server string, now time.Time, r balancer.Report)
	ProbeFailed(server string, now time.Time)
}

// Target is a service to probe.
type Target struct {
	// Service holds the budget and the header of load reports.
	Service *tree.Service
	// Source is the service's balancer.
	Source Source
}

// Sender asks one server for its load.
type Sender interface {
	Send(ctx context.Context, vm fleet.VM, svc *tree.Service) (balancer.Report, error)
}

// Options are the settings of a Prober.
type Options struct {
	// Targets lists the services to probe.
	Targets func() []Target
	// Budget is the most probes a second of the whole entry.
	Budget func() float64
	// Sender sends the probes; nil sends them over HTTP.
	Sender Sender
	// Scope receives the counters; nil counts nowhere.
	Scope tally.Scope
}

// Prober spends the measuring budget on the servers that need it most.
type Prober struct {
	options  Options
	whole    *rate.Limiter
	services map[string]*rate.Limiter
	turn     int
}

// New returns a prober that starts with Run.
func New(options Options) *Prober {
	if options.Sender == nil {
		options.Sender = NewHTTP()
	}
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Prober{
		options:  options,
		whole:    rate.NewLimiter(0, burst),
		services: make(map[string]*rate.Limiter),
	}
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
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

func (p *Prober) sendAll(ctx context.Context, now time.Time) {
	for {
		target, vm, ok := p.Next(now)
		if !ok {
			return
		}
		go p.send(ctx, target, vm)
	}
}

// Next spends a probe of the budgets on the server of a service that needs it
// most. It is false when no server does or the budgets are spent. Services take
// turns.
func (p *Prober) Next(now time.Time) (Target, fleet.VM, bool) {
	p.whole.SetLimitAt(now, rate.Limit(p.options.Budget()))
	targets := p.options.Targets()
	for range targets {
		p.turn++
		t := targets[p.turn%len(targets)]
		if vm, ok := p.next(t, now); ok {
			return t, vm, true
		}
	}
	return Target{}, fleet.VM{}, false
}

// next asks for the server first and then takes both tokens, so that no token
// is spent without a probe.
func (p *Prober) next(t Target, now time.Time) (fleet.VM, bool) {
	limiter := p.limiter(t.Service, now)
	if limiter.TokensAt(now) < 1 || p.whole.TokensAt(now) < 1 {
		return fleet.VM{}, false
	}
	vm, ok := t.Source.ProbeNext(now)
	if !ok {
		return fleet.VM{}, false
	}
	limiter.AllowN(now, 1)
	p.whole.AllowN(now, 1)
	return vm, true
}

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

func (p *Prober) send(ctx context.Context, t Target, vm fleet.VM) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	scope := p.options.Scope.Tagged(map[string]string{"service": t.Service.Key()})
	report, err := p.options.Sender.Send(ctx, vm, t.Service)
	if err != nil {
		metrics.Count(scope, metrics.Probes, "failed")
		t.Source.ProbeFailed(vm.Name, time.Now())
		return
	}
	metrics.Count(scope, metrics.Probes, "answered")
	t.Source.ProbeAnswered(vm.Name, time.Now(), report)
}
