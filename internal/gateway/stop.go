package gateway

import (
	"context"
	"time"
)

const (
	// leaveTime is how long a stopping entry still takes new connections: callers
	// keep the address answer, and some of them longer than they should.
	leaveTime = 2500 * time.Millisecond
	// cutMargin is the part of the grace that is left when the last requests are
	// cut, so that the process ends by itself.
	cutMargin = 400 * time.Millisecond
	// drainPoll is how often a stopping entry looks for requests in progress.
	drainPoll = 20 * time.Millisecond
	// quietTime is how long no request may be in progress before the entry ends:
	// one may be on its way on a kept connection.
	quietTime = 300 * time.Millisecond
)

// Stop leaves without cutting a request: first the entry leaves the address
// answer and asks callers to close their connections, then it serves what still
// comes, and it ends when nothing has come for a while or the grace runs out.
func (e *Entry) Stop(context.Context) error {
	began := time.Now()
	e.parts.Events.Info("leaving", "in_flight", e.parts.Drain.InFlight())
	e.parts.Drain.Start()
	cut := began.Add(e.parts.Settings.Grace - cutMargin)
	e.awaitQuiet(began.Add(min(leaveTime, e.parts.Settings.Grace/2)), cut)
	ctx, cancel := context.WithDeadline(context.Background(), cut)
	defer cancel()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.parts.Events.Warn("requests cut", "in_flight", e.parts.Drain.InFlight(), "error", err)
		_ = e.callers.Close()
	}
	e.close()
	e.parts.Events.Info("stopped", "took_ms", time.Since(began).Milliseconds())
	e.parts.Events.Close()
	return nil
}

// awaitQuiet returns when no request has been in progress for a while, not
// before the first time and not after the last.
func (e *Entry) awaitQuiet(first, last time.Time) {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	quietSince := time.Now()
	for now := range ticker.C {
		if e.parts.Drain.InFlight() > 0 {
			quietSince = now
		}
		if now.After(last) || now.After(first) && now.Sub(quietSince) >= quietTime {
			return
		}
	}
}

// close ends everything that runs.
func (e *Entry) close() {
	e.cancel()
	for _, server := range e.others {
		_ = server.Close()
	}
	e.peers.Close()
	e.parts.Pool.Close()
	e.parts.Forwarder.Close()
	_ = e.parts.Node.Close()
	e.background.Wait()
	_ = e.parts.Registry.Close()
}
