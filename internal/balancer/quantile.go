package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercent is the quantile after which a second attempt is worth its cost.
	hedgePercent = 95
	// highPercent is the quantile that stands for a long answer.
	highPercent = 99
	// quantileWindow is how long answers count, at the least.
	quantileWindow = 5 * time.Second
	// quantileRefresh is how often the quantile is computed.
	quantileRefresh = 100 * time.Millisecond
	// quantileSamples is the fewest answers that give a quantile.
	quantileSamples = 100
	// longestLatency is the largest latency told apart, in microseconds.
	longestLatency = 60_000_000
	// latencyDigits is the precision of the histograms.
	latencyDigits = 2
)

// quantile is two high quantiles of the recent latencies of a service. Answers
// are counted in two histograms that take turns, under the mutex; the results
// are read without it.
type quantile struct {
	hedge atomic.Int64 // microseconds, zero while unknown
	high  atomic.Int64 // microseconds, zero while unknown

	mu        sync.Mutex // guards the fields below
	old       *hdrhistogram.Histogram
	new       *hdrhistogram.Histogram
	began     time.Time
	refreshed time.Time
}

func newQuantile() *quantile {
	return &quantile{
		old: hdrhistogram.New(1, longestLatency, latencyDigits),
		new: hdrhistogram.New(1, longestLatency, latencyDigits),
	}
}

func (q *quantile) learn(now time.Time, latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	micros := min(max(latency.Microseconds(), 1), longestLatency)
	_ = q.new.RecordValue(micros) // in range by the line above
	if now.Sub(q.refreshed) >= quantileRefresh {
		q.refresh(now)
	}
	if now.Sub(q.began) >= quantileWindow {
		q.old, q.new = q.new, q.old
		q.new.Reset()
		q.began = now
	}
}

// refresh takes the fuller of the two histograms, so that a turn that has just
// begun does not decide by a few answers.
func (q *quantile) refresh(now time.Time) {
	q.refreshed = now
	fuller := q.new
	if q.old.TotalCount() > fuller.TotalCount() {
		fuller = q.old
	}
	if fuller.TotalCount() < quantileSamples {
		q.hedge.Store(0)
		q.high.Store(0)
		return
	}
	q.hedge.Store(fuller.ValueAtQuantile(hedgePercent))
	q.high.Store(fuller.ValueAtQuantile(highPercent))
}

func micros(v *atomic.Int64) time.Duration {
	return time.Duration(v.Load()) * time.Microsecond
}
