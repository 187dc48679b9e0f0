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
	// snapshotCheckInterval is the time between checks whether a snapshot is due.
	snapshotCheckInterval = 10 * time.Second
	// maxSnapshotAge is the age of the newest snapshot at which another is due,
	// even if nothing has changed, as snapshots expire too.
	maxSnapshotAge = 30 * time.Minute
	// maxRecordsSinceSnapshot is the number of records since the newest snapshot at
	// which another is due.
	maxRecordsSinceSnapshot = 500
	// snapshotStagger is how much longer each further entry waits before it appends
	// a due snapshot, so that usually only one entry does.
	snapshotStagger = 20 * time.Second
)

// snapshotTracker tracks the newest known snapshot and when another one is due.
type snapshotTracker struct {
	mu           sync.Mutex // guards the fields below
	streamOffset int64      // offset of the newest snapshot in the snapshots stream, -1 for none
	seenAt       time.Time  // when that snapshot became known
	configOffset int64      // applied offset of the config stream at that time
	dueSince     time.Time  // since when another has been due; zero if it is not
}

func newSnapshotTracker(now time.Time) snapshotTracker {
	return snapshotTracker{streamOffset: -1, seenAt: now, configOffset: -1}
}

func (t *snapshotTracker) newest() (streamOffset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.streamOffset
}

func (t *snapshotTracker) observe(streamOffset, configOffset int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if streamOffset > t.streamOffset {
		t.streamOffset, t.seenAt, t.configOffset, t.dueSince = streamOffset, time.Now(), configOffset, time.Time{}
	}
}

// isDue reports whether another snapshot has been due for at least the delay.
func (t *snapshotTracker) isDue(now time.Time, configOffset int64, delay time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.seenAt) < maxSnapshotAge && configOffset-t.configOffset < maxRecordsSinceSnapshot {
		return false
	}
	if t.dueSince.IsZero() {
		t.dueSince = now
	}
	return now.Sub(t.dueSince) >= delay
}

// Offsets returns the applied offset of the config stream and the offset of the
// newest known snapshot in the snapshots stream; -1 means none.
func (f *Follower) Offsets() (offset, snapshot int64) {
	return f.Current().Offset(), f.snapshots.newest()
}

// ObserveSnapshot records that the snapshots stream has a snapshot at that offset.
func (f *Follower) ObserveSnapshot(streamOffset int64) {
	f.snapshots.observe(streamOffset, f.Current().Offset())
}

// appendSnapshots appends a snapshot whenever one is due, until the context ends.
func (f *Follower) appendSnapshots(ctx context.Context) {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.appendSnapshotIfDue(ctx)
		}
	}
}

// appendSnapshotIfDue appends a snapshot if one is due. It doesn't while the log is
// unreachable, or after a record of a newer version was skipped, as the snapshot
// would lack that record.
func (f *Follower) appendSnapshotIfDue(ctx context.Context) {
	state := f.Current()
	if state.Offset() < 0 || !f.reachable.Load() || f.hasSkippedRecords() {
		return
	}
	position := f.opts.Position(fmt.Sprint("snapshot-", f.snapshots.newest()))
	if !f.snapshots.isDue(time.Now(), state.Offset(), time.Duration(position)*snapshotStagger) {
		return
	}
	data, err := json.Marshal(state)
	if err != nil {
		f.opts.Logger.Error("cannot encode snapshot", "error", err)
		return
	}
	streamOffset, err := f.opts.Log.Append(ctx, logservice.StreamSnapshots, data)
	if err != nil {
		f.opts.Logger.Warn("cannot append snapshot", "error", err)
		return
	}
	f.snapshots.observe(streamOffset, state.Offset())
	f.opts.Scope.Counter("config_snapshots").Inc(1)
	f.opts.Logger.Info("snapshot appended", "offset", state.Offset(), "bytes", len(data))
}

func (f *Follower) hasSkippedRecords() bool {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	return f.skippedRecords
}

// installNewestSnapshot reads the snapshots that were not read before, installs the
// newest and reports whether it was newer than the current state.
func (f *Follower) installNewestSnapshot(ctx context.Context) bool {
	var newest *statemachine.State
	for {
		from := f.snapshotsNext
		page, err := f.opts.Log.Read(ctx, logservice.StreamSnapshots, from, 0)
		var expired *logservice.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > from {
			f.snapshotsNext = expired.Oldest
			continue
		}
		if err != nil {
			f.opts.Logger.Warn("cannot read snapshots", "error", err)
			break
		}
		newest = f.newestState(page, newest)
		if page.Next <= from {
			break
		}
		f.snapshotsNext = page.Next
	}
	return newest != nil && f.installState(newest, "snapshot")
}

// newestState returns the state of the highest offset among newest and the
// snapshots of a page. It skips snapshots that cannot be restored.
func (f *Follower) newestState(page logservice.Page, newest *statemachine.State) *statemachine.State {
	for _, r := range page.Records {
		state, err := statemachine.Restore(r.Data)
		if err != nil {
			f.opts.Scope.Counter("config_snapshots_damaged").Inc(1)
			f.opts.Logger.Error("snapshot passed over", "place", r.Offset, "error", err)
			continue
		}
		f.snapshots.observe(r.Offset, state.Offset())
		if newest == nil || state.Offset() > newest.Offset() {
			newest = state
		}
	}
	return newest
}
