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
	// pollWait is how long one read waits for a record.
	pollWait = 5 * time.Second
	// minBackoff and maxBackoff bound the time between reads that fail.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// followLog applies the records of the log until the context ends.
func (f *Follower) followLog(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if f.readOnce(ctx) {
			backoff = minBackoff
			continue
		}
		pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, maxBackoff)
	}
}

// readOnce reads one page and reports whether it brought the state forward or
// the wait ended without news.
func (f *Follower) readOnce(ctx context.Context) bool {
	from := f.Current().Offset() + 1
	page, err := f.opts.Log.Read(ctx, logservice.StreamConfig, from, f.waitTime())
	if ctx.Err() != nil {
		return false
	}
	var expired *logservice.ExpiredError
	if errors.As(err, &expired) {
		f.heard()
		return f.bridge(ctx, expired.Oldest)
	}
	if err != nil {
		f.lost(err)
		return false
	}
	f.heard()
	if len(page.Records) == 0 {
		return true
	}
	return f.applyPage(from, page)
}

// waitTime is the wait of the next read. The first read after an outage does not
// wait, to know soon that the log answers again.
func (f *Follower) waitTime() time.Duration {
	if !f.reachable.Load() {
		return 0
	}
	return pollWait
}

// applyPage applies a page, whose records may be repeated or out of order. A
// page that starts behind a gap is read again.
func (f *Follower) applyPage(from int64, page logservice.Page) bool {
	records := slices.Clone(page.Records)
	slices.SortFunc(records, func(a, b logservice.Record) int { return int(a.Offset - b.Offset) })
	if f.applyRecords(records) > 0 || f.Current().Offset() >= from {
		return true
	}
	f.opts.Scope.Counter("config_gaps").Inc(1)
	f.opts.Logger.Warn("page of the log has a gap; it is read again", "from", from)
	return false
}

// heard notes that the log answered.
func (f *Follower) heard() {
	f.lastHeard.Store(time.Now().UnixNano())
	if !f.reachable.Swap(true) {
		f.opts.Logger.Info("log answers", "offset", f.Current().Offset())
	}
}

// lost notes that the log did not answer.
func (f *Follower) lost(err error) {
	f.opts.Scope.Counter("config_log_failed").Inc(1)
	if f.reachable.Swap(false) {
		f.opts.Logger.Warn("log not read; peers are followed", "error", err)
	}
}

// bridge goes on where the next record has expired: with the newest snapshot.
func (f *Follower) bridge(ctx context.Context, oldest int64) bool {
	f.opts.Scope.Counter("config_expired").Inc(1)
	f.opts.Logger.Warn("next record of the log has expired; a snapshot is looked for",
		"offset", f.Current().Offset(), "oldest", oldest)
	if f.readSnapshots(ctx) {
		return true
	}
	f.opts.Logger.Error("no snapshot is newer; peers are followed until one is")
	return false
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
