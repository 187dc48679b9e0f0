package frontend

import (
	"context"
	"sync/atomic"
	"time"
)

// idlePoll is how often Wait looks whether requests are still in progress.
const idlePoll = 10 * time.Millisecond

// Drain counts requests in progress and marks the entry as leaving.
type Drain struct {
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// Start makes the entry ask every caller to close its connection.
func (d *Drain) Start() { d.leaving.Store(true) }

// Leaving reports whether Start was called.
func (d *Drain) Leaving() bool { return d.leaving.Load() }

// InFlight returns the number of requests in progress.
func (d *Drain) InFlight() int64 { return d.inFlight.Load() }

// Wait returns once no request is in progress, or the context's error. It covers
// the operations that other entries passed on, which no HTTP server knows of.
func (d *Drain) Wait(ctx context.Context) error {
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

func (d *Drain) enter() { d.inFlight.Add(1) }

func (d *Drain) exit() { d.inFlight.Add(-1) }
