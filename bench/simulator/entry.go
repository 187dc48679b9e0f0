package simulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// chooser is a policy at one entry.
type chooser interface {
	// start takes in a call, or another attempt of one.
	start(c *call)
	// done learns the end of an attempt.
	done(a *attempt, kind balancer.ResultKind)
	// update learns the servers of the VM list.
	update(servers []*server)
}

// entry is one entry VM: its arrivals and its policy.
type entry struct {
	run     *run
	index   int
	zone    int
	rng     *rand.Rand
	chooser chooser
}

// arrivals lets calls of a rank arrive at a rate until a time.
func (e *entry) arrivals(rank string, rate float64, until time.Duration) {
	if rate <= 0 {
		return
	}
	gap := time.Duration(e.rng.ExpFloat64() / rate * float64(time.Second))
	e.run.clock.after(gap, func() {
		if e.run.clock.now >= until {
			return
		}
		e.arrive(rank)
		e.arrivals(rank, rate, until)
	})
}

func (e *entry) arrive(rank string) {
	c := &call{entry: e, rank: rank, arrived: e.run.clock.now}
	c.work = e.drawWork(rank)
	e.run.result.offered(c)
	e.chooser.start(c)
}

// drawWork is the slot time of a call.
func (e *entry) drawWork(rank string) time.Duration {
	factor := e.rng.ExpFloat64()
	if e.run.scenario.ServiceTime == Uniform {
		factor = 0.5 + e.rng.Float64()
	}
	return time.Duration(factor * float64(e.run.scenario.workOf(rank)))
}

// answered handles the end of an attempt at the entry.
func (e *entry) answered(a *attempt, kind balancer.ResultKind) {
	if a.ended {
		return
	}
	a.ended = true
	e.run.result.Bytes += e.run.reportBytes()
	e.chooser.done(a, kind)
	c := a.call
	if c.finished {
		return
	}
	if kind != balancer.OK && e.retry(c) {
		return
	}
	e.finish(c, kind)
}

// retry starts another attempt of an idempotent call, once.
func (e *entry) retry(c *call) bool {
	if c.rank != Lookups || c.retried {
		return false
	}
	c.retried = true
	if e.run.measuring() {
		e.run.result.Retries++
	}
	e.chooser.start(c)
	return true
}

func (e *entry) finish(c *call, kind balancer.ResultKind) {
	c.finished = true
	e.run.result.finished(c, kind)
	for _, other := range c.attempts {
		if !other.ended {
			other.cancel()
		}
	}
}

// refused ends a call that the queue did not take, unless another attempt of
// it is in progress.
func (e *entry) refused(c *call, refusal *outcome.Refusal) {
	inProgress := slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.ended })
	if c.finished || inProgress {
		return
	}
	c.finished = true
	e.run.result.refused(c, refusal)
}
