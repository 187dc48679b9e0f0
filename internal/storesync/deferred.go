package storesync

import (
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// removalGrace is how long after the store's return the removal of a server that
	// was not leaving is deferred. Live servers register again within two seconds.
	removalGrace = 1900 * time.Millisecond
	// revivalGrace is how long after the store was restored from a copy a record of the
	// copy is deferred that contradicts a later one of the epoch before. A server that still
	// runs writes again what the copy lacks, and the store removes one that has been silent
	// for three heartbeats of 1.5 s, so a record that stands until then is true.
	revivalGrace = 6 * time.Second
)

// deferredRecord is a record that is applied at a time, unless a newer one of its key comes
// first.
type deferredRecord struct {
	logservice.KeyedRecord
	at time.Time
}

// deferredRecords holds back the removal of servers whose registrations expired while the
// store was unavailable, and what a restored store says against later records.
type deferredRecords struct {
	mu        sync.Mutex // guards the fields below
	holdUntil time.Time  // removals before this time are held until then
	held      []deferredRecord
}

// onStoreReturn starts the grace period: the store is back, or was restored from a copy.
func (d *deferredRecords) onStoreReturn(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holdUntil = now.Add(removalGrace)
}

// holdRemoval defers the removal during the grace period and reports whether it did.
func (d *deferredRecords) holdRemoval(now time.Time, r logservice.KeyedRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.holdUntil) {
		return false
	}
	d.held = append(d.held, deferredRecord{r, d.holdUntil})
	return true
}

// hold defers a record until that time.
func (d *deferredRecords) hold(r logservice.KeyedRecord, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = append(d.held, deferredRecord{r, until})
}

// due returns the held records whose time has come, and drops them.
func (d *deferredRecords) due(now time.Time) []logservice.KeyedRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []logservice.KeyedRecord
	rest := d.held[:0]
	for _, r := range d.held {
		if now.Before(r.at) {
			rest = append(rest, r)
		} else {
			due = append(due, r.KeyedRecord)
		}
	}
	d.held = rest
	return due
}

// pending reports whether any record is held.
func (d *deferredRecords) pending() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.held) > 0
}
