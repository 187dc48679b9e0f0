package balancer

import (
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/metrics"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// A cold server, one that is warming up, sustains fewer requests than usual and ends well above
// that. While it is cold it has a request limit of the service's rate for that, which the entries
// divide as they divide limits that servers name (limitshare.go); if it names one as well, the
// lower of both holds. A warm-up ends by itself, and the limit then rises like a named one.

const (
	// LimitFromRecord is the source of a warm-up that the server's record tells of. Other
	// sources are those of named limits.
	LimitFromRecord LimitSource = "record"
	// warmUpNews is the difference from which a later end of a warm-up counts as news: each
	// response names the end anew, after another delay.
	warmUpNews = 250 * time.Millisecond
)

// WarmUpChange describes a warm-up of a server that is news to this entry.
type WarmUpChange struct {
	// Server is the server's name.
	Server string
	// Left is the time that was left Age ago, and PerSecond the number of requests a second
	// for all entries together meanwhile.
	Left      time.Duration
	PerSecond float64
	// Source is how this entry learned of it, and Age how long ago that was told.
	Source LimitSource
	Age    time.Duration
}

// warmUpSettings are the settings of a service for servers that warm up.
type warmUpSettings struct {
	perSecond float64       // zero if servers that warm up have no limit
	longest   time.Duration // zero if it is not known
}

func warmUpSettingsOf(svc *tree.Service) warmUpSettings {
	return warmUpSettings{perSecond: max(svc.WarmUpPerSecond, 0), longest: svc.WarmUp}
}

// warmUpPeriod is the last warm-up that a server told of. It is immutable.
type warmUpPeriod struct {
	until, observedAt int64 // nanoseconds since the Unix epoch
}

// warmUpState holds the warm-up of one start of a server.
type warmUpState struct {
	period atomic.Pointer[warmUpPeriod] // nil if the server has told of none
	// inRecord is fleet.VM.WarmUntil of the last record, which counts once.
	inRecord atomic.Int64
}

// observe records that the server said at that time how long its warm-up still lasts. The newest
// one decides. It returns whether that is news.
func (w *warmUpState) observe(left time.Duration, at int64) (news bool) {
	next := &warmUpPeriod{until: at + int64(left), observedAt: at}
	for {
		old := w.period.Load()
		if old != nil && at <= old.observedAt {
			return false
		}
		if w.period.CompareAndSwap(old, next) {
			return old == nil || old.until <= at || next.until-old.until > int64(warmUpNews)
		}
	}
}

// left returns how long the warm-up still lasts, zero if it is over.
func (w *warmUpState) left(now int64) time.Duration {
	period := w.period.Load()
	if period == nil {
		return 0
	}
	return time.Duration(max(period.until-now, 0))
}

// limitAt returns the limit that holds at that time because of the warm-up, also for a while after
// it, and false if none does.
func (w *warmUpState) limitAt(perSecond float64, now int64) (limit float64, limited bool) {
	period := w.period.Load()
	switch {
	case period == nil || perSecond == 0:
		return 0, false
	case now < period.until:
		return perSecond, true
	default:
		return rampLimit(perSecond, now-period.until)
	}
}

// observeRecord records the warm-up in the record of a server.
func (b *Balancer) observeRecord(be *backend, vm fleet.VM, settings warmUpSettings, now time.Time) {
	if vm.WarmUntil == 0 || be.requestLimit.warmUp.inRecord.Swap(vm.WarmUntil) == vm.WarmUntil {
		return
	}
	left := time.Duration(vm.WarmUntil-steady.Millis(now)) * time.Millisecond
	b.observeWarmUp(be, settings, left, now, LimitFromRecord)
}

// AddPeerWarmUp records that another entry was told at that time how long the warm-up of a server
// still lasted.
func (b *Balancer) AddPeerWarmUp(server string, at time.Time, left time.Duration) {
	s := b.snapshot.Load()
	if be := s.backend(server); be != nil {
		b.observeWarmUp(be, s.warmUp, left, at, LimitFromPeer)
	}
}

// observeWarmUp records how long the warm-up of a server lasted at that time, if it did.
func (b *Balancer) observeWarmUp(be *backend, settings warmUpSettings, left time.Duration, at time.Time, source LimitSource) {
	if left <= 0 || settings.perSecond == 0 {
		return
	}
	if settings.longest > 0 {
		left = min(left, settings.longest)
	}
	news := be.requestLimit.warmUp.observe(left, steady.Nanos(at))
	if source == LimitFromProbe || source == LimitFromResponse {
		b.options.Observer.WarmingUp(be.vm.Name, left, at, news)
	}
	if !news {
		return
	}
	metrics.Count(b.options.Scope, metrics.RequestLimits, "warm_up")
	if b.options.OnWarmUp != nil {
		b.options.OnWarmUp(WarmUpChange{Server: be.vm.Name, Left: left, PerSecond: settings.perSecond, Source: source, Age: time.Since(at)})
	}
}
