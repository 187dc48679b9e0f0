package simulator

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

// call is one request of a caller.
type call struct {
	entry       *entry
	rank        string
	serviceTime time.Duration
	arrived     time.Duration
	finished    bool
	attempts    []*attempt
	tried       []string
	retried     bool
}

// attempt is one try of a call at one server.
type attempt struct {
	call        *call
	server      *server
	sent        time.Duration
	serviceTime time.Duration
	ended       bool

	item        *admission.Item       // policy Product
	reservation *balancer.Reservation // policy Product
	report      balancer.Report
}

// oneWayDelay returns the network delay between an entry and a server.
func oneWayDelay(e *entry, s *server) time.Duration {
	if e.zone == s.zone {
		return inZoneDelay
	}
	return crossZoneDelay
}

// send sends the attempt to its server.
func (a *attempt) send() {
	c := a.call.entry.run.clock
	a.sent = c.now
	if a.call.entry.run.scenario.ServiceTime == ExponentialPerAttempt && len(a.call.attempts) > 0 {
		a.call.serviceTime = a.call.entry.drawServiceTime(a.call.rank)
	}
	a.serviceTime = a.call.serviceTime
	a.call.attempts = append(a.call.attempts, a)
	a.call.tried = append(a.call.tried, a.server.vm.Name)
	a.server.inTransit++
	a.call.entry.run.sent(a)
	c.after(oneWayDelay(a.call.entry, a.server), func() { a.server.arrive(a) })
}

// respond sends the result, with a load report, back to the entry.
func (a *attempt) respond(kind balancer.ResultKind) {
	c := a.call.entry.run.clock
	a.report = a.server.report()
	c.after(oneWayDelay(a.call.entry, a.server), func() { a.call.entry.handleResponse(a, kind) })
}

// cancel cancels the attempt after another attempt of the call has finished.
func (a *attempt) cancel() {
	a.ended = true
	a.call.entry.pool.put(a.call.entry.run, a, false)
	a.call.entry.run.clock.after(oneWayDelay(a.call.entry, a.server), func() { a.server.cancel(a) })
	a.call.entry.dispatcher.done(a, balancer.Cancelled)
}
