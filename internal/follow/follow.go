// Package follow keeps the newest state of the config stream.
//
// Records come from the log by long poll. While the log can't be reached, a peer
// that has applied a higher offset gives its records or its state. Where records
// have expired, the newest snapshot takes their place. The applied offset only
// grows, so what was in force once is replaced only by what followed it.
package follow

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// Options are the parts that a Follower works with.
type Options struct {
	// Log is the platform's log service.
	Log logservice.Log
	// Client calls other entries.
	Client peer.Client
	// Position returns how many live entries come before this one in the order of a
	// key; nil stands for none. It spreads the work of appending snapshots.
	Position func(key string) int
	// Logger gets what became of each record; nil drops it.
	Logger *log.Logger
	// Scope gets the counters; nil drops them.
	Scope tally.Scope
}

// Follower keeps the newest state. It is safe for concurrent use.
//
// Lock order: advance before offers or snapshots; those two are never held together.
type Follower struct {
	opts      Options
	state     atomic.Pointer[statemachine.State]
	lastHeard atomic.Int64 // when the log answered, in Unix nanoseconds
	reachable atomic.Bool  // the last request to the log was answered
	diverged  atomic.Int64 // the offset at which a peer was last reported to differ

	advance     sync.Mutex // guards recent and partial, and orders changes of state
	recent      ring
	partial     bool // a record was of a newer version than this build knows
	subscribers []func(*statemachine.State)

	offers        offerTable
	snapshots     snapshotMark
	snapshotsRead int64 // where to read the snapshots stream on; only followLog uses it
}

// New returns a Follower with the empty state.
func New(opts Options) *Follower {
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Position == nil {
		opts.Position = func(string) int { return 0 }
	}
	f := &Follower{
		opts:      opts,
		recent:    ring{limit: maxRecentRecords},
		offers:    newOfferTable(),
		snapshots: newSnapshotMark(time.Now()),
	}
	f.state.Store(statemachine.Empty())
	f.diverged.Store(-1)
	return f
}

// Current returns the newest state; it never blocks.
func (f *Follower) Current() *statemachine.State { return f.state.Load() }

// Subscribe has f called after each change of the state, in order of offset and
// one call at a time. Subscribe before Run; s must not wait for the Follower.
func (f *Follower) Subscribe(s func(*statemachine.State)) { f.subscribers = append(f.subscribers, s) }

// LastContact returns when the log last answered; the zero time stands for never.
func (f *Follower) LastContact() time.Time {
	nanos := f.lastHeard.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Run follows the log until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.followLog(ctx) })
	loops.Go(func() { f.followPeers(ctx) })
	loops.Go(func() { f.keepSnapshots(ctx) })
	loops.Wait()
}

// applyRecords applies the records that continue the state without a gap and
// returns how many did. The records are sorted by offset.
func (f *Follower) applyRecords(records []logservice.Record) int {
	f.advance.Lock()
	defer f.advance.Unlock()
	state, count := f.state.Load(), 0
	for _, r := range records {
		if r.Offset != state.Offset()+1 {
			continue
		}
		next, decision := state.Apply(r.Offset, r.Data)
		f.report(decision)
		f.recent.add(r)
		state = next
		count++
	}
	if count > 0 {
		f.swap(state)
	}
	return count
}

// takeState takes a state whose offset is higher than that of the current one.
func (f *Follower) takeState(state *statemachine.State, source string) bool {
	f.advance.Lock()
	defer f.advance.Unlock()
	if state.Offset() <= f.state.Load().Offset() {
		return false
	}
	f.recent.reset()
	f.swap(state)
	f.opts.Scope.Tagged(map[string]string{"source": source}).Counter("config_states_taken").Inc(1)
	f.opts.Logger.Info("configuration taken whole", "source", source, "offset", state.Offset())
	return true
}

// swap brings a state in force; the caller holds advance.
func (f *Follower) swap(state *statemachine.State) {
	f.state.Store(state)
	f.opts.Scope.Gauge("config_offset").Update(float64(state.Offset()))
	for _, s := range f.subscribers {
		s(state)
	}
	f.opts.Logger.Info("configuration in force", "applied", state.Offset(), "revision", state.Revision())
}

// report counts and logs what became of a record; the caller holds advance.
func (f *Follower) report(d statemachine.Decision) {
	f.opts.Scope.Tagged(map[string]string{"outcome": string(d.Outcome)}).Counter("config_records").Inc(1)
	switch d.Outcome {
	case statemachine.Accepted, statemachine.Proposed, statemachine.Duplicate:
		f.opts.Logger.Info("configuration record", "decision", d.String())
	case statemachine.Unsupported:
		f.partial = true
		f.opts.Logger.Error("configuration record needs a newer version of this program",
			"decision", d.String())
	default:
		f.opts.Logger.Warn("configuration record not in force", "decision", d.String())
	}
}
