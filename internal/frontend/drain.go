package frontend

import (
	"context"
	"sync/atomic"
	"time"
)

// idlePoll is how often Wait looks whether requests are still in progress.
const idlePoll = 10 * time.Millisecond

// Drainer counts requests in progress and marks the entry as leaving.
type Drainer struct {
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// Start makes the entry ask every caller to close its connection.
func (d *Drainer) Start() { d.leaving.Store(true) }

// Draining reports whether Start was called.
func (d *Drainer) Draining() bool { return d.leaving.Load() }

// InFlight returns the number of requests in progress.
func (d *Drainer) InFlight() int64 { return d.inFlight.Load() }

// Wait returns once no request is in progress, or the context's error. It covers
// the operations that other entries passed on, which no HTTP server knows of.
func (d *Drainer) Wait(ctx context.Context) error {
	ticker := time.NewTicker(idlePoll)
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
