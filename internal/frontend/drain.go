package frontend

import (
	"context"
	"sync/atomic"
	"time"
)

// drainPollInterval is how often Wait checks for requests in progress.
const drainPollInterval = 10 * time.Millisecond

// Drainer counts requests in progress and holds whether the entry is draining.
type Drainer struct {
	draining atomic.Bool
	inFlight atomic.Int64
}

// Start begins draining: from then on responses tell callers to close their
// connections.
func (d *Drainer) Start() { d.draining.Store(true) }

// Draining reports whether Start was called.
func (d *Drainer) Draining() bool { return d.draining.Load() }

// InFlight returns the number of requests in progress.
func (d *Drainer) InFlight() int64 { return d.inFlight.Load() }

// Wait returns when no request is in progress, or with the context's error. It
// includes operations forwarded by other entries, which the HTTP server does not
// count.
func (d *Drainer) Wait(ctx context.Context) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for d.InFlight() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (d *Drainer) enter() { d.inFlight.Add(1) }

func (d *Drainer) exit() { d.inFlight.Add(-1) }
