package storesync

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// The records of evacuated availability zones are in the stream of the configuration, one key
// for each zone. A record with a value evacuates its zone, one without takes it back. The
// newest position decides, whatever way a record came, so members reach the same state in any
// order of reads and pulls. Two rules go beyond that:
//
//   - A key that is missing among the newest records of all keys has been removed, unless what
//     is known of it is of an earlier epoch: the store was then restored from a copy that may be
//     older than the record. The same holds for a key that is missing at a member with all records
//     up to a later position.
//   - After such a restore a removal in the copy does not end an evacuation that was read at a
//     later offset of the epoch before. It stays until its key is written again.

// configPage is what one read of the configuration's stream returned.
type configPage struct {
	logservice.KeyedPage
	// newest has the newest record of each key of the stream, nil if they were not read.
	newest *logservice.KeyedPage
}

// newestInHistory returns the records as those of all keys, nil if some are still to be read.
func newestInHistory(history logservice.KeyedPage) *logservice.KeyedPage {
	if history.Next < history.End {
		return nil
	}
	return &history
}

// evacuationRecord is the newest record of one key.
type evacuationRecord struct {
	// Zone is the availability zone, and Evacuated is false if its key was removed.
	Zone      string
	Evacuated bool
	Position  logservice.Position
	// Origin is where the record was in an earlier epoch of the store, if it holds in a later one
	// that may never have had it; otherwise zero. Position is then in the later epoch.
	Origin logservice.Position
}

// origin returns the position at which the record was in the store.
func (r evacuationRecord) origin() logservice.Position { return cmp.Or(r.Origin, r.Position) }

// isNewerThan reports whether the record is later than another one of its key. Two that were both
// written before a restore are compared by where they were then.
func (r evacuationRecord) isNewerThan(other evacuationRecord) bool {
	epoch := max(r.Position.Epoch(), other.Position.Epoch())
	if (r.Origin != 0 || other.Origin != 0) && max(r.origin(), other.origin()).Epoch() < epoch {
		return r.origin() > other.origin()
	}
	return r.Position > other.Position
}

// supersedes reports whether the record is later than the other one, which was written before a
// restore, because the member that holds it knew the records of that time up to before.
func (r evacuationRecord) supersedes(other evacuationRecord, before logservice.Position) bool {
	return other.Origin != 0 && r.origin().Epoch() > other.Origin.Epoch() && before >= other.Origin
}

// raisedTo returns the record with at least that position.
func (r evacuationRecord) raisedTo(position logservice.Position) evacuationRecord {
	if position > r.Position {
		r.Origin, r.Position = r.origin(), position
	}
	return r
}

// evacuationState is what a member knows of evacuations, in an update.
type evacuationState struct {
	// Records are the newest ones by key, removals included.
	Records map[string]evacuationRecord
	// Next is the position before which a key without a record here has none in the store,
	// either. Before is the newest position of
	// an earlier epoch of the store that the member knew when it read the present one.
	Next, Before logservice.Position
}

// evacuationVersion identifies what a member knows of evacuations.
type evacuationVersion struct {
	version logservice.Position // after the newest record, zero if there is none
	hash    uint32              // of the evacuated zones' keys
}

// version returns the version of the state, the zero one of a nil state.
func (s *evacuationState) version() evacuationVersion {
	var v evacuationVersion
	if s == nil {
		return v
	}
	for key, r := range s.Records {
		v.version = max(v.version, r.Position.Next())
		if r.Evacuated {
			v.hash += uint32(xxhash.Sum64String(key))
		}
	}
	return v
}

// zones returns the sorted zones that are evacuated.
func (s *evacuationState) zones() []string {
	zones := map[string]bool{}
	for _, r := range s.Records {
		if r.Evacuated {
			zones[r.Zone] = true
		}
	}
	return slices.Sorted(maps.Keys(zones))
}

// evacuationTable holds the newest record of each evacuation's key, also of removed ones. The
// zero value is an empty table.
type evacuationTable struct {
	mu      sync.Mutex // guards the fields below
	known   evacuationState
	current evacuationVersion // of known
	zones   []string          // of known
	// incomplete is set if records that could not be read may be those of further keys.
	incomplete bool
}

// currentVersion returns the version of the table.
func (t *evacuationTable) currentVersion() evacuationVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// state returns a copy of what the table holds.
func (t *evacuationTable) state() *evacuationState {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.known
	state.Records = maps.Clone(t.known.Records)
	return &state
}

// evacuationSource is where records come from.
type evacuationSource struct {
	// next is the position up to which all records are among them, or were before.
	next logservice.Position
	// all is set if they are the newest of all keys, and unreadable if some of those can't be read.
	all, unreadable bool
	// peer is set if they are those of another member, and before is its evacuationState.Before.
	peer   bool
	before logservice.Position
}

// evacuationChange is what records changed.
type evacuationChange struct {
	zones []string // evacuated ones, if changed is set
	// changed is set if other zones are evacuated than before.
	changed bool
	// kept are the zones that stay evacuated although the records of a restored store do not
	// say so.
	kept []string
}

// merge applies the newest records by key.
func (t *evacuationTable) merge(records map[string]evacuationRecord, from evacuationSource) evacuationChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known.Records == nil {
		t.known.Records = map[string]evacuationRecord{}
	}
	var change evacuationChange
	for key, old := range t.known.Records {
		r, found := records[key]
		switch {
		case !found && old.Position >= from.next:
		case found && r.supersedes(old, from.before):
			t.known.Records[key] = r.raisedTo(old.Position)
		case found && (old.supersedes(r, t.known.Before) || !r.isNewerThan(old)):
			t.known.Records[key] = old.raisedTo(r.Position)
		case old.survivesRestore(r, found, from):
			// Other members take it as newer than the records of the copy.
			t.known.Records[key] = old.raisedTo(max(from.next.Preceding(2), r.Position))
			change.kept = append(change.kept, old.Zone)
		case found:
			t.known.Records[key] = r.raisedTo(old.Position)
		case from.showsRemoval(old):
			t.known.Records[key] = evacuationRecord{Zone: old.Zone, Position: from.next.Preceding(1)}
		}
		if position := old.Position; position.Epoch() < from.next.Epoch() {
			t.known.Before = max(t.known.Before, position)
		}
	}
	t.add(records, from)
	t.current = t.known.version()
	zones := t.known.zones()
	change.changed, change.zones = !slices.Equal(zones, t.zones), zones
	t.zones = zones
	return change
}

// add adds the records of keys that the table lacks. t.mu must be held.
func (t *evacuationTable) add(records map[string]evacuationRecord, from evacuationSource) {
	for key, r := range records {
		if _, found := t.known.Records[key]; found {
			continue
		}
		own := evacuationSource{next: t.known.Next, peer: true}
		switch {
		case !from.peer:
		case r.survivesRestore(evacuationRecord{}, false, own):
			r = r.raisedTo(own.next.Preceding(2))
		case own.showsRemoval(r):
			r.Evacuated, r.Position = false, own.next.Preceding(1)
		}
		t.known.Records[key] = r
	}
	if from.all {
		t.incomplete = from.unreadable
	}
	if from.peer || !t.incomplete {
		t.known.Next = max(t.known.Next, from.next)
	}
	t.known.Before = max(t.known.Before, from.before)
}

// showsRemoval reports whether the key of a record has been removed if the source has no record
// of it. A position that is none of a record is that of an evacuation that the present epoch of
// the store may never have had, so its absence there says nothing.
func (s evacuationSource) showsRemoval(r evacuationRecord) bool {
	if !r.Evacuated || !r.Position.IsRecord() || r.Position >= s.next || r.Position.Epoch() != s.next.Epoch() {
		return false
	}
	return s.all && !s.unreadable || s.peer
}

// survivesRestore reports whether the record, of an earlier epoch than the source, still holds
// against the source's record of its key, or against there being none. The copy from which the
// store was restored has the offsets of the epoch before, so a removal at a higher offset is
// later than the record. A member that knew the record decided that itself.
func (r evacuationRecord) survivesRestore(present evacuationRecord, found bool, from evacuationSource) bool {
	if !r.Evacuated || found && present.Evacuated || r.Position.Epoch() >= from.next.Epoch() {
		return false
	}
	if !found {
		return true
	}
	known := from.peer && from.before >= r.Position
	return !known && present.Position.Offset() <= r.Position.Offset()
}

// EvacuationsVersionAndHash returns the version of what this member knows of evacuated
// availability zones, zero if it knows no record of one, and a hash of those that are evacuated.
func (s *Syncer) EvacuationsVersionAndHash() (version int64, hash uint32) {
	v := s.evacuations.currentVersion()
	return int64(v.version), v.hash
}

// lacksEvacuations reports whether the member has newer records of evacuations, or others in the
// same version. The latter is so if they read a restored store at different times.
func (s *Syncer) lacksEvacuations(m cluster.LiveMember) bool {
	own, other := s.evacuations.currentVersion(), logservice.Position(m.EvacuationsVersion)
	return other > own.version || other == own.version && other > 0 && m.EvacuationsHash != own.hash
}

// comparesTooSoon reports whether all that the member has is other evacuations in the same version,
// and they were pulled for that reason just before.
func (s *Syncer) comparesTooSoon(m cluster.LiveMember) bool {
	lacksMore := m.Revision > s.Revision() || m.ServersVersion > s.ServersVersion() || s.differs(m) ||
		logservice.Position(m.EvacuationsVersion) > s.evacuations.currentVersion().version
	return !lacksMore && !s.evacuationComparison.due(time.Now())
}

// applyEvacuations applies the records of evacuations in a read of the configuration's stream.
func (s *Syncer) applyEvacuations(page configPage, source string) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	from := evacuationSource{next: page.Next}
	records := page.Records
	if page.newest != nil {
		records = page.newest.Records
		from = evacuationSource{next: page.newest.Next, all: true, unreadable: page.newest.Unreadable > 0}
	}
	s.mergeEvacuations(s.newestEvacuations(records), from, source)
}

// applyPeerEvacuations applies what another member knows of evacuations.
func (s *Syncer) applyPeerEvacuations(u *update, source string) {
	if u.Evacuations == nil {
		return
	}
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mergeEvacuations(u.Evacuations.Records, evacuationSource{next: u.Evacuations.Next, peer: true, before: u.Evacuations.Before}, source)
}

// newestEvacuations returns the newest record of each evacuation's key.
func (s *Syncer) newestEvacuations(records []logservice.KeyedRecord) map[string]evacuationRecord {
	newest := map[string]evacuationRecord{}
	sorted := slices.SortedFunc(slices.Values(records), func(a, b logservice.KeyedRecord) int {
		return cmp.Compare(a.Position, b.Position)
	})
	for _, r := range sorted {
		zone, ok := s.options.DecodeEvacuation(r.Key)
		switch {
		case !ok:
		case zone == "":
			s.count("evacuation_unreadable")
			s.options.Events.Warn("evacuation ignored", "key", r.Key, "position", r.Position.String())
		default:
			newest[r.Key] = evacuationRecord{Zone: zone, Evacuated: !r.IsTombstone(), Position: r.Position}
		}
	}
	return newest
}

// mergeEvacuations merges the records and reports changes. s.applyMu must be held.
func (s *Syncer) mergeEvacuations(records map[string]evacuationRecord, from evacuationSource, source string) {
	change := s.evacuations.merge(records, from)
	for _, zone := range change.kept {
		s.count("evacuation_kept")
		s.options.Events.Warn("evacuation missing in a restored store stays", "zone", zone, "source", source, "next", from.next.String())
	}
	if !change.changed {
		return
	}
	s.count("evacuations_applied")
	s.options.Events.Info("evacuated zones changed", "zones", change.zones, "source", source, "next", from.next.String())
	if s.options.OnEvacuations != nil {
		s.options.OnEvacuations(change.zones)
	}
}
