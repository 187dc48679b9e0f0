// Package follow maintains the newest state of the config stream.
//
// It reads records from the log by long polling. While the log is unreachable, it
// gets records or the whole state from a peer that has applied a higher offset. If
// the next record has expired, it restores the newest snapshot instead. The applied
// offset only grows, so an active configuration is only ever replaced by a later one.
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

// Options configures a Follower.
type Options struct {
	// Log is the platform's log service.
	Log logservice.Log
	// Client calls other entries.
	Client peer.Client
	// Position returns how many live entries precede this one in the order of a
	// key; nil means none. It staggers the entries when a snapshot is due.
	Position func(key string) int
	// Logger receives the decision on each record; nil discards it.
	Logger *log.Logger
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Follower maintains the newest state. It is safe for concurrent use.
//
// Lock order: applyMu before ahead or snapshots; those two are never locked together.
type Follower struct {
	opts        Options
	state       atomic.Pointer[statemachine.State]
	lastContact atomic.Int64 // time of the log's last response, in Unix nanoseconds; 0 for never
	reachable   atomic.Bool  // the last request to the log got a response
	diverged    atomic.Int64 // last offset at which a divergence was logged, -1 for none

	applyMu        sync.Mutex // guards recent and skippedRecords, and serializes changes of state
	recent         recentRecords
	skippedRecords bool // a record was of a newer version than this program supports
	subscribers    []func(*statemachine.State)

	ahead         peerOffsets
	snapshots     snapshotTracker
	snapshotsNext int64 // next offset to read in the snapshots stream; only followLog uses it
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
		recent:    recentRecords{maxRecords: maxRecentRecords},
		ahead:     newPeerOffsets(),
		snapshots: newSnapshotTracker(time.Now()),
	}
	f.state.Store(statemachine.Empty())
	f.diverged.Store(-1)
	return f
}

// Current returns the newest state; it never blocks.
func (f *Follower) Current() *statemachine.State { return f.state.Load() }

// Subscribe registers s to be called after each change of the state, in order of
// offset and one call at a time. Call Subscribe before Run. s must not wait for the
// Follower.
func (f *Follower) Subscribe(s func(*statemachine.State)) { f.subscribers = append(f.subscribers, s) }

// LastContact returns the time of the log's last response; the zero time means never.
func (f *Follower) LastContact() time.Time {
	nanos := f.lastContact.Load()
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
	loops.Go(func() { f.appendSnapshots(ctx) })
	loops.Wait()
}

// applyRecords applies the records that continue the state without a gap and
// returns their number. The records must be sorted by offset.
func (f *Follower) applyRecords(records []logservice.Record) int {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
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
		f.activate(state)
	}
	return count
}

// installState replaces the current state by one of a higher offset. It reports
// false and changes nothing if the offset is not higher.
func (f *Follower) installState(state *statemachine.State, source string) bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if state.Offset() <= f.state.Load().Offset() {
		return false
	}
	f.recent.reset()
	f.activate(state)
	f.opts.Scope.Tagged(map[string]string{"source": source}).Counter("config_states_taken").Inc(1)
	f.opts.Logger.Info("configuration state installed", "source", source, "offset", state.Offset())
	return true
}

// activate makes the state the current one and notifies the subscribers; the
// caller holds applyMu.
func (f *Follower) activate(state *statemachine.State) {
	f.state.Store(state)
	f.opts.Scope.Gauge("config_offset").Update(float64(state.Offset()))
	for _, s := range f.subscribers {
		s(state)
	}
	f.opts.Logger.Info("configuration in force", "applied", state.Offset(), "revision", state.Revision())
}

// report counts and logs the decision on a record; the caller holds applyMu.
func (f *Follower) report(d statemachine.Decision) {
	f.opts.Scope.Tagged(map[string]string{"outcome": string(d.Outcome)}).Counter("config_records").Inc(1)
	switch d.Outcome {
	case statemachine.Accepted, statemachine.Proposed, statemachine.Duplicate:
		f.opts.Logger.Info("configuration record", "decision", d.String())
	case statemachine.Unsupported:
		f.skippedRecords = true
		f.opts.Logger.Error("configuration record needs a newer version of this program",
			"decision", d.String())
	default:
		f.opts.Logger.Warn("configuration record not accepted", "decision", d.String())
	}
}
