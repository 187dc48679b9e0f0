package simulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/phase"
)

const (
	// observeInterval is how often one entry asks a server for its load while the
	// rhythm of the server is not known.
	observeInterval = 33 * time.Millisecond
	// tellDelay is the way of a datagram between entries, with its handling.
	tellDelay = time.Millisecond
)

// observe has one entry ask each server for its load and tell all entries.
func (r *run) observe() {
	for _, s := range r.servers {
		r.observeServer(s, &phase.Tracker{})
	}
}

// observeServer asks one server, and again when that is worth it.
func (r *run) observeServer(s *server, known *phase.Tracker) {
	report, at := s.report(), r.clock.time()
	if r.measuring() {
		r.result.Probes++
		r.result.Bytes += probeBytes
	}
	r.tell(nil, func(q *queued) { q.balancer.AddReport(s.vm.Name, at, report) })
	known.Observe(at, report.Slowdown)
	next := observeInterval
	if known.Locked() && !r.scenario.FixedRateProbes {
		due, _ := known.Next(at)
		next = due.Sub(at)
	}
	r.clock.after(next, func() { r.observeServer(s, known) })
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
