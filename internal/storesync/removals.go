package storesync

import (
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// outageThreshold is the gap between two successful reads above which the store
	// counts as having been unavailable. It spans several failed reads in a row.
	outageThreshold = 1500 * time.Millisecond
	// removalGrace is how long after the store's return the removal of a server that
	// was not leaving is deferred. Live servers register again within two seconds.
	removalGrace = 1900 * time.Millisecond
)

// deferredRemovals holds back the removal of servers whose registrations expired while
// the store was unavailable.
type deferredRemovals struct {
	mu        sync.Mutex // guards the fields below
	holdUntil time.Time  // removals before this time are held until then
	held      []logservice.KeyedRecord
}

// onStoreReturn starts the grace period if the gap since the last read was an outage.
func (d *deferredRemovals) onStoreReturn(now time.Time, gap time.Duration) {
	if gap < outageThreshold {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.holdUntil = now.Add(removalGrace)
}

// hold defers the removal during the grace period and reports whether it did.
func (d *deferredRemovals) hold(now time.Time, r logservice.KeyedRecord) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !now.Before(d.holdUntil) {
		return false
	}
	d.held = append(d.held, r)
	return true
}

// due returns the held removals, and drops them, once the grace period has ended.
func (d *deferredRemovals) due(now time.Time) []logservice.KeyedRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Before(d.holdUntil) {
		return nil
	}
	due := d.held
	d.held = nil
	return due
}
