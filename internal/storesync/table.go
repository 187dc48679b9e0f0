package storesync

import (
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// warmSlack is the change of the end of a warm-up that is no news: it is told
// relative to a heartbeat, whose way takes some time.
const warmSlack = time.Second

// row is the newest record of one backend server.
type row struct {
	record logservice.KeyedRecord
	vm     fleet.VM
	named  bool  // the record names a server to use
	change int64 // version of the table at which the row changed last
}

// table is the backend servers by key. The zero table is empty.
type table struct {
	mu      sync.Mutex // guards the fields below
	rows    map[string]*row
	next    int64 // every record before it is applied
	version int64 // offset after the last record that changed anything
}

// decodeServer turns a value of the store into a backend server.
type decodeServer func(key string, value []byte) (fleet.VM, error)

// apply takes in a record that is newer than what is known of its key, and
// reports whether anything but its heartbeat has changed.
func (t *table) apply(r logservice.KeyedRecord, decode decodeServer) (changed bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.applyLocked(r, decode)
}

func (t *table) applyLocked(r logservice.KeyedRecord, decode decodeServer) (bool, error) {
	if t.rows == nil {
		t.rows = map[string]*row{}
	}
	old := t.rows[r.Key]
	if old != nil && r.Offset <= old.record.Offset {
		return false, nil
	}
	next := &row{record: r}
	var err error
	if !r.IsTombstone() {
		next.vm, err = decode(r.Key, r.Value)
		next.named = err == nil
	}
	if old != nil && old.named == next.named && sameVM(old.vm, next.vm) {
		next.vm, next.change = old.vm, old.change
		t.rows[r.Key] = next
		return false, nil
	}
	if old == nil && !next.named {
		next.change = t.version
		t.rows[r.Key] = next
		return false, err
	}
	t.version = max(t.version, r.Offset+1)
	next.change = t.version
	t.rows[r.Key] = next
	return true, err
}

// sameVM compares all but the jitter of the warm-up.
func sameVM(a, b fleet.VM) bool {
	drift := time.Duration(a.WarmUntil-b.WarmUntil) * time.Millisecond
	if a.WarmUntil != 0 && b.WarmUntil != 0 && drift.Abs() < warmSlack {
		b.WarmUntil = a.WarmUntil
	}
	return a == b
}

// servers are those to use.
func (t *table) servers() []fleet.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	var vms []fleet.VM
	for _, r := range t.rows {
		if r.named {
			vms = append(vms, r.vm)
		}
	}
	return vms
}

// since returns the records that changed after a version.
func (t *table) since(version int64) ([]logservice.KeyedRecord, int64) {
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

func (t *table) versions() (version, next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version, t.next
}

// advance notes that all records before next are applied.
func (t *table) advance(next int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.next = max(t.next, next)
}

// adopt notes the version of a peer whose changes were applied.
func (t *table) adopt(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = max(t.version, version)
}

// reset takes in a whole newest state. It returns a record for each server that
// the state lacks; they are not applied yet.
func (t *table) reset(page logservice.KeyedPage, decode decodeServer) (changed bool, missing []logservice.KeyedRecord, errs []error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	present := make(map[string]bool, len(page.Records))
	for _, r := range page.Records {
		present[r.Key] = true
		c, err := t.applyLocked(r, decode)
		changed = changed || c
		if err != nil {
			errs = append(errs, err)
		}
	}
	for key, r := range t.rows {
		if r.named && !present[key] && r.record.Offset < page.Next {
			missing = append(missing, logservice.KeyedRecord{Key: key, Offset: page.Next - 1})
		}
	}
	t.next = max(t.next, page.Next)
	return changed, missing, errs
}

// live reports whether the key names a server that takes new work.
func (t *table) live(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[key]
	return r != nil && r.named && r.vm.State == fleet.Live
}

// current returns the removal as one of the present: at the offset before next,
// so that its version is newer than what other members have. It is false where
// the server has registered anew since the removal.
func (t *table) current(removal logservice.KeyedRecord) (logservice.KeyedRecord, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rows[removal.Key]
	if r == nil || r.record.Offset > removal.Offset {
		return removal, false
	}
	removal.Offset = max(removal.Offset, t.next-1)
	return removal, true
}
