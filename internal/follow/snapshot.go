package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

const (
	// snapshotCheck is the time between two looks at whether a snapshot is due.
	snapshotCheck = 10 * time.Second
	// snapshotAge is the age at which a snapshot is followed by another, changed
	// or not, as snapshots expire too.
	snapshotAge = 30 * time.Minute
	// snapshotRecords is the number of records after which another is due.
	snapshotRecords = 500
	// snapshotDelay is how much longer each further entry waits, so that mostly
	// one entry appends.
	snapshotDelay = 20 * time.Second
)

// snapshotMark is what is known of the newest snapshot.
type snapshotMark struct {
	mu     sync.Mutex // guards the fields below
	place  int64      // offset in the snapshots stream, -1 for none
	since  time.Time  // when it was heard of
	offset int64      // own applied offset then
	due    time.Time  // when another was found to be due; zero before
}

func newSnapshotMark(now time.Time) snapshotMark {
	return snapshotMark{place: -1, since: now, offset: -1}
}

func (m *snapshotMark) get() (place int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.place
}

func (m *snapshotMark) set(place, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if place > m.place {
		m.place, m.since, m.offset, m.due = place, time.Now(), offset, time.Time{}
	}
}

// isDue reports whether another snapshot has been due for that long.
func (m *snapshotMark) isDue(now time.Time, offset int64, delay time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.since) < snapshotAge && offset-m.offset < snapshotRecords {
		return false
	}
	if m.due.IsZero() {
		m.due = now
	}
	return now.Sub(m.due) >= delay
}

// Position returns the applied offset of the config stream and the place of the
// newest known snapshot in its stream; -1 stands for none.
func (f *Follower) Position() (offset, snapshot int64) {
	return f.Current().Offset(), f.snapshots.get()
}

// ObserveSnapshot tells that the snapshots stream has a snapshot at that place.
func (f *Follower) ObserveSnapshot(place int64) {
	f.snapshots.set(place, f.Current().Offset())
}

// keepSnapshots appends a snapshot when one is due, until the context ends.
func (f *Follower) keepSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.snapshotIfDue(ctx)
		}
	}
}

func (f *Follower) snapshotIfDue(ctx context.Context) {
	state := f.Current()
	if state.Offset() < 0 || !f.reachable.Load() || f.isPartial() {
		return
	}
	order := f.opts.Position(fmt.Sprint("snapshot-", f.snapshots.get()))
	if !f.snapshots.isDue(time.Now(), state.Offset(), time.Duration(order)*snapshotDelay) {
		return
	}
	data, err := json.Marshal(state)
	if err != nil {
		f.opts.Logger.Error("snapshot not made", "error", err)
		return
	}
	place, err := f.opts.Log.Append(ctx, logservice.StreamSnapshots, data)
	if err != nil {
		f.opts.Logger.Warn("snapshot not appended", "error", err)
		return
	}
	f.snapshots.set(place, state.Offset())
	f.opts.Scope.Counter("config_snapshots").Inc(1)
	f.opts.Logger.Info("snapshot appended", "offset", state.Offset(), "bytes", len(data))
}

func (f *Follower) isPartial() bool {
	f.advance.Lock()
	defer f.advance.Unlock()
	return f.partial
}

// readSnapshots takes the newest snapshot of the log and reports whether it is
// newer than the current state. Snapshots that were read before are not read again.
func (f *Follower) readSnapshots(ctx context.Context) bool {
	var newest *statemachine.State
	for {
		from := f.snapshotsRead
		page, err := f.opts.Log.Read(ctx, logservice.StreamSnapshots, from, 0)
		var expired *logservice.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > from {
			f.snapshotsRead = expired.Oldest
			continue
		}
		if err != nil {
			f.opts.Logger.Warn("snapshots not read", "error", err)
			break
		}
		newest = f.newestOf(page, newest)
		if page.Next <= from {
			break
		}
		f.snapshotsRead = page.Next
	}
	return newest != nil && f.takeState(newest, "snapshot")
}

// newestOf returns the state with the highest offset of a page and one before.
func (f *Follower) newestOf(page logservice.Page, newest *statemachine.State) *statemachine.State {
	for _, r := range page.Records {
		state, err := statemachine.Restore(r.Data)
		if err != nil {
			f.opts.Scope.Counter("config_snapshots_damaged").Inc(1)
			f.opts.Logger.Error("snapshot passed over", "place", r.Offset, "error", err)
			continue
		}
		f.snapshots.set(r.Offset, state.Offset())
		if newest == nil || state.Offset() > newest.Offset() {
			newest = state
		}
	}
	return newest
}
