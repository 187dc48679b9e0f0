package storesync

import (
	"sync"
	"time"

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
	usable bool  // the record describes a server to use
	change int64 // version of the table at which the row last changed
}

// serverTable holds the newest record of each backend server by key, also of removed
// ones. The zero value is an empty table.
type serverTable struct {
	mu      sync.Mutex // guards the fields below
	rows    map[string]*serverRow
	next    int64 // all records before this offset are applied
	version int64 // offset after the last record that changed anything
}

// decodeServer decodes a value of the store into a backend server.
type decodeServer func(key string, value []byte) (fleet.VM, error)

// apply applies a record if it is newer than the known one of its key, and reports
// whether anything else than the server's heartbeat has changed.
func (t *serverTable) apply(r logservice.KeyedRecord, decode decodeServer) (changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyLocked(r, decode)
}

func (t *serverTable) applyLocked(r logservice.KeyedRecord, decode decodeServer) (bool, error) {
	if t.rows == nil {
		t.rows = map[string]*serverRow{}
	}
	old := t.rows[r.Key]
	if old != nil && r.Offset <= old.record.Offset {
		return false, nil
	}
	next := &serverRow{record: r}
	var err error
	if !r.IsTombstone() {
		next.vm, err = decode(r.Key, r.Value)
		next.usable = err == nil
	}
	if old != nil && old.usable == next.usable && sameVM(old.vm, next.vm) {
		next.vm, next.change = old.vm, old.change
		t.rows[r.Key] = next
		return false, nil
	}
	if old == nil && !next.usable {
		next.change = t.version
		t.rows[r.Key] = next
		return false, err
	}
	t.version = max(t.version, r.Offset+1)
	next.change = t.version
	t.rows[r.Key] = next
	return true, err
}

// sameVM compares two servers. It ignores jitter in the end of the warm-up.
func sameVM(a, b fleet.VM) bool {
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

// since returns the records that changed after a version, and the table's version.
func (t *serverTable) since(version int64) ([]logservice.KeyedRecord, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []logservice.KeyedRecord
	for _, r := range t.rows {
		if r.change > version {
			records = append(records, r.record)
		}
	}
	return records, t.version
}

func (t *serverTable) versions() (version, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.next
}

// advance records that all records before next are applied.
func (t *serverTable) advance(next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
}

// adoptVersion raises the version to that of a peer whose changes were applied.
func (t *serverTable) adoptVersion(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, version)
}

// reset applies a complete page of the newest records. It returns a removal for each
// server that is missing from the page; these are not applied yet.
func (t *serverTable) reset(page logservice.KeyedPage, decode decodeServer) (changed bool, missing []logservice.KeyedRecord, errs []error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		present[r.Key] = true
		recordChanged, err := t.applyLocked(r, decode)
		changed = changed || recordChanged
		if err != nil {
			errs = append(errs, err)
		}
	}
	for key, r := range t.rows {
		if r.usable && !present[key] && r.record.Offset < page.Next {
			missing = append(missing, logservice.KeyedRecord{Key: key, Offset: page.Next - 1})
		}
	}
	t.next = max(t.next, page.Next)
	return changed, missing, errs
}

// isLive reports whether the key belongs to a server that accepts new requests.
func (t *serverTable) isLive(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[key]
	return r != nil && r.usable && r.vm.State == fleet.Live
}

// rebaseRemoval moves a deferred removal to the offset before next, so that other
// members take it as newer than their data. It returns false if the server has
// registered again since the removal.
func (t *serverTable) rebaseRemoval(removal logservice.KeyedRecord) (logservice.KeyedRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[removal.Key]
	if r == nil || r.record.Offset > removal.Offset {
		return removal, false
	}
	removal.Offset = max(removal.Offset, t.next-1)
	return removal, true
}
