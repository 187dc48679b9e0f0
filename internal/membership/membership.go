// Package membership tracks the live entries and the backend servers.
//
// The data comes from the platform's VM list, which may be outdated or
// unavailable, and from heartbeats between entries with a constant fan-out: twice
// a second, each entry exchanges entry states and liveness counters with one peer
// in rotation, and updates (a draining server, a new or leaving entry) are
// gossiped to a few more peers immediately. The result is published as an immutable
// View, which is replaced atomically.
package membership

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// Follower is the part of the config stream's follower that heartbeats need.
type Follower interface {
	// Offsets returns the applied offset of the config stream and the offset of
	// the newest known snapshot in the snapshots stream; -1 means none.
	Offsets() (offset, snapshot int64)
	// Fingerprint returns the applied offset and a fingerprint of the state there.
	Fingerprint() (offset int64, state uint64)
	// CheckDivergence compares the state fingerprint that the entry at a peer
	// address has at an offset with the follower's own.
	CheckDivergence(address string, offset int64, state uint64)
	// ObservePeerOffset reports that the entry at a peer address has applied an
	// offset of the config stream.
	ObservePeerOffset(address string, offset int64)
	// ObserveSnapshot reports that the snapshots stream has a snapshot at an offset.
	ObserveSnapshot(offset int64)
}

// Options configure a Membership.
type Options struct {
	// Self is this entry's VM.
	Self fleet.VM
	// Incarnation is the random id of this process.
	Incarnation string
	// Epoch returns the current epoch of the tickets that this process issues.
	Epoch func() uint32
	// Follower is the follower of the config stream.
	Follower Follower
	// VMs is the platform's VM list.
	VMs logservice.VMList
	// Client calls other entries.
	Client peer.Client
	// Seeds are peer addresses to contact when the platform is unavailable.
	Seeds []string
	// Logger receives log lines; nil discards them.
	Logger *log.Logger
	// Scope receives the metrics; nil discards them.
	Scope tally.Scope
}

// Membership keeps the View up to date. It is safe for concurrent use.
type Membership struct {
	opts    Options
	view    atomic.Pointer[View]
	updates chan struct{} // holds one token while updates wait to be gossiped

	mu          sync.Mutex // guards table and rotations
	table       *table
	rotations   [2]rotation   // by peerKind
	subscribers []func(*View) // not modified after Run was called
	calls       sync.WaitGroup
}

// New returns a Membership that contains only this entry. Run starts it.
func New(opts Options) *Membership {
	if opts.Logger == nil {
		opts.Logger = log.New(io.Discard)
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	now := time.Now()
	self := peer.Member{
		VM:   opts.Self,
		Row:  peer.EntryState{Incarnation: opts.Incarnation, Generation: uint64(now.UnixMilli()), Version: 1},
		Sign: peer.Liveness{ID: peer.ShortID(opts.Incarnation), Counter: 1},
	}
	m := &Membership{opts: opts, updates: make(chan struct{}, 1), table: newTable(self, now)}
	m.refreshSelf()
	m.view.Store(m.table.buildView(now, m.table.buildServers()))
	return m
}

// View returns the newest view; it never blocks.
func (m *Membership) View() *View { return m.view.Load() }

// Subscribe registers f to be called after each change of the live entries or the
// backend servers, one call at a time. It must be called before Run.
func (m *Membership) Subscribe(f func(*View)) { m.subscribers = append(m.subscribers, f) }

// SetDraining removes this entry from the endpoint lists that all entries serve.
func (m *Membership) SetDraining() {
	m.mu.Lock()
	m.table.self.Row.Draining = true
	m.table.self.Row.Version++
	m.mu.Unlock()
	m.scheduleGossip()
}

// ReportDraining notifies all entries that a backend server, by VM name, takes no
// new work. The call is cheap if that is already known.
func (m *Membership) ReportDraining(server string) {
	if !m.View().Draining(server) {
		m.report(server, true)
	}
}

// ReportServing notifies all entries that a backend server that was draining
// takes new work again.
func (m *Membership) ReportServing(server string) {
	if m.View().Draining(server) {
		m.report(server, false)
	}
}

func (m *Membership) report(server string, draining bool) {
	m.mu.Lock()
	changed := m.table.notices.reportLoad(time.Now(), server, draining)
	m.mu.Unlock()
	if !changed {
		return
	}
	m.opts.Logger.Info("backend server reported a changed state", "server", server, "draining", draining)
	m.scheduleGossip()
}

// Announce gossips that this entry's state has changed, for example its config
// offset.
func (m *Membership) Announce() { m.scheduleGossip() }

// scheduleGossip requests a gossip round. It never blocks.
func (m *Membership) scheduleGossip() {
	select {
	case m.updates <- struct{}{}:
	default:
	}
}

// Run keeps the view up to date until the context ends.
func (m *Membership) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer m.calls.Wait()
	defer cancel()
	m.calls.Go(func() { m.pollListLoop(ctx) })
	m.heartbeatLoop(ctx)
}

// refreshSelf updates this entry's own state. The caller holds mu or has exclusive
// access.
func (m *Membership) refreshSelf() {
	state := m.table.self.Row
	_, state.Snapshot = m.opts.Follower.Offsets()
	state.Offset, state.State = m.opts.Follower.Fingerprint()
	state.Epoch = m.opts.Epoch()
	if state != m.table.self.Row {
		state.Version++
		m.table.self.Row = state
	}
}

// publish replaces the view and notifies the subscribers if it changed.
func (m *Membership) publish() {
	m.mu.Lock()
	before := m.view.Load()
	m.refreshSelf()
	servers := m.table.buildServers()
	next := m.table.buildView(time.Now(), servers)
	m.mu.Unlock()
	m.view.Store(next)
	if sameMembers(before, next) && sameServers(before.servers, next.servers) {
		return
	}
	m.logChanges(before, next)
	for _, f := range m.subscribers {
		f(next)
	}
}
