package attempt

import (
	"context"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/service"
)

// QueueAdmitter is the Admitter over the running services.
type QueueAdmitter struct {
	// Services holds the queue and the balancer of each service.
	Services *service.Set
}

var _ Admitter = QueueAdmitter{}

// Admit waits in the service's rank queue.
func (q QueueAdmitter) Admit(ctx context.Context, r Request) (Grant, *outcome.Refusal) {
	running, ok := q.Services.Get(r.Service)
	if !ok {
		return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonNoServer,
			"the service is no longer configured")
	}
	grant, refusal := running.Queue.Admit(ctx, r.Request)
	if refusal != nil {
		return nil, refusal
	}
	return queueGrant{grant: grant, watch: grant.Reservation.SlowdownCheck()}, nil
}

// HedgeDelay asks the service's queue where servers tell their pace, else its
// balancer.
func (q QueueAdmitter) HedgeDelay(key, rank string) (time.Duration, bool) {
	running, ok := q.Services.Get(key)
	if !ok {
		return 0, false
	}
	if after, ok := running.Queue.HedgeDelay(rank); ok {
		return after, true
	}
	return running.Balancer.HedgeDelay(time.Now())
}

// queueGrant adapts admission's grant.
type queueGrant struct {
	grant *admission.Grant
	watch balancer.SlowdownCheck
}

// Server returns the granted backend server.
func (g queueGrant) Server() fleet.VM { return g.grant.Reservation.VM }

// Estimate returns what the choice of the server was based on.
func (g queueGrant) Estimate() balancer.Estimate { return g.grant.Reservation.Estimate() }

// Slowed asks the balancer for reports since the place was granted.
func (g queueGrant) Slowed() bool { return g.watch.Slowed() }

// Done gives the place back.
func (g queueGrant) Done(r balancer.Result) { g.grant.Done(r) }
