// Package quarantine stops requests that end the backend servers that run them (queries of
// death) from ending one server after another.
//
// A request is known by its content, over all entries and callers. Each time a server ends
// while it runs a request, that is evidence against the request; all requests that ran there are
// suspects. The entries share their evidence. A request under which several servers have ended
// is held: the entries refuse it at once, as not run. After a while one entry may send it once
// more, alone, as a newer version of the servers may handle it; the time doubles and more with
// each server that ends. A run that ends with a response clears the request.
//
// Lock order: Guard, then Table. No other lock is taken under either, and neither is held while
// a goroutine waits.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

const (
	// heldAfter is the number of servers that a request may end before it is held.
	heldAfter = 2
	// simultaneous is the time within which the ends of several servers count as one: they
	// have a common cause then, and a request that ran on all of them is no more suspect
	// than one that ran on one.
	simultaneous = 20 * time.Millisecond
	// evidenceLifetime is how long the end of a server counts against a request that is held,
	// and suspicionLifetime how long against one that is not.
	evidenceLifetime  = 24 * time.Hour
	suspicionLifetime = 10 * time.Minute
	// trialTimeout is how long the request of a trial may take. The next trial may begin then
	// even if the end of this one was not reported.
	trialTimeout = 30 * time.Second
	// trialPause is the time between two trials of which the first one told nothing, or not
	// yet: whether the server has ended may be found out later than the end of the request.
	trialPause = 5 * time.Second
	// otherEntryRetryAfter is the Retry-After of an entry at which a held request may not be
	// tried now although its hold is over.
	otherEntryRetryAfter = 5 * time.Second
	// maxRecords bounds the requests that are remembered. The least suspect are forgotten first.
	maxRecords = 1024
	// maxServers bounds the servers that are remembered for a request.
	maxServers = 8
)

// holds are the times for which a request is held from the end of the last server, by the
// number of servers from heldAfter on. The last one holds for all further numbers.
var holds = []time.Duration{5 * time.Second, time.Minute, 10 * time.Minute, evidenceLifetime}

// Evidence is the end of a server while it ran a request, or if Cleared is set the end of a run
// of the request with a response.
type Evidence struct {
	// Request is the request.
	Request cluster.RequestID
	// Server is the server that ended, zero if Cleared is set.
	Server  cluster.ServerID
	Cleared bool
	// At is when the server ended, or the response arrived.
	At time.Time
}

// Verdict is whether a request may be sent to a server.
type Verdict struct {
	// Crashes is how many servers have ended under the request, those at the same moment
	// counted as one.
	Crashes int
	// Held is set if the request must not be sent; RetryAfter is when it may be again.
	Held       bool
	RetryAfter time.Duration
	// Trial is set if the request is held and may be sent by this entry, once.
	Trial bool
}

// Table holds the evidence against requests. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex // guards the fields below
	records map[cluster.RequestID]*record
	heads   map[uint32]int // number of records by the head of their request
}

// record is the evidence against one request.
type record struct {
	ended     map[cluster.ServerID]time.Time // when a server ended under the request
	clearedAt time.Time                      // evidence until then is void
	trialEnds time.Time                      // end of the trial in progress at this entry
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[cluster.RequestID]*record{}, heads: map[uint32]int{}}
}

// MayKnow reports whether there may be evidence against a request with that head. Most requests
// need not be hashed whole.
func (t *Table) MayKnow(head uint32) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heads[head] > 0
}

// Add adds evidence and reports whether it was new.
func (t *Table) Add(e Evidence, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[e.Request]
	if r != nil && r.expired(now) {
		t.forget(e.Request)
		r = nil
	}
	if e.Cleared {
		if r == nil || !e.At.After(r.clearedAt) || !r.hasEvidenceUntil(e.At) {
			return false
		}
		r.clear(e.At)
		return true
	}
	if r != nil {
		_, known := r.ended[e.Server]
		if known || !e.At.After(r.clearedAt) || len(r.ended) >= maxServers {
			return false
		}
	} else {
		t.makeRoom(now)
		r = &record{ended: map[cluster.ServerID]time.Time{}}
		t.records[e.Request] = r
		t.heads[e.Request.Head]++
	}
	r.ended[e.Server] = e.At
	r.trialEnds = time.Time{}
	return true
}

// Judge returns the verdict on a request. mayTry is set if this is the entry that tries the
// request once its hold is over; a trial begins with the verdict.
func (t *Table) Judge(id cluster.RequestID, mayTry bool, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || r.expired(now) {
		return Verdict{}
	}
	v := Verdict{Crashes: r.crashes()}
	if v.Crashes < heldAfter {
		return v
	}
	left := r.last().Add(holdOf(v.Crashes)).Sub(now)
	switch {
	case left > 0:
		v.Held, v.RetryAfter = true, left
	case !mayTry || now.Before(r.trialEnds):
		v.Held, v.RetryAfter = true, otherEntryRetryAfter
	default:
		v.Trial = true
		r.trialEnds = now.Add(trialTimeout)
	}
	return v
}

// EndTrial ends the trial of a request.
func (t *Table) EndTrial(id cluster.RequestID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil && now.Before(r.trialEnds) {
		r.trialEnds = now.Add(trialPause)
	}
}

// Crashes returns how many servers have ended under a request.
func (t *Table) Crashes(id cluster.RequestID, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.records[id]; r != nil && !r.expired(now) {
		return r.crashes()
	}
	return 0
}

// CrashesBeside returns how many servers other than that one have ended under a request.
func (t *Table) CrashesBeside(id cluster.RequestID, server cluster.ServerID, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[id]
	if r == nil || r.expired(now) {
		return 0
	}
	if _, ended := r.ended[server]; ended {
		return len(r.ended) - 1
	}
	return len(r.ended)
}

// Held returns the evidence against all requests that are held, the newest first.
func (t *Table) Held(now time.Time) []Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	var held []Evidence
	for id, r := range t.records {
		if r.expired(now) || r.crashes() < heldAfter {
			continue
		}
		for server, at := range r.ended {
			held = append(held, Evidence{Request: id, Server: server, At: at})
		}
	}
	slices.SortFunc(held, func(a, b Evidence) int { return b.At.Compare(a.At) })
	return held
}

// Len returns the number of requests that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// makeRoom forgets expired records, and the least suspect one if the table is full. t.mu must
// be held.
func (t *Table) makeRoom(now time.Time) {
	if len(t.records) < maxRecords {
		return
	}
	var least cluster.RequestID
	var leastRecord *record
	for id, r := range t.records {
		if r.expired(now) {
			t.forget(id)
			continue
		}
		if leastRecord == nil || r.compare(leastRecord) < 0 {
			least, leastRecord = id, r
		}
	}
	if len(t.records) >= maxRecords {
		t.forget(least)
	}
}

func (t *Table) forget(id cluster.RequestID) {
	delete(t.records, id)
	if t.heads[id.Head]--; t.heads[id.Head] == 0 {
		delete(t.heads, id.Head)
	}
}

func holdOf(crashes int) time.Duration { return holds[min(crashes-heldAfter, len(holds)-1)] }

// compare orders records by how suspect their requests are.
func (r *record) compare(other *record) int {
	return cmp.Or(cmp.Compare(r.crashes(), other.crashes()), r.last().Compare(other.last()))
}

// crashes returns the number of servers that ended, those at the same moment counted as one.
func (r *record) crashes() int {
	times := slices.SortedFunc(maps.Values(r.ended), time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range times {
		if count == 0 || at.Sub(last) > simultaneous {
			count++
		}
		last = at
	}
	return count
}

// last returns when the last server ended, or the record was cleared.
func (r *record) last() time.Time {
	last := r.clearedAt
	for _, at := range r.ended {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func (r *record) expired(now time.Time) bool {
	lifetime := suspicionLifetime
	if r.crashes() >= heldAfter {
		lifetime = evidenceLifetime
	}
	return now.Sub(r.last()) >= lifetime
}

func (r *record) hasEvidenceUntil(at time.Time) bool {
	for _, ended := range r.ended {
		if !ended.After(at) {
			return true
		}
	}
	return false
}

// clear drops the evidence until that time. The record stays, so that evidence that is still on
// its way from other entries does not count.
func (r *record) clear(at time.Time) {
	r.clearedAt = at
	maps.DeleteFunc(r.ended, func(_ cluster.ServerID, ended time.Time) bool { return !ended.After(at) })
	r.trialEnds = time.Time{}
}
