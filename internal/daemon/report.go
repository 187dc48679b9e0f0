package daemon

import (
	"chestnutrouter.example/chestnutrouter/internal/status"
)

// Report returns the entry's state for the status page.
func (e *Entry) Report() status.Report {
	state := e.parts.Follower.Current()
	r := status.Report{
		VM:          e.parts.Settings.VM,
		Zone:        e.parts.Settings.Zone,
		Incarnation: e.parts.Operations.Incarnation(),
		Offset:      state.Offset(),
		Hash:        state.Hash(),
		Revision:    state.Revision(),
		Draining:    e.parts.Drain.Draining(),
		InFlight:    e.parts.Drain.InFlight(),
		Operations:  e.parts.Operations.Len(),
		Seats:       state.Seats().HeldBy(e.parts.Operations.Incarnation()),
		Limits:      e.parts.Limiter.Usage(),
	}
	for _, other := range e.parts.Members.View().Entries {
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

// Ready reports whether callers can be served: there is a tree in force and the
// entry is not leaving.
func (e *Entry) Ready() bool {
	return e.parts.Follower.Current().Tree() != nil && !e.parts.Drain.Draining()
}
