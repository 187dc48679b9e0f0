package gateway

import (
	"context"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/drain"
)

const (
	// minAcceptTime is how long a stopping entry at least accepts new connections, as
	// callers cache the endpoint list, some of them beyond its TTL.
	minAcceptTime = 2500 * time.Millisecond
	// maxExitTime is the part of the grace period that is left when the last connections
	// have been closed, so that the process exits before it is killed.
	maxExitTime = 400 * time.Millisecond
	// exitShare bounds the same as a part of the grace period.
	exitShare = 8
	// maxAcceptShare is the part of the drain, in percent, after which no new connection is
	// accepted even if callers still open some.
	maxAcceptShare = 90
	// endpointListTimeout bounds the wait for requests to the other servers, which are
	// answered at once.
	endpointListTimeout = 100 * time.Millisecond
)

// Stop shuts the entry down gracefully. The entry first removes itself from the endpoint
// list and asks callers to close their connections, and then serves the requests that still
// arrive, as long as they can be completed in the grace period. It stops when none has been in
// progress for a while. Requests that are still in progress shortly before the end of the grace
// period are aborted. Stop always returns nil.
func (e *Entry) Stop(ctx context.Context) error {
	began, drainer, events := time.Now(), e.params.Drainer, e.params.Events
	plan := drainPlan(e.params.Settings.Grace)
	drainer.Start(plan)
	events.Info("leaving", "in_flight", drainer.InFlight(), "closes_after_ms", plan.CloseAfter.Milliseconds())
	cause := drainer.StopAccepting(ctx, e.callerListener)
	events.Info("no longer accepting connections", "cause", string(cause), "in_flight", drainer.InFlight(), "took_ms", time.Since(began).Milliseconds())
	if err := drainer.CloseConnections(ctx, e.callers, func() {}); err != nil {
		events.Warn("connections closed with requests in progress", "in_flight", drainer.InFlight(), "error", err)
	}
	e.close()
	events.Info("stopped", "took_ms", time.Since(began).Milliseconds())
	events.Close()
	return nil
}

// drainPlan returns the plan of a stop within the grace period.
func drainPlan(grace time.Duration) drain.Plan {
	end := grace - min(maxExitTime, grace/exitShare)
	return drain.Plan{
		MinAccept:  min(minAcceptTime, end/2),
		MaxAccept:  end * maxAcceptShare / 100,
		CloseAfter: end,
	}
}

// close stops all servers and background work and waits for the background work to end.
func (e *Entry) close() {
	e.cancel()
	e.closeOthers()
	e.peers.Close()
	e.params.Pool.Close()
	e.params.Forwarder.Close()
	_ = e.params.Node.Close()
	e.background.Wait()
	_ = e.params.Registry.Close()
}

// closeOthers closes the servers of the endpoint list, the readiness checks and the metrics.
// Requests in progress get their responses.
func (e *Entry) closeOthers() {
	ctx, cancel := context.WithTimeout(context.Background(), endpointListTimeout)
	defer cancel()
	var servers sync.WaitGroup
	for _, server := range e.others {
		servers.Go(func() {
			if server.Shutdown(ctx) != nil {
				_ = server.Close()
			}
		})
	}
	servers.Wait()
}
