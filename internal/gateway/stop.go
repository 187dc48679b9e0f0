package gateway

import (
	"context"
	"time"
)

const (
	// minDrainTime is how long a stopping entry still accepts new connections, as
	// callers cache the endpoint list, some of them beyond its TTL.
	minDrainTime = 2500 * time.Millisecond
	// forcedCloseMargin is the part of the grace period that is left when the remaining
	// connections are closed, so that the process exits before it is killed.
	forcedCloseMargin = 400 * time.Millisecond
	// drainPollInterval is how often a stopping entry checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// drainIdleTime is how long no request must have been in progress before the entry
	// stops. A request may still be in transit on an idle connection.
	drainIdleTime = 300 * time.Millisecond
)

// Stop shuts the entry down gracefully. The entry first removes itself from the endpoint
// list and asks callers to close their connections, and then serves the requests that
// still arrive. It stops when none has been in progress for a while. Requests that are
// still in progress shortly before the end of the grace period are aborted. Stop always
// returns nil.
func (e *Entry) Stop(context.Context) error {
	began := time.Now()
	e.params.Events.Info("leaving", "in_flight", e.params.Drainer.InFlight())
	e.params.Drainer.Start()
	deadline := began.Add(e.params.Settings.Grace - forcedCloseMargin)
	e.awaitIdle(began.Add(min(minDrainTime, e.params.Settings.Grace/2)), deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.params.Events.Warn("connections closed with requests in progress", "in_flight", e.params.Drainer.InFlight(), "error", err)
		_ = e.callers.Close()
	}
	e.close()
	e.params.Events.Info("stopped", "took_ms", time.Since(began).Milliseconds())
	e.params.Events.Close()
	return nil
}

// awaitIdle returns when no request has been in progress for drainIdleTime, but not
// before earliest and shortly after latest at the latest.
func (e *Entry) awaitIdle(earliest, latest time.Time) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for now := range ticker.C {
		if e.params.Drainer.InFlight() > 0 {
			idleSince = now
		}
		if now.After(latest) || now.After(earliest) && now.Sub(idleSince) >= drainIdleTime {
			return
		}
	}
}

// close stops all servers and background work and waits for the background work to end.
func (e *Entry) close() {
	e.cancel()
	for _, server := range e.others {
		_ = server.Close()
	}
	e.peers.Close()
	e.params.Pool.Close()
	e.params.Forwarder.Close()
	_ = e.params.Node.Close()
	e.background.Wait()
	_ = e.params.Registry.Close()
}
