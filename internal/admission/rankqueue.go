package admission

import (
	"container/list"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// intervalWeight is the weight of the newest sample in the mean dispatch interval.
const intervalWeight = 0.1

// rankQueue is the waiting requests of one rank, oldest first.
type rankQueue struct {
	rank    tree.Rank
	items   list.List
	late    list.List     // those that can no longer meet the target, see paced.go
	work    time.Duration // usual time of one request at a quick server, zero while unknown
	bytes   int64
	streams int // uploads in progress
	granted int // requests in progress
	window  window
	share   float64 // share of the recent dispatches of all ranks

	interval     time.Duration // mean time between dispatches while requests wait
	lastDispatch time.Time     // zero unless requests have waited ever since
}

func (l *rankQueue) push(i *Item) {
	i.queue = l
	i.element = l.items.PushBack(i)
	l.bytes += i.Bytes
	if l.lastDispatch.IsZero() {
		l.lastDispatch = i.enqueued
	}
}

func (l *rankQueue) remove(i *Item) {
	if i.late {
		l.late.Remove(i.element)
	} else {
		l.items.Remove(i.element)
	}
	i.element = nil
	l.bytes -= i.Bytes
	if l.items.Len()+l.late.Len() == 0 {
		l.lastDispatch = time.Time{}
	}
}

// dispatched accounts a dispatch from this queue.
func (l *rankQueue) dispatched(i *Item, now time.Time) {
	l.learnInterval(now)
	l.remove(i)
	l.granted++
	if i.Upload {
		l.streams++
	}
}

// finished accounts the end of a dispatched request.
func (l *rankQueue) finished(i *Item) {
	l.granted--
	if i.Upload {
		l.streams--
	}
}

func (l *rankQueue) learnInterval(now time.Time) {
	sample := float64(now.Sub(l.lastDispatch))
	l.lastDispatch = now
	if l.interval == 0 {
		l.interval = time.Duration(sample)
		return
	}
	l.interval += time.Duration(intervalWeight * (sample - float64(l.interval)))
}

// wait estimates how long a request that joins now would wait.
func (l *rankQueue) wait(now time.Time) time.Duration {
	waiting := l.items.Len()
	if waiting == 0 {
		return 0
	}
	interval := max(l.interval, now.Sub(l.lastDispatch))
	return time.Duration(waiting+1) * interval
}

func (l *rankQueue) streamsUsedUp(i *Item) bool {
	return i.Upload && l.rank.Streams > 0 && l.streams >= l.rank.Streams
}

// belowShare reports whether the rank got less than its kept share of late.
func (l *rankQueue) belowShare() bool { return l.share < l.rank.KeptShare }
