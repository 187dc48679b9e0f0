package storesync

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Options are the settings of a Syncer.
type Options struct {
	// Log is the store.
	Log logservice.CompactedLog
	// ConfigStream and ConfigKey are where the configuration lies, and
	// ServersStream where each backend server has a record.
	ConfigStream, ConfigKey, ServersStream string
	// DecodeTree turns the configuration's value into a tree.
	DecodeTree func(value []byte) (*tree.Tree, error)
	// DecodeServer turns a server's value into a backend server; an error means
	// that the record names none to use.
	DecodeServer func(key string, value []byte) (fleet.VM, error)
	// Client calls other members.
	Client peer.Client
	// Self is the name of this VM.
	Self string
	// Bootstrap says that the whole system starts for the first time: then there
	// is time to find the other members before the store is read.
	Bootstrap bool
	// View returns the members.
	View func() *cluster.View
	// OnTree puts a newer tree in force. Calls come one at a time.
	OnTree func(*tree.Tree)
	// OnServers puts a newer list of backend servers in force. Calls come one at
	// a time, and may repeat a list.
	OnServers func([]fleet.VM)
	// Log lines go to Events.
	Events *eventlog.Logger
	// Scope receives the counters; nil counts nowhere.
	Scope tally.Scope
}

// Syncer keeps the configuration and the list of backend servers up to date. It is
// safe for concurrent use.
//
// Lock order: Syncer.apply, then table.mu.
type Syncer struct {
	options Options
	servers table
	lapses  lapses
	pulls   chan cluster.LiveMember
	started time.Time

	contact  atomic.Int64 // Unix nanoseconds of the last read of the store, zero before it
	revision atomic.Int64

	apply sync.Mutex // orders OnTree and OnServers, and guards config
	// config is the newest record of the configuration.
	config     logservice.KeyedRecord
	configNext int64
	configRead bool // configNext is what the store said
}

// New returns a feed that has nothing yet.
func New(options Options) *Syncer {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	return &Syncer{options: options, pulls: make(chan cluster.LiveMember, 1), started: time.Now()}
}

// Revision is the configuration in force, zero before the first.
func (f *Syncer) Revision() int64 { return f.revision.Load() }

// ServersVersion is the version of the list of backend servers.
func (f *Syncer) ServersVersion() int64 {
	version, _ := f.servers.versions()
	return version
}

// StoreReadAge is the time since this member itself read the store.
func (f *Syncer) StoreReadAge(now time.Time) time.Duration {
	at := f.contact.Load()
	if at == 0 {
		return now.Sub(f.started) + never
	}
	return max(now.Sub(time.Unix(0, at)), 0)
}

// never is added to the age of a contact that never was.
const never = time.Minute

// Run keeps the feed up to date until ctx ends.
func (f *Syncer) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { f.followServers(ctx) })
	group.Go(func() { f.followConfig(ctx) })
	group.Go(func() { f.pullFromPeers(ctx) })
	group.Wait()
}

// putConfig puts a configuration in force if it is newer.
func (f *Syncer) putConfig(r logservice.KeyedRecord, next int64, source string) {
	f.apply.Lock()
	defer f.apply.Unlock()
	f.configNext = max(f.configNext, next)
	f.configRead = f.configRead || next > 0
	if r.IsTombstone() || r.Key != f.options.ConfigKey {
		return
	}
	t, err := f.options.DecodeTree(r.Value)
	if err != nil {
		f.count("config_unreadable")
		f.options.Events.Warn("configuration ignored", "offset", r.Offset, "source", source, "error", err)
		return
	}
	if t.Revision <= f.revision.Load() {
		return
	}
	f.config = r
	f.options.OnTree(t)
	f.revision.Store(t.Revision)
	f.count("config_applied")
	f.options.Events.Info("configuration in force", "revision", t.Revision, "offset", r.Offset, "source", source)
}

// putServers takes in records of backend servers.
func (f *Syncer) putServers(records []logservice.KeyedRecord, source string) {
	f.apply.Lock()
	defer f.apply.Unlock()
	changed := false
	for _, r := range records {
		c, err := f.servers.apply(r, f.options.DecodeServer)
		f.noteServer(r, c, err, source)
		changed = changed || c
	}
	if changed {
		f.options.OnServers(f.servers.servers())
	}
}

// noteServer logs a record that changed what this process believes.
func (f *Syncer) noteServer(r logservice.KeyedRecord, changed bool, err error, source string) {
	switch {
	case err != nil:
		f.count("server_unreadable")
		f.options.Events.Warn("server record ignored", "server", r.Key, "offset", r.Offset, "source", source, "error", err)
	case changed && r.IsTombstone():
		f.options.Events.Info("server gone", "server", r.Key, "offset", r.Offset, "source", source)
	case changed:
		f.options.Events.Info("server changed", "server", r.Key, "offset", r.Offset, "source", source)
	}
}

// touched notes that the store answered.
func (f *Syncer) touched(now time.Time) {
	if age := f.StoreReadAge(now); age > contactLost && f.contact.Load() != 0 {
		f.options.Events.Info("store regained", "age_ms", age.Milliseconds())
	}
	f.contact.Store(now.UnixNano())
}

func (f *Syncer) failed(operation string, err error) {
	f.count("store_errors")
	f.options.Events.Warn("store call failed", "operation", operation, "error", err)
}

func (f *Syncer) count(name string) { f.options.Scope.Counter("feed_" + name).Inc(1) }

func expired(err error) bool {
	var e *logservice.ExpiredError
	return errors.As(err, &e)
}
