package entry

import (
	"sync/atomic"
)

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

func (d *Drain) enter() { d.inFlight.Add(1) }

func (d *Drain) exit() { d.inFlight.Add(-1) }
