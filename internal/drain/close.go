package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// idleTime is how long no request must have been in progress until a drained entry is
	// taken to be unused. A request may still be in transit on an idle connection.
	idleTime = 300 * time.Millisecond
	// closingTime is the part of the drain before the last connections are closed in which
	// idle ones are closed already and those in use close after their response. It covers the
	// time for which net/http keeps a connection whose request was not read to its end.
	closingTime = 600 * time.Millisecond
)

// Cause is why the listener was closed.
type Cause string

// Causes of the end of accepting connections.
const (
	CauseUnused  Cause = "unused"   // no request for a while
	CauseTooLate Cause = "too_late" // a request came that could not be completed
	CauseTime    Cause = "time"     // Plan.MaxAccept has passed
)

// StopAccepting waits until new connections need no longer be accepted and closes the
// listener, so that callers who still hold the address get no connection and use another
// one. It then waits until open connections are unused, as callers reuse them after others
// have been closed, or soon have to be closed. It returns why the listener was closed. Start
// must have been called. ctx ends both waits early.
func (d *Drainer) StopAccepting(ctx context.Context, listener net.Listener) Cause {
	s := d.schedule.Load()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var cause Cause
	idleSince, entered := time.Now(), d.entered.Load()
	for {
		now := time.Now()
		if n := d.entered.Load(); n != entered || d.calls.Load() > 0 {
			idleSince, entered = now, n
		}
		unused := now.Sub(idleSince) >= idleTime
		if cause == "" {
			cause = d.stopCause(s, now, unused)
			if cause != "" {
				// Serve has ended if this fails, and the listener is closed then.
				_ = listener.Close()
			}
		}
		if cause != "" && (unused || !now.Before(s.closeAt.Add(-closingTime))) {
			return cause
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = listener.Close()
			return CauseTime
		}
	}
}

// stopCause returns why the listener should be closed now, or "".
func (d *Drainer) stopCause(s *schedule, now time.Time, unused bool) Cause {
	switch {
	case !now.Before(s.maxAccept):
		return CauseTime
	case now.Before(s.minAccept):
		return ""
	case d.refused.Load():
		return CauseTooLate
	case unused:
		return CauseUnused
	}
	return ""
}

// CloseConnections closes the idle connections of the server, and those in use after their
// response. When all requests of callers have ended, it calls seal, which must prevent other
// entries from forwarding requests, and waits for those in progress. An error means that the
// plan's time was over, or ctx done, and requests were cut.
func (d *Drainer) CloseConnections(ctx context.Context, server *http.Server, seal func()) error {
	ctx, cancel := context.WithDeadline(ctx, d.schedule.Load().closeAt)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, net.ErrClosed) {
		// Serve has not returned since StopAccepting closed the listener. The connections are closed.
		err = nil
	}
	seal()
	if err == nil {
		err = d.Wait(ctx)
	}
	if err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}
