package attempt

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/service"
)

// QueueAdmitter is the Admitter that uses the queues and balancers of the
// running services.
type QueueAdmitter struct {
	// Services holds the queue and the balancer of each service.
	Services *service.Set
}

var _ Admitter = QueueAdmitter{}

// Admit waits in the service's rank queue.
func (q QueueAdmitter) Admit(ctx context.Context, r Request) (Grant, *outcome.Refusal) {
	runtime, ok := q.Services.Get(r.Service)
	if !ok {
		return nil, admission.RefuseRemoved()
	}
	grant, refusal := runtime.Queue.Admit(ctx, r.Request)
	if refusal != nil {
		return nil, refusal
	}
	return queueGrant{grant: grant, slowdown: grant.Reservation.SlowdownCheck()}, nil
}

// ServiceTime returns the service time that the service's queue has learned.
func (q QueueAdmitter) ServiceTime(r Request) time.Duration {
	runtime, ok := q.Services.Get(r.Service)
	if !ok {
		return 0
	}
	return runtime.Queue.ServiceTime(r.Request)
}

// HedgeDelay returns the delay of the service's queue if servers report their
// slowdown, else that of its balancer.
func (q QueueAdmitter) HedgeDelay(key, rank string, target time.Duration) (time.Duration, bool) {
	runtime, ok := q.Services.Get(key)
	if !ok {
		return 0, false
	}
	if delay, ok := runtime.Queue.HedgeDelay(rank, target); ok {
		return delay, true
	}
	return runtime.Balancer.HedgeDelay(time.Now())
}

// queueGrant adapts an admission.Grant to the Grant interface.
type queueGrant struct {
	grant    *admission.Grant
	slowdown balancer.SlowdownCheck
}

// Server returns the granted backend server.
func (g queueGrant) Server() fleet.VM { return g.grant.Reservation.VM }

// Estimate returns the estimate that the choice of the server was based on.
func (g queueGrant) Estimate() balancer.Estimate { return g.grant.Reservation.Estimate() }

// Slowed reports whether the server was reported slow since the slot was
// granted.
func (g queueGrant) Slowed() bool { return g.slowdown.Slowed() }

// Done releases the slot and reports the result.
func (g queueGrant) Done(r balancer.Result) { g.grant.Done(r) }
