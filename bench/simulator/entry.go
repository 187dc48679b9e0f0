package simulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// dispatcher applies a policy at one entry.
type dispatcher interface {
	// submit accepts a call, or asks for another attempt of one.
	submit(c *call)
	// done records the result of an attempt.
	done(a *attempt, kind balancer.ResultKind)
	// update sets the servers of the VM list.
	update(servers []*server)
}

// entry is one entry VM with its arrivals and its policy.
type entry struct {
	run        *run
	index      int
	zone       int
	rng        *rand.Rand
	dispatcher dispatcher
	pool       connectionPool
}

// scheduleArrivals schedules Poisson arrivals of calls of a rank, at a rate per
// second, until a time.
func (e *entry) scheduleArrivals(rank string, rate float64, until time.Duration) {
	if rate <= 0 {
		return
	}
	gap := time.Duration(e.rng.ExpFloat64() / rate * float64(time.Second))
	e.run.clock.after(gap, func() {
		if e.run.clock.now >= until {
			return
		}
		e.run.entryFor(e, e.rng).arrive(rank)
		e.scheduleArrivals(rank, rate, until)
	})
}

func (e *entry) arrive(rank string) {
	c := &call{entry: e, rank: rank, arrived: e.run.clock.now}
	c.serviceTime = e.drawServiceTime(rank)
	e.run.result.offered(c)
	e.dispatcher.submit(c)
}

// drawServiceTime draws the service time of a call of the rank.
func (e *entry) drawServiceTime(rank string) time.Duration {
	factor := e.rng.ExpFloat64()
	if e.run.scenario.ServiceTime == Uniform {
		factor = 0.5 + e.rng.Float64()
	}
	return time.Duration(factor * float64(e.run.scenario.meanServiceTime(rank)))
}

// handleResponse processes the result of an attempt at the entry.
func (e *entry) handleResponse(a *attempt, kind balancer.ResultKind) {
	if a.ended {
		return
	}
	a.ended = true
	e.pool.put(e.run, a, kind != balancer.Error)
	e.run.result.Bytes += e.run.reportBytes()
	e.dispatcher.done(a, kind)
	c := a.call
	if c.finished {
		return
	}
	if kind != balancer.OK && e.retry(c) {
		return
	}
	e.finish(c, kind)
}

// retry starts another attempt of an idempotent call, at most once per call.
func (e *entry) retry(c *call) bool {
	if c.rank != Lookups || c.retried {
		return false
	}
	c.retried = true
	if e.run.inMeasuredTime() {
		e.run.result.Retries++
	}
	e.dispatcher.submit(c)
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

// handleRefusal ends a call that the queue refused, unless another attempt of it is
// in progress.
func (e *entry) handleRefusal(c *call, refusal *outcome.Refusal) {
	inProgress := slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.ended })
	if c.finished || inProgress {
		return
	}
	c.finished = true
	e.run.result.refused(c, refusal)
}
