package balancer

import "sync/atomic"

// news is the last report of a backend server, readable without a lock.
type news struct {
	draining atomic.Bool
}

func (n *news) hear(r Report) { n.draining.Store(r.Draining) }
