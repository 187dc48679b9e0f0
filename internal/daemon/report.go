package daemon

import (
	"chestnutrouter.example/chestnutrouter/internal/status"
)

// Report returns the entry's state for the status page.
func (e *Entry) Report() status.Report {
	state := e.params.Follower.Current()
	r := status.Report{
		VM:          e.params.Settings.VM,
		Zone:        e.params.Settings.Zone,
		Incarnation: e.params.Operations.Incarnation(),
		Offset:      state.Offset(),
		Hash:        state.Hash(),
		Revision:    state.Revision(),
		Draining:    e.params.Drainer.Draining(),
		InFlight:    e.params.Drainer.InFlight(),
		Operations:  e.params.Operations.Len(),
		Seats:       state.Seats().HeldBy(e.params.Operations.Incarnation()),
		Limits:      e.params.Limiter.Usage(),
	}
	for _, other := range e.params.Membership.View().Entries {
		r.Entries = append(r.Entries, status.Entry{
			VM:          other.VM.Name,
			Zone:        other.VM.Zone,
			Incarnation: other.Incarnation,
			Offset:      other.Offset,
			Draining:    other.Draining,
		})
	}
	return r
}

// Ready reports whether callers can be served: there is an active tree and the entry
// is not draining.
func (e *Entry) Ready() bool {
	return e.params.Follower.Current().Tree() != nil && !e.params.Drainer.Draining()
}
