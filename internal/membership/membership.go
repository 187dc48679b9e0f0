// Package membership knows the live entries and the backend servers.
//
// Facts come from the platform's VM list, which may lag or be out of reach, and
// from heartbeats between entries with a constant fan-out: each entry exchanges
// rows with one peer in turn twice a second, and news (a draining server, a new
// or leaving entry) goes to a few more at once. What an entry knows is swapped
// whole as an immutable View.
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

// Follower is the part of the follower that heartbeats need.
type Follower interface {
	// Position returns the applied offset of the config stream and the place of
	// the newest known snapshot in its stream; -1 stands for none.
	Position() (offset, snapshot int64)
	// Fingerprint returns the applied offset and a fingerprint of its state.
	Fingerprint() (offset int64, state uint64)
	// CheckDivergence tells which state the entry at a peer address has at an offset.
	CheckDivergence(address string, offset int64, state uint64)
	// ObservePeerOffset tells that the entry at a peer address has applied an offset.
	ObservePeerOffset(address string, offset int64)
	// ObserveSnapshot tells that the snapshots stream has a snapshot at that place.
	ObserveSnapshot(place int64)
}

// Options are the parts that a Membership works with.
type Options struct {
	// Self is this entry's VM.
	Self fleet.VM
	// Incarnation is the random id of this process.
	Incarnation string
	// Epoch returns the current epoch of this process's tickets.
	Epoch func() uint32
	// Follower is the follower of the config stream.
	Follower Follower
	// VMs is the platform's VM list.
	VMs logservice.VMList
	// Client calls other entries.
	Client peer.Client
	// Seeds are peer addresses to try when the platform is down.
	Seeds []string
	// Logger gets changes of the membership; nil drops them.
	Logger *log.Logger
	// Scope gets the counters; nil drops them.
	Scope tally.Scope
}

// Membership keeps the View up to date. It is safe for concurrent use.
type Membership struct {
	opts Options
	view atomic.Pointer[View]
	news chan struct{} // holds one token while news wait to be spread

	mu          sync.Mutex // guards table and rotations
	table       *table
	rotations   [2]rotation   // by peerKind
	subscribers []func(*View) // fixed once Run was called
	calls       sync.WaitGroup
}

// New returns a Membership that knows only this entry.
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
	m := &Membership{opts: opts, news: make(chan struct{}, 1), table: newTable(self, now)}
	m.refreshSelf()
	m.view.Store(m.table.buildView(now, m.table.buildServers()))
	return m
}

// View returns the newest view; it never blocks.
func (m *Membership) View() *View { return m.view.Load() }

// Subscribe has f called after each change of the live entries or the backend
// servers, one call at a time. Subscribe before Run.
func (m *Membership) Subscribe(f func(*View)) { m.subscribers = append(m.subscribers, f) }

// SetDraining takes this entry out of the address answer of all entries.
func (m *Membership) SetDraining() {
	m.mu.Lock()
	m.table.self.Row.Draining = true
	m.table.self.Row.Version++
	m.mu.Unlock()
	m.spread()
}

// ReportDraining tells all entries that a backend server, by VM name, takes no
// new work. It is cheap where that is known.
func (m *Membership) ReportDraining(server string) {
	if !m.View().Draining(server) {
		m.report(server, true)
	}
}

// ReportServing tells all entries that a backend server that was draining takes
// new work again.
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
	m.opts.Logger.Info("backend server state heard from the server", "server", server, "draining", draining)
	m.spread()
}

// Announce tells some peers soon that this entry's row has changed, such as by a
// new offset.
func (m *Membership) Announce() { m.spread() }

// spread has the news sent to some peers soon.
func (m *Membership) spread() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// Run keeps the view up to date until the context ends.
func (m *Membership) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer m.calls.Wait()
	defer cancel()
	m.calls.Go(func() { m.pollList(ctx) })
	m.beatLoop(ctx)
}

// refreshSelf copies this entry's newest facts into its row; the caller holds mu
// or is the only user.
func (m *Membership) refreshSelf() {
	row := m.table.self.Row
	_, row.Snapshot = m.opts.Follower.Position()
	row.Offset, row.State = m.opts.Follower.Fingerprint()
	row.Epoch = m.opts.Epoch()
	if row != m.table.self.Row {
		row.Version++
		m.table.self.Row = row
	}
}

// publish swaps the view and tells the subscribers of a change.
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
