package quota

import "time"

// bucketTime is the resolution of a window. Times are rounded up to it, so a
// unit is never free early.
const bucketTime = time.Millisecond

// window counts units that become free at a set time. Times are added in
// ascending order; the memory is bounded by the span of the times.
type window struct {
	buckets []bucket
	first   int
	count   int
}

type bucket struct {
	freeAt time.Duration
	units  int
}

// add counts units until freeAt.
func (w *window) add(freeAt time.Duration, units int) {
	if units <= 0 {
		return
	}
	freeAt = (freeAt + bucketTime - 1) / bucketTime * bucketTime
	w.count += units
	if last := len(w.buckets) - 1; last >= w.first && w.buckets[last].freeAt >= freeAt {
		w.buckets[last].units += units
		return
	}
	w.buckets = append(w.buckets, bucket{freeAt: freeAt, units: units})
}

// advance drops the units that are free by now.
func (w *window) advance(now time.Duration) {
	for w.first < len(w.buckets) && w.buckets[w.first].freeAt <= now {
		w.count -= w.buckets[w.first].units
		w.first++
	}
	w.compact()
}

// compact moves the buckets to the front once half of the slice is unused, so
// that the cost of one unit stays constant.
func (w *window) compact() {
	if w.first == 0 || w.first*2 < len(w.buckets) {
		return
	}
	n := copy(w.buckets, w.buckets[w.first:])
	w.buckets = w.buckets[:n]
	w.first = 0
}

// next returns when the earliest unit becomes free, or now where none is counted.
func (w *window) next(now time.Duration) time.Duration {
	if w.first == len(w.buckets) {
		return now
	}
	return w.buckets[w.first].freeAt
}
