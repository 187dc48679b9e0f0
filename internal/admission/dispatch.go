package admission

import (
	"container/list"
	"math"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Finish accounts the end of a granted item.
func (s *Scheduler) Finish(i *Item, r balancer.Result) {
	for index, l := range s.queues {
		l.window.learn(r, s.inProgress(index), l.items.Len())
		if l == i.queue {
			break
		}
	}
	i.queue.finished(i)
	i.queue.learnWork(r)
}

// inProgress counts the granted requests of the queue and the less urgent ones.
func (s *Scheduler) inProgress(from int) int {
	n := 0
	for _, l := range s.queues[from:] {
		n += l.granted
	}
	return n
}

// room is the estimated load below which a server may get a request of the queue.
func (s *Scheduler) room(index int) float64 {
	for i, l := range s.queues[:index+1] {
		if l.window.full(s.inProgress(i)) {
			return s.queues[index].window.spareLoad(s.servers.Slots())
		}
	}
	return math.Inf(1)
}

// Next decides one waiting item; it is false when none can be decided now.
func (s *Scheduler) Next(now time.Time) (Decision, bool) {
	if paced := s.paced(); paced != nil {
		return s.nextPaced(paced, now)
	}
	if d, ok := s.expire(now); ok {
		return d, true
	}
	if d, ok := s.nextKept(now); ok {
		return d, true
	}
	for index, l := range s.queues {
		if d, ok := s.dispatch(l, now, s.room(index)); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// nextKept dispatches for a rank that got less than its kept share, as if it
// were the most urgent one.
func (s *Scheduler) nextKept(now time.Time) (Decision, bool) {
	for _, l := range s.queues {
		if !l.belowShare() {
			continue
		}
		if d, ok := s.dispatch(l, now, s.room(0)); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// expire refuses one item that waited as long as it may.
func (s *Scheduler) expire(now time.Time) (Decision, bool) {
	for _, l := range s.queues {
		front := l.items.Front()
		if front == nil {
			continue
		}
		i := front.Value.(*Item)
		if !i.Deadline.IsZero() && !now.Before(i.Deadline) {
			return drop(l, refuseDeadline()), true
		}
		if now.Sub(i.enqueued) > s.longestWait(l, i, i.enqueued) {
			const detail = "the wait exceeded the target or the deadline"
			return drop(l, refuseBusy(outcome.ReasonQueueWait, detail, l.wait(now))), true
		}
	}
	return Decision{}, false
}

// maxLookahead bounds how many items with excluded servers are passed over.
const maxLookahead = 4

// dispatch grants the first item of the queue that a server below the load takes.
func (s *Scheduler) dispatch(l *rankQueue, now time.Time, load float64) (Decision, bool) {
	alike := func(i *Item) bool { return len(i.Exclude) == 0 }
	return s.dispatchFrom(l, &l.items, now, alike, func(i *Item) (*balancer.Reservation, bool) {
		return s.servers.PickBelow(now, i.Exclude, load)
	})
}

// dispatchFrom grants the first item of the list for which a server is picked. It
// does not look past an item that is like all behind it.
func (s *Scheduler) dispatchFrom(l *rankQueue, items *list.List, now time.Time, alike func(*Item) bool, pick func(*Item) (*balancer.Reservation, bool)) (Decision, bool) {
	element := items.Front()
	for range maxLookahead {
		if element == nil {
			break
		}
		i := element.Value.(*Item)
		element = element.Next()
		if l.streamsUsedUp(i) {
			continue
		}
		if server, ok := pick(i); ok {
			l.dispatched(i, now)
			s.account(l)
			return Decision{Item: i, Reservation: server}, true
		}
		if alike(i) {
			break
		}
	}
	return Decision{}, false
}

// account moves the shares of all ranks after a dispatch from l.
func (s *Scheduler) account(l *rankQueue) {
	for _, other := range s.queues {
		other.share -= other.share / shareWindow
	}
	l.share = min(l.share+1.0/shareWindow, mostShare*l.rank.KeptShare)
}

// mostShare bounds, in kept shares, what a rank is remembered to have got, so
// that it is served soon after a more urgent flood begins.
const mostShare = 1.25
