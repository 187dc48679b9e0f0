package admission

import (
	"container/list"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// intervalWeight is the weight of the newest sample in the mean dispatch interval.
const intervalWeight = 0.1

// rankQueue holds the waiting requests of one rank, those first that are dispatched first: the
// oldest, or by the turns of tenants.
type rankQueue struct {
	rank    tree.Rank
	items   list.List
	late    list.List // those that can no longer meet the target, see predictive.go
	bytes   int64
	streams int // uploads in progress
	granted int // requests in progress
	window  window
	turns   turns
	share   float64 // share of the recent dispatches of all ranks

	serviceTimes map[serviceClass]*serviceTime // see estimate

	interval     time.Duration // mean time between dispatches while requests wait
	lastDispatch time.Time     // zero unless requests have been waiting since
}

func (rq *rankQueue) push(item *Item) {
	item.queue = rq
	item.order = rq.turns.orderOf(&item.Request)
	rq.turns.queued(&item.Request, item.order)
	item.element = insert(&rq.items, item)
	rq.bytes += item.Bytes
	if rq.lastDispatch.IsZero() {
		rq.lastDispatch = item.enqueued
	}
}

func (rq *rankQueue) remove(item *Item) {
	if item.late {
		rq.late.Remove(item.element)
	} else {
		rq.items.Remove(item.element)
	}
	item.element = nil
	rq.turns.removed(item.order)
	rq.bytes -= item.Bytes
	if rq.items.Len()+rq.late.Len() == 0 {
		rq.lastDispatch = time.Time{}
	}
}

// dispatched records the dispatch of an item of this queue.
func (rq *rankQueue) dispatched(item *Item, now time.Time) {
	rq.updateInterval(now)
	rq.turns.dispatched(item.order)
	rq.remove(item)
	rq.granted++
	if item.Upload {
		rq.streams++
	}
}

// finished records the end of a dispatched request.
func (rq *rankQueue) finished(item *Item) {
	rq.granted--
	if item.Upload {
		rq.streams--
	}
}

func (rq *rankQueue) updateInterval(now time.Time) {
	sample := float64(now.Sub(rq.lastDispatch))
	rq.lastDispatch = now
	if rq.interval == 0 {
		rq.interval = time.Duration(sample)
		return
	}
	rq.interval += time.Duration(intervalWeight * (sample - float64(rq.interval)))
}

// expectedWait estimates how long a request that is queued now would wait.
func (rq *rankQueue) expectedWait(now time.Time) time.Duration {
	waiting := rq.items.Len()
	if waiting == 0 {
		return 0
	}
	interval := max(rq.interval, now.Sub(rq.lastDispatch))
	return time.Duration(waiting+1) * interval
}

// expectedLateWait estimates how long a request that is late from the start would
// wait for a spare slot.
func (rq *rankQueue) expectedLateWait(now time.Time) time.Duration {
	waiting := rq.late.Len()
	if waiting == 0 {
		return 0
	}
	return time.Duration(waiting+1) * max(rq.interval, now.Sub(rq.lastDispatch))
}

// streamsUsedUp reports whether the item is an upload and the rank has no stream
// left for it.
func (rq *rankQueue) streamsUsedUp(item *Item) bool {
	return item.Upload && rq.rank.Streams > 0 && rq.streams >= rq.rank.Streams
}

// belowGuaranteedShare reports whether the rank recently got less than its
// guaranteed share.
func (rq *rankQueue) belowGuaranteedShare() bool { return rq.share < rq.rank.KeptShare }
