package storesync

import (
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// contactLost is the gap between two reads from which the store counts as
	// having been away: some reads in a row.
	contactLost = 1500 * time.Millisecond
	// lapseHold is how long after the store's return the record of a server that
	// did not say that it leaves may be missing: live servers are back in it
	// within two seconds.
	lapseHold = 1900 * time.Millisecond
)

// lapses holds back the removal of servers whose records ran out while the store
// was away.
type lapses struct {
	mu      sync.Mutex // guards the fields below
	until   time.Time  // removals that come before are held back until then
	removed []logservice.KeyedRecord
}

// returned notes that the store answers after a gap.
func (l *lapses) returned(now time.Time, gap time.Duration) {
	if gap < contactLost {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = now.Add(lapseHold)
}

// hold keeps the removal back and reports whether it did.
func (l *lapses) hold(now time.Time, r logservice.KeyedRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.until) {
		return false
	}
	l.removed = append(l.removed, r)
	return true
}

// due returns the removals whose time has come.
func (l *lapses) due(now time.Time) []logservice.KeyedRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.until) {
		return nil
	}
	due := l.removed
	l.removed = nil
	return due
}
