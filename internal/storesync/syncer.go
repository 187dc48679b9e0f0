package storesync

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Options are the settings of a Syncer.
type Options struct {
	// Log is the store.
	Log logservice.CompactedLog
	// ConfigStream and ConfigKey locate the configuration. ServersStream has a record
	// for each backend server.
	ConfigStream, ConfigKey, ServersStream string
	// DecodeTree decodes the configuration's value into a tree.
	DecodeTree func(value []byte) (*tree.Tree, error)
	// DecodeRevision decodes only the revision of a configuration, at a small part of the
	// cost.
	DecodeRevision func(value []byte) (int64, error)
	// DecodeServer decodes a server's value. An error means that the record describes
	// no usable server.
	DecodeServer func(key string, value []byte) (fleet.VM, error)
	// Client calls other members.
	Client peer.Client
	// Self is the name of this VM, and Zone its availability zone.
	Self, Zone string
	// Bootstrap is set if the whole system starts for the first time. Members then
	// wait to discover each other before they read the store.
	Bootstrap bool
	// View returns the current view of the cluster.
	View func() *cluster.View
	// OnTree applies a newer tree. Calls are serialized.
	OnTree func(*tree.Tree)
	// DecodeEvacuation returns the availability zone that a record of ConfigStream with this key
	// evacuates, and false if the key is not one of an evacuation. The zone is empty if the key
	// can't be read. If the function is nil, no zone is ever evacuated.
	DecodeEvacuation func(key string) (zone string, ok bool)
	// OnEvacuations applies the sorted list of evacuated availability zones whenever it has
	// changed. Calls are serialized with those of OnTree and OnServers.
	OnEvacuations func(zones []string)
	// OnServers applies a newer list of backend servers. Calls are serialized and may
	// repeat a list.
	OnServers func([]fleet.VM)
	// Proof asks for proof that the active configuration is the newest one.
	Proof ProofOptions
	// Events receives the log lines.
	Events *eventlog.Logger
	// Scope receives the counters. If it is nil, nothing is counted.
	Scope tally.Scope
}

// Syncer keeps the configuration and the list of backend servers up to date. It is
// safe for concurrent use.
//
// Lock order: Syncer.applyMu, then serverTable.mu.
type Syncer struct {
	options  Options
	servers  serverTable
	deferred deferredRecords
	// evacuations has a lock that is a leaf; it changes only while applyMu is held.
	evacuations evacuationTable
	outages     outageDetector
	pulls       chan cluster.LiveMember
	started     time.Time

	// lastContact and lastConfigRead are the times of the last successful reads of the
	// servers and of the configuration from the store, in Unix nanoseconds, zero before them.
	lastContact, lastConfigRead atomic.Int64
	epoch                       atomic.Int64 // of the store, by the last read
	failing                     atomic.Bool  // the last read of the servers failed
	revision                    atomic.Int64
	// configReads are the waiting reads of the configuration.
	configReads restartableRead
	// comparison bounds how often all servers are pulled because hashes differ.
	comparison comparison
	// evacuationComparison is the same for evacuated zones.
	evacuationComparison comparison
	// newerSeenAt is when a member last announced a newer revision than the active one,
	// appliedAt when a configuration was last applied, in Unix nanoseconds.
	newerSeenAt, appliedAt atomic.Int64
	proof                  *configProof // nil if none is asked for

	applyMu sync.Mutex // serializes OnTree and OnServers, and guards the fields below
	// config is the record of the active configuration.
	config     logservice.KeyedRecord
	configNext logservice.Position
	configRead bool // configNext is known from the store or a peer
}

// New returns a syncer without configuration and servers.
func New(options Options) *Syncer {
	if options.Scope == nil {
		options.Scope = tally.NoopScope
	}
	if options.DecodeEvacuation == nil {
		options.DecodeEvacuation = func(string) (string, bool) { return "", false }
	}
	decodeServer := options.DecodeServer
	options.DecodeServer = func(key string, value []byte) (fleet.VM, error) {
		return contain(func(value []byte) (fleet.VM, error) { return decodeServer(key, value) })(value)
	}
	options.DecodeTree, options.DecodeRevision = contain(options.DecodeTree), contain(options.DecodeRevision)
	return &Syncer{options: options, pulls: make(chan cluster.LiveMember, 1), started: time.Now(), proof: newConfigProof(options.Proof)}
}

// Revision returns the revision of the active configuration, zero if there is none yet.
func (s *Syncer) Revision() int64 { return s.revision.Load() }

// ServersVersion returns the version of the list of backend servers, zero if there is
// none yet.
func (s *Syncer) ServersVersion() int64 {
	version, _ := s.servers.versions()
	return int64(version)
}

// ServersVersionAndHash returns the version of the list of backend servers and a hash of the
// servers in it.
func (s *Syncer) ServersVersionAndHash() (version int64, hash uint32) {
	position, hash := s.servers.versionAndHash()
	return int64(position), hash
}

// StoreEpoch returns the epoch of the store by this member's last read.
func (s *Syncer) StoreEpoch() int64 { return s.epoch.Load() }

// StoreReadAge returns the time since this member itself last read the store: the servers
// or the configuration, whichever is longer ago. Before the first reads it is the time
// since the start plus a minute.
func (s *Syncer) StoreReadAge(now time.Time) time.Duration {
	return max(s.readAge(&s.lastContact, now), s.readAge(&s.lastConfigRead, now))
}

// StoreFailing reports whether this member's last read of the servers failed.
func (s *Syncer) StoreFailing() bool { return s.failing.Load() }

// lastServersRead returns when this member last read the servers from the store, the zero time if
// it never did.
func (s *Syncer) lastServersRead() time.Time {
	at := s.lastContact.Load()
	if at == 0 {
		return time.Time{}
	}
	return steady.Time(at)
}

// serversReadAge is StoreReadAge of the servers alone.
func (s *Syncer) serversReadAge(now time.Time) time.Duration {
	return s.readAge(&s.lastContact, now)
}

func (s *Syncer) readAge(last *atomic.Int64, now time.Time) time.Duration {
	at := last.Load()
	if at == 0 {
		return now.Sub(s.started) + neverReadAge
	}
	return max(now.Sub(steady.Time(at)), 0)
}

// neverReadAge is added to the store read age before the first read.
const neverReadAge = time.Minute

// Run keeps the configuration and the servers up to date until ctx is done.
func (s *Syncer) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { s.followServers(ctx) })
	group.Go(func() { s.followConfig(ctx) })
	group.Go(func() { s.pullFromPeers(ctx) })
	group.Go(func() { s.followProof(ctx) })
	group.Wait()
}

// applyConfig applies the record with the highest revision that can be read, if it is newer
// than the active one.
func (s *Syncer) applyConfig(records []logservice.KeyedRecord, next logservice.Position, source string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.configNext = max(s.configNext, next)
	s.configRead = s.configRead || next > 0
	for _, r := range s.newestRevisionFirst(records) {
		if s.applyConfigRecord(r, source) {
			return
		}
	}
}

// newestRevisionFirst returns the records of the configuration, the highest revision first.
// Their order in the store does not tell: after a restore from a copy, older revisions may be
// written again behind newer ones. Only the revisions are decoded, as a large configuration
// takes a small VM long.
func (s *Syncer) newestRevisionFirst(records []logservice.KeyedRecord) []logservice.KeyedRecord {
	var found []logservice.KeyedRecord
	for _, r := range records {
		if !r.IsTombstone() && r.Key == s.options.ConfigKey {
			found = append(found, r)
		}
	}
	if len(found) < 2 {
		return found
	}
	revisions := make(map[logservice.Position]int64, len(found))
	for _, r := range found {
		revision, err := s.options.DecodeRevision(r.Value)
		if err != nil {
			revision = 0 // applyConfigRecord reports it
		}
		revisions[r.Position] = revision
	}
	slices.SortFunc(found, func(a, b logservice.KeyedRecord) int {
		return cmp.Or(cmp.Compare(revisions[b.Position], revisions[a.Position]), cmp.Compare(b.Position, a.Position))
	})
	return found
}

// applyConfigRecord reports whether the record holds a configuration; an older one than
// the active one is not applied. s.applyMu must be held.
func (s *Syncer) applyConfigRecord(r logservice.KeyedRecord, source string) bool {
	began := time.Now()
	t, err := s.options.DecodeTree(r.Value)
	if err != nil {
		s.count("config_unreadable")
		s.options.Events.Warn("configuration ignored", "position", r.Position.String(), "source", source, "error", err)
		return false
	}
	t.Digest = xxhash.Sum64(r.Value)
	if t.Revision <= s.revision.Load() && !s.isRewritten(t, r) {
		return true
	}
	s.config = r
	s.options.OnTree(t)
	s.proof.setActive(t)
	s.revision.Store(t.Revision)
	now := time.Now()
	s.appliedAt.Store(steady.Nanos(now))
	s.count("config_applied")
	s.options.Events.Info("configuration in force", "revision", t.Revision, "position", r.Position.String(), "source", source,
		"bytes", len(r.Value), "apply_ms", now.Sub(began).Milliseconds(), "keys_required", t.KeysRequired, "tenants", len(t.Tenants))
	return true
}

// applyServers applies records of backend servers from the store.
func (s *Syncer) applyServers(records []logservice.KeyedRecord, source string) {
	s.applyServersFrom(records, serverSource{}, source)
}

// applyPeerServers applies the records of backend servers in another member's update.
func (s *Syncer) applyPeerServers(u *update, source string) {
	records := u.Servers
	if u.ServersComplete > 0 {
		records = append(slices.Clone(records), s.servers.absent(records, u.ServersComplete)...)
	}
	s.applyServersFrom(records, serverSource{peer: true, version: u.ServersVersion, first: s.ServersVersion() == 0}, source)
}

func (s *Syncer) applyServersFrom(records []logservice.KeyedRecord, from serverSource, source string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	changed := 0
	for _, r := range records {
		recordChanged, err := s.servers.apply(r, from, s.options.DecodeServer)
		if recordChanged {
			changed++
		}
		if err != nil || changed <= maxLoggedChanges {
			s.logServerChange(r, recordChanged, err, source)
		}
	}
	if changed > maxLoggedChanges {
		s.options.Events.Info("further servers changed", "servers", changed-maxLoggedChanges, "source", source)
	}
	if changed > 0 {
		s.options.OnServers(s.servers.servers())
	}
}

// maxLoggedChanges bounds the log lines for the server records that one read or update
// brings. The first update after a start holds all servers.
const maxLoggedChanges = 16

// logServerChange logs a record that changed the list of servers or could not be decoded.
func (s *Syncer) logServerChange(r logservice.KeyedRecord, changed bool, err error, source string) {
	switch {
	case err != nil:
		s.count("server_unreadable")
		s.options.Events.Warn("server record ignored", "server", r.Key, "position", r.Position.String(), "source", source, "error", err)
	case changed && r.IsTombstone():
		s.options.Events.Info("server gone", "server", r.Key, "position", r.Position.String(), "source", source)
	case changed:
		s.options.Events.Info("server changed", "server", r.Key, "position", r.Position.String(), "source", source)
	}
}

// markContact records the time of a successful read of the servers.
func (s *Syncer) markContact(now time.Time) {
	if age := s.serversReadAge(now); age > outageThreshold && s.lastContact.Load() != 0 {
		s.options.Events.Info("store regained", "age_ms", age.Milliseconds())
	}
	s.lastContact.Store(steady.Nanos(now))
	s.failing.Store(false)
}

// serversReadFailed records a failed read of the servers.
func (s *Syncer) serversReadFailed(operation string, err error) {
	s.failing.Store(true)
	s.outages.observeFailure(time.Now())
	s.storeFailed(operation, err)
}

func (s *Syncer) storeFailed(operation string, err error) {
	s.count("store_errors")
	s.options.Events.Warn("store call failed", "operation", operation, "error", err)
}

func (s *Syncer) count(name string) { s.options.Scope.Counter("feed_" + name).Inc(1) }

// isRefused reports whether the records from a position on can't be read there: they are no
// longer kept or malformed, or the position is of another epoch.
func isRefused(err error) bool {
	var expired *logservice.ExpiredError
	var epoch *logservice.EpochError
	var malformed *logservice.MalformedError
	return errors.As(err, &expired) || errors.As(err, &epoch) || errors.As(err, &malformed)
}

// logUnreadable logs how many records of a page could not be read.
func (s *Syncer) logUnreadable(stream string, page logservice.KeyedPage) {
	if page.Unreadable > 0 {
		s.count("records_unreadable")
		s.options.Events.Warn("records can't be read", "stream", stream, "records", page.Unreadable, "next", page.Next.String())
	}
}
