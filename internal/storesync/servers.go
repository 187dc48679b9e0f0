package storesync

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// warmUpTolerance is the difference below which two end times of a warm-up count as
// equal. Servers report the end relative to their heartbeats, and the delay of those
// varies.
const warmUpTolerance = time.Second

// serverRow is the newest record of one backend server.
type serverRow struct {
	record logservice.KeyedRecord
	vm     fleet.VM
	usable bool // the record describes a server to use
	// incarnation and sequence are those of the last usable record, also after a removal.
	incarnation, sequence int64
	change                logservice.Position // version of the table at which the row last changed
	hash                  uint32              // see serverHash, zero if the row is not usable
}

// describesLater reports whether the VM's own numbers show that it wrote the record after
// the row's. A row that came as a removal has no numbers.
func (r *serverRow) describesLater(vm fleet.VM) bool {
	if r.incarnation == 0 && r.sequence == 0 {
		return false
	}
	if r.incarnation != vm.Incarnation {
		return vm.Incarnation > r.incarnation
	}
	return vm.Sequence > r.sequence
}

// serverTable holds the newest record of each backend server by key, also of removed
// ones. The zero value is an empty table.
type serverTable struct {
	mu   sync.Mutex // guards the fields below
	rows map[string]*serverRow
	next logservice.Position // all records before this position are applied
	// base is the position up to which the first read of all servers showed which there are.
	// Earlier removals are not known, so a member with an earlier version can't be told what
	// changed since, only what there is.
	base logservice.Position
	// version rises with each change. It is the position after the last record that changed
	// anything, or a little more.
	version logservice.Position
	// hash is the sum of the hashes of the rows. Members with the same version mostly have
	// the same servers; their hashes tell whether they do.
	hash uint32
}

// decodeServer decodes a value of the store into a backend server.
type decodeServer func(key string, value []byte) (fleet.VM, error)

// serverSource is where a record comes from. The zero value is the store.
type serverSource struct {
	// peer is set if another member sent it, version is that member's version then.
	peer    bool
	version logservice.Position
	// first is set if no server was known before.
	first bool
}

// apply applies a record if it is newer than the known one of its key, and reports
// whether anything else than the server's heartbeat has changed.
func (t *serverTable) apply(r logservice.KeyedRecord, from serverSource, decode decodeServer) (changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyLocked(r, from, decode)
}

func (t *serverTable) applyLocked(r logservice.KeyedRecord, from serverSource, decode decodeServer) (bool, error) {
	if t.rows == nil {
		t.rows = map[string]*serverRow{}
	}
	old := t.rows[r.Key]
	if old != nil && (r.Position <= old.record.Position || from.peer && old.contradicts(r, decode)) {
		return false, nil
	}
	next := &serverRow{record: r}
	if old != nil {
		next.incarnation, next.sequence = old.incarnation, old.sequence
	}
	var err error
	if !r.IsTombstone() {
		next.vm, err = decode(r.Key, r.Value)
		next.usable = err == nil
	}
	if next.usable {
		next.incarnation, next.sequence = next.vm.Incarnation, next.vm.Sequence
		next.vm = next.knownWarmUp(old, from)
	}
	t.rows[r.Key] = next
	if old != nil {
		t.hash -= old.hash
	}
	if next.usable {
		next.hash = serverHash(next.vm)
		t.hash += next.hash
	}
	if old != nil && old.usable == next.usable && sameVM(old.vm, next.vm) {
		next.vm, next.change = old.vm, old.change
		// Other members may know less of the epoch before, or may have deferred a record of
		// the present one, so they need this record although it changes nothing here.
		if position := old.record.Position; position.Epoch() < r.Position.Epoch() || !position.IsRecord() {
			next.change = t.raiseVersion(r.Position, from)
		}
		return false, nil
	}
	if old == nil && !next.usable {
		next.change = t.version
		return false, err
	}
	next.change = t.raiseVersion(r.Position, from)
	return true, err
}

// raiseVersion raises the version for a change by the record at the position, and returns it.
func (t *serverTable) raiseVersion(position logservice.Position, from serverSource) logservice.Position {
	switch {
	case from.peer:
		t.version = max(t.version, from.version)
	default:
		t.version = max(t.version+1, position.Next())
	}
	return t.version
}

// sameVM compares two servers. It ignores jitter in the end of the warm-up and the number
// of the record.
func sameVM(a, b fleet.VM) bool {
	b.Sequence = a.Sequence
	drift := time.Duration(a.WarmUntil-b.WarmUntil) * time.Millisecond
	if a.WarmUntil != 0 && b.WarmUntil != 0 && drift.Abs() < warmUpTolerance {
		b.WarmUntil = a.WarmUntil
	}
	return a == b
}

// servers returns the usable servers.
func (t *serverTable) servers() []fleet.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []fleet.VM
	for _, r := range t.rows {
		if r.usable {
			vms = append(vms, r.vm)
		}
	}
	return vms
}

// recordNumbers are the numbers by which a VM orders the records about itself.
type recordNumbers struct{ Incarnation, Sequence int64 }

// removedNumbers returns the last numbers of the servers among the records that are removed.
func (t *serverTable) removedNumbers(records []logservice.KeyedRecord) map[string]recordNumbers {
	t.mu.Lock()
	defer t.mu.Unlock()
	numbers := map[string]recordNumbers{}
	for _, r := range records {
		if row := t.rows[r.Key]; r.IsTombstone() && row != nil {
			numbers[r.Key] = recordNumbers{row.incarnation, row.sequence}
		}
	}
	return numbers
}

// adoptNumbers adopts the numbers of removed servers, where this member has none.
func (t *serverTable) adoptNumbers(numbers map[string]recordNumbers) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, n := range numbers {
		if r := t.rows[key]; r != nil && r.incarnation == 0 && r.sequence == 0 {
			r.incarnation, r.sequence = n.Incarnation, n.Sequence
		}
	}
}

// serverChanges are the records that changed after a version, and the version that they lead
// to. If complete is set, they are all records, and any server without one whose record is
// before that position has been removed.
type serverChanges struct {
	records           []logservice.KeyedRecord
	version, complete logservice.Position
}

// since returns the changes after a version.
func (t *serverTable) since(version logservice.Position) serverChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := serverChanges{version: t.version}
	if version < t.base {
		changes.complete = t.base
	}
	for _, r := range t.rows {
		if r.change > version || changes.complete > 0 {
			changes.records = append(changes.records, r.record)
		}
	}
	return changes
}

// absent returns removals of the servers that are not among all records of a peer although
// it read the store after their records. Records of an earlier epoch may be missing in the
// copy from which the store was restored, so they say nothing.
func (t *serverTable) absent(records []logservice.KeyedRecord, complete logservice.Position) []logservice.KeyedRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
	}
	var removals []logservice.KeyedRecord
	for key, r := range t.rows {
		position := r.record.Position
		if r.usable && !present[key] && position < complete && position.Epoch() == complete.Epoch() {
			removals = append(removals, logservice.KeyedRecord{Key: key, Position: complete.Preceding(1)})
		}
	}
	return removals
}

// versionAndHash returns the version and the hash that belongs to it.
func (t *serverTable) versionAndHash() (logservice.Position, uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.hash
}

func (t *serverTable) versions() (version, next logservice.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.next
}

// advance records that all records before next are applied.
func (t *serverTable) advance(next logservice.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
}

// advanceFromPeer sets the position to continue reading from to that of a peer, if this
// member has not read the store itself. One that has must go on from its own position: the
// peer's data may lack removals before its position, and after a restore of the store this
// member has to compare what it knows with all servers.
func (t *serverTable) advanceFromPeer(next logservice.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == 0 {
		t.next, t.base = next, next
	}
}

// adoptVersion raises the version to that of a peer whose changes were applied.
func (t *serverTable) adoptVersion(version logservice.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, version)
}

// resetResult is what a complete page of the newest records changed.
type resetResult struct {
	changed bool
	// restored is set if the page is of a later epoch of the store than what was read before.
	restored bool
	// missing are removals of the servers that are not in the page, and contradicted the
	// records of a restored store against which a later one was kept. They are not applied
	// yet.
	missing, contradicted []logservice.KeyedRecord
	errs                  []error
}

// reset applies a complete page of the newest records.
func (t *serverTable) reset(page logservice.KeyedPage, decode decodeServer) resetResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == 0 {
		t.base = page.Next
	}
	known := t.version > 0
	result := resetResult{restored: t.next > 0 && page.Next.Epoch() > t.next.Epoch()}
	records := slices.SortedFunc(slices.Values(page.Records), func(a, b logservice.KeyedRecord) int {
		return cmp.Compare(a.Position, b.Position)
	})
	present := make(map[string]bool, len(records))
	for _, r := range records {
		present[r.Key] = true
		if old := t.rows[r.Key]; old != nil && old.contradicts(r, decode) {
			result.contradicted = append(result.contradicted, r)
			continue
		}
		recordChanged, err := t.applyLocked(r, serverSource{first: !known}, decode)
		result.changed = result.changed || recordChanged
		if err != nil {
			result.errs = append(result.errs, err)
		}
	}
	t.keep(result.contradicted, page.Next)
	for key, r := range t.rows {
		if r.usable && !present[key] && r.record.Position < page.Next {
			result.missing = append(result.missing, logservice.KeyedRecord{Key: key, Position: page.Next.Preceding(1)})
		}
	}
	t.next = max(t.next, page.Next)
	return result
}

// contradicts reports whether the row, read in an earlier epoch of the store, is later than
// a record of the present one that differs. The copy from which the store was restored has
// the offsets of the earlier epoch, so a record at a higher offset is later than the row. One
// at a lower offset is most likely of the copy; it is later only if the server's own numbers
// say so. A removal is never of the copy, as members read only its newest records, nor is
// what another member concluded from them.
func (r *serverRow) contradicts(present logservice.KeyedRecord, decode decodeServer) bool {
	position := r.record.Position
	switch {
	case position.Epoch() >= present.Position.Epoch(),
		present.Position.Offset() > position.Offset(),
		present.IsTombstone(),
		!present.Position.IsRecord():
		return false
	}
	vm, err := decode(present.Key, present.Value)
	usable := err == nil
	if usable == r.usable && sameVM(r.vm, vm) {
		return false
	}
	return !usable || !r.describesLater(vm)
}

// keep moves the rows that contradict the records behind all records before next, so that
// other members take them as newer, and moves the records there to be applied later.
func (t *serverTable) keep(contradicted []logservice.KeyedRecord, next logservice.Position) {
	if len(contradicted) == 0 {
		return
	}
	t.version = max(t.version+1, next)
	for i := range contradicted {
		r := t.rows[contradicted[i].Key]
		r.record.Position, r.change = next.Preceding(2), t.version
		contradicted[i].Position = next.Preceding(2)
	}
}

// serverHash hashes what members need to agree on about a server.
func serverHash(vm fleet.VM) uint32 {
	h := xxhash.New()
	for _, text := range []string{vm.Name, vm.Address, vm.Zone, vm.Service, string(vm.State), strconv.FormatInt(vm.Incarnation, 10), strconv.Itoa(vm.Slots)} {
		// A hash does not fail to write.
		_, _ = h.WriteString(text)
		_, _ = h.WriteString("\x00")
	}
	return uint32(h.Sum64())
}

// isLive reports whether the key belongs to a server that accepts new requests.
func (t *serverTable) isLive(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[key]
	return r != nil && r.usable && r.vm.State == fleet.Live
}

// rebase moves a deferred record before next, so that other members take it as newer than
// their data. It returns false if there has been a newer record of the server since.
func (t *serverTable) rebase(deferred logservice.KeyedRecord) (logservice.KeyedRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[deferred.Key]
	if r == nil || r.record.Position > deferred.Position {
		return deferred, false
	}
	deferred.Position = max(deferred.Position, t.next.Preceding(1))
	return deferred, true
}
