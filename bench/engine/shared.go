package engine

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// observeInterval is how often one entry asks each server for its load.
	observeInterval = 33 * time.Millisecond
	// tellDelay is the way of a datagram between entries, with its handling.
	tellDelay = time.Millisecond
)

// observe asks every server for its load and tells all entries.
func (r *run) observe() {
	for _, s := range r.servers {
		report := s.report()
		if r.measuring() {
			r.result.Probes++
			r.result.Bytes += probeBytes
		}
		at := r.clock.time()
		r.tell(nil, func(q *queued) { q.balancer.Heard(s.vm.Name, at, report) })
	}
	r.clock.after(observeInterval, r.observe)
}

// tell does something at all entries but one after a datagram's time.
func (r *run) tell(from *queued, do func(*queued)) {
	r.clock.after(tellDelay, func() {
		for _, e := range r.entries {
			if q := e.chooser.(*queued); q != from {
				do(q)
			}
		}
	})
}

// place is this entry's place in a server's order: servers begin at different ones.
func (q *queued) place(server string) int {
	entries := q.entry.run.scenario.Entries
	return (q.entry.index + int(xxhash.Sum64String(server)%uint64(entries))) % entries
}
