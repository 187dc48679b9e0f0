package allowance

import "time"

// windowSlots is the number of slots into which a window is divided. What was granted counts for up to
// one slot longer than the window.
const windowSlots = 50

// window counts the units granted in the last span of time. With a span of zero it counts nothing.
type window struct {
	span time.Duration
	// slots are a ring by the number of the slot; those after newest hold nothing yet.
	slots  [windowSlots + 1]float32
	newest int64
}

// slot returns the length of a slot.
func (w *window) slot() time.Duration { return max(w.span/windowSlots, 1) }

// advance empties the slots that lie more than the span before that time.
func (w *window) advance(at time.Duration) {
	number := int64(at / w.slot())
	for n := max(w.newest+1, number-windowSlots); n <= number; n++ {
		w.slots[n%(windowSlots+1)] = 0
	}
	w.newest = max(w.newest, number)
}

// add counts units that were granted at that time, which is not before that of an earlier call.
func (w *window) add(units float64, at time.Duration) {
	if w.span <= 0 {
		return
	}
	w.advance(at)
	w.slots[w.newest%(windowSlots+1)] += float32(units)
}

// remove takes off units that were granted last and not used.
func (w *window) remove(units float64) {
	for n := w.newest; n > w.newest-(windowSlots+1) && n >= 0 && units > 0; n-- {
		slot := &w.slots[n%(windowSlots+1)]
		taken := min(float64(*slot), units)
		*slot -= float32(taken)
		units -= taken
	}
}

// sum returns the units granted within the span before that time.
func (w *window) sum(at time.Duration) float64 {
	w.advance(at)
	var sum float64
	for _, units := range &w.slots {
		sum += float64(units)
	}
	return sum
}

// untilSum returns the time until the sum has fallen to that many units if nothing is granted
// meanwhile, the span at most.
func (w *window) untilSum(units float64, at time.Duration) time.Duration {
	sum := w.sum(at)
	for n := w.newest - windowSlots; sum > units && n <= w.newest; n++ {
		if n >= 0 {
			sum -= float64(w.slots[n%(windowSlots+1)])
		}
		if sum <= units {
			return min(time.Duration(n+windowSlots+1)*w.slot()-at, w.span)
		}
	}
	return 0
}
