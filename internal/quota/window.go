package quota

import "time"

// bucketWidth is the resolution of a window. Times are rounded up to it, so no
// unit becomes free too early.
const bucketWidth = time.Millisecond

// window counts units in use, each of which becomes free at a given time. Times must
// be added in ascending order. Memory is bounded by the span of the times divided by
// bucketWidth.
type window struct {
	buckets []bucket
	first   int
	count   int
}

type bucket struct {
	freeAt time.Duration
	units  int
}

// add counts units as in use until freeAt.
func (w *window) add(freeAt time.Duration, units int) {
	if units <= 0 {
		return
	}
	freeAt = (freeAt + bucketWidth - 1) / bucketWidth * bucketWidth
	w.count += units
	if last := len(w.buckets) - 1; last >= w.first && w.buckets[last].freeAt >= freeAt {
		w.buckets[last].units += units
		return
	}
	w.buckets = append(w.buckets, bucket{freeAt: freeAt, units: units})
}

// advance removes the units that have become free.
func (w *window) advance(now time.Duration) {
	for w.first < len(w.buckets) && w.buckets[w.first].freeAt <= now {
		w.count -= w.buckets[w.first].units
		w.first++
	}
	w.compact()
}

// compact moves the buckets to the front once half of the slice is unused, so that
// the amortized cost per unit stays constant.
func (w *window) compact() {
	if w.first == 0 || w.first*2 < len(w.buckets) {
		return
	}
	n := copy(w.buckets, w.buckets[w.first:])
	w.buckets = w.buckets[:n]
	w.first = 0
}

// nextFreeAt returns when the next unit becomes free, or now if none is in use.
func (w *window) nextFreeAt(now time.Duration) time.Duration {
	if w.first == len(w.buckets) {
		return now
	}
	return w.buckets[w.first].freeAt
}
