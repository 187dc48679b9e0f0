package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

// call is one request of a caller.
type call struct {
	entry    *entry
	rank     string
	work     time.Duration
	arrived  time.Duration
	finished bool
	attempts []*attempt
	tried    []string
	retried  bool
}

// attempt is one call sent to one server.
type attempt struct {
	call   *call
	server *server
	sent   time.Duration
	work   time.Duration
	ended  bool

	item   *admission.Item       // policy Product
	place  *balancer.Reservation // policy Product
	report balancer.Report
}

// oneWay is the delay between an entry and a server.
func oneWay(e *entry, s *server) time.Duration {
	if e.zone == s.zone {
		return oneWayLocal
	}
	return oneWayZones
}

// send starts the attempt.
func (a *attempt) send() {
	c := a.call.entry.run.clock
	a.sent = c.now
	if a.call.entry.run.scenario.ServiceTime == ExponentialPerAttempt && len(a.call.attempts) > 0 {
		a.call.work = a.call.entry.drawWork(a.call.rank)
	}
	a.work = a.call.work
	a.call.attempts = append(a.call.attempts, a)
	a.call.tried = append(a.call.tried, a.server.vm.Name)
	a.server.coming++
	c.after(oneWay(a.call.entry, a.server), func() { a.server.arrive(a) })
}

// answer carries the result back to the entry.
func (a *attempt) answer(kind balancer.ResultKind) {
	c := a.call.entry.run.clock
	a.report = a.server.report()
	c.after(oneWay(a.call.entry, a.server), func() { a.call.entry.answered(a, kind) })
}

// cancel closes an attempt that lost against another one.
func (a *attempt) cancel() {
	a.ended = true
	a.call.entry.run.clock.after(oneWay(a.call.entry, a.server), func() { a.server.cancel(a) })
	a.call.entry.chooser.done(a, balancer.Cancelled)
}
