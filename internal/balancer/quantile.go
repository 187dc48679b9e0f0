package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the latency percentile after which a hedge is worth its cost.
	hedgePercentile = 95
	// tailPercentile is the percentile that TailLatency returns.
	tailPercentile = 99
	// quantileWindow is the least time for which a response counts.
	quantileWindow = 5 * time.Second
	// quantileRefreshInterval is the least time between two computations of the
	// percentiles.
	quantileRefreshInterval = 100 * time.Millisecond
	// minQuantileSamples is the least number of responses that percentiles are computed
	// from.
	minQuantileSamples = 100
	// maxLatencyMicros is the largest recorded latency, in microseconds; longer ones
	// are recorded as this.
	maxLatencyMicros = 60_000_000
	// histogramDigits is the number of significant decimal digits of the histograms.
	histogramDigits = 2
)

// latencyQuantiles holds two high percentiles of the recent latencies of a service.
// Latencies are recorded under the mutex in two rotating histograms; the percentiles are
// read without it.
type latencyQuantiles struct {
	hedge atomic.Int64 // hedgePercentile in microseconds, zero while unknown
	tail  atomic.Int64 // tailPercentile in microseconds, zero while unknown

	mu          sync.Mutex // guards the fields below
	previous    *hdrhistogram.Histogram
	current     *hdrhistogram.Histogram
	rotatedAt   time.Time
	refreshedAt time.Time
}

func newLatencyQuantiles() *latencyQuantiles {
	return &latencyQuantiles{
		previous: hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
		current:  hdrhistogram.New(1, maxLatencyMicros, histogramDigits),
	}
}

// record records the latency of a response.
func (q *latencyQuantiles) record(now time.Time, latency time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	value := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	_ = q.current.RecordValue(value) // in range by the line above
	if now.Sub(q.refreshedAt) >= quantileRefreshInterval {
		q.refresh(now)
	}
	if now.Sub(q.rotatedAt) >= quantileWindow {
		q.previous, q.current = q.current, q.previous
		q.current.Reset()
		q.rotatedAt = now
	}
}

// refresh computes the percentiles from the fuller of the two histograms, so that they
// do not depend on a few responses after a rotation.
func (q *latencyQuantiles) refresh(now time.Time) {
	q.refreshedAt = now
	fuller := q.current
	if q.previous.TotalCount() > fuller.TotalCount() {
		fuller = q.previous
	}
	if fuller.TotalCount() < minQuantileSamples {
		q.hedge.Store(0)
		q.tail.Store(0)
		return
	}
	q.hedge.Store(fuller.ValueAtQuantile(hedgePercentile))
	q.tail.Store(fuller.ValueAtQuantile(tailPercentile))
}

// micros reads a duration that is stored in microseconds.
func micros(v *atomic.Int64) time.Duration {
	return time.Duration(v.Load()) * time.Microsecond
}
