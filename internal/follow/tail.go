package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

const (
	// pollWait is the long-poll time of one read.
	pollWait = 5 * time.Second
	// minBackoff and maxBackoff bound the time between retries of a failed read.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// followLog applies the records of the log until the context ends.
func (f *Follower) followLog(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.readPage(ctx) {
			backoff = minBackoff
			continue
		}
		pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readPage reads one page and reports whether it advanced the state or the wait
// ended without new records.
func (f *Follower) readPage(ctx context.Context) bool {
	from := f.Current().Offset() + 1
	page, err := f.opts.Log.Read(ctx, logservice.StreamConfig, from, f.waitTime())
	if ctx.Err() != nil {
		return false
	}
	var expired *logservice.ExpiredError
	if errors.As(err, &expired) {
		f.markReachable()
		return f.recoverFromSnapshot(ctx, expired.Oldest)
	}
	if err != nil {
		f.markUnreachable(err)
		return false
	}
	f.markReachable()
	if len(page.Records) == 0 {
		return true
	}
	return f.applyPage(from, page)
}

// waitTime returns the long-poll time of the next read. Reads don't wait while the
// log is unreachable, to notice quickly that it responds again.
func (f *Follower) waitTime() time.Duration {
	if !f.reachable.Load() {
		return 0
	}
	return pollWait
}

// applyPage applies a page, whose records may be duplicated or out of order. It
// reports false if the page starts after a gap, so that it is read again.
func (f *Follower) applyPage(from int64, page logservice.Page) bool {
	records := slices.Clone(page.Records)
	slices.SortFunc(records, func(a, b logservice.Record) int { return int(a.Offset - b.Offset) })
	if f.applyRecords(records) > 0 || f.Current().Offset() >= from {
		return true
	}
	f.opts.Scope.Counter("config_gaps").Inc(1)
	f.opts.Logger.Warn("page of the log has a gap; reading it again", "from", from)
	return false
}

// markReachable records that the log responded.
func (f *Follower) markReachable() {
	f.lastContact.Store(time.Now().UnixNano())
	if !f.reachable.Swap(true) {
		f.opts.Logger.Info("log is reachable", "offset", f.Current().Offset())
	}
}

// markUnreachable records that a read of the log failed.
func (f *Follower) markUnreachable(err error) {
	f.opts.Scope.Counter("config_log_failed").Inc(1)
	if f.reachable.Swap(false) {
		f.opts.Logger.Warn("cannot read the log; following peers instead", "error", err)
	}
}

// recoverFromSnapshot installs the newest snapshot, as the next record has expired.
func (f *Follower) recoverFromSnapshot(ctx context.Context, oldest int64) bool {
	f.opts.Scope.Counter("config_expired").Inc(1)
	f.opts.Logger.Warn("next record of the log has expired; looking for a snapshot",
		"offset", f.Current().Offset(), "oldest", oldest)
	if f.installNewestSnapshot(ctx) {
		return true
	}
	f.opts.Logger.Error("no snapshot is newer; peers are followed until one is")
	return false
}

// pause waits for the duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
