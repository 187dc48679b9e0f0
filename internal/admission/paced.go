package admission

import (
	"container/list"
	"math"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Servers that tell their pace let the time of a request be foretold from where
// it begins. So a request goes only where it is expected to meet its target, and
// waits at the entry otherwise: a place at a slow server would not be free again
// for long, and one at a quick server is soon. A request that can no longer meet
// its target comes after all that can, and takes any place at which it still ends
// before its deadline. Where the wait shows that a new request could not be
// served within its target it is refused at once, while its caller can still come
// back in time.

// pacedServers is a Picker that tells how long requests take.
type pacedServers interface {
	ReportsSlowdown() bool
	PickWithin(now time.Time, exclude []string, work, within time.Duration, body int64) (*balancer.Reservation, bool)
	PickSpare(now time.Time, exclude []string, work, within, target time.Duration, body int64) (*balancer.Reservation, bool)
}

const (
	// firstWork is the usual work before anything is known, as a part of the target.
	firstWork = 0.35
	// workWeight is the weight of the newest answer in the usual work.
	workWeight = 0.05
	// mostWork bounds what one answer counts, as a factor of the usual work.
	mostWork = 2
	// targetMargin is the part of the target that is kept for works that take
	// longer than usual.
	targetMargin = 0.08
	// leastLeft is the part of a usual work that must be left until the deadline.
	leastLeft = 1.0
	// quickStretch is the stretch up to which an answer shows the usual work.
	quickStretch = 1.05
)

// paced returns the servers if they tell their pace, else nil.
func (s *Scheduler) paced() pacedServers {
	p, ok := s.servers.(pacedServers)
	if !ok || !p.ReportsSlowdown() {
		return nil
	}
	return p
}

// learnWork takes in the time of a request that began at a quick server.
func (l *rankQueue) learnWork(r balancer.Result) {
	if r.Kind != balancer.OK || r.Estimate.Stretch <= 0 || r.Estimate.Stretch > quickStretch {
		return
	}
	if l.work == 0 {
		l.work = l.usualWork()
	}
	sample := min(r.Latency, mostWork*l.work)
	l.work += time.Duration(workWeight * float64(sample-l.work))
}

func (l *rankQueue) usualWork() time.Duration {
	if l.work > 0 {
		return l.work
	}
	return time.Duration(firstWork * float64(l.rank.Target))
}

// targetLeft is the time that is left of the item's target.
func (l *rankQueue) targetLeft(i *Item, now time.Time) time.Duration {
	return time.Duration((1-targetMargin)*float64(l.rank.Target)) - now.Sub(i.enqueued)
}

// deadlineLeft is the time that is left until the item's deadline.
func deadlineLeft(i *Item, now time.Time) time.Duration {
	if i.Deadline.IsZero() {
		return math.MaxInt64
	}
	return i.Deadline.Sub(now)
}

// judgePaced refuses an item whose wait would leave too little of its target.
func (s *Scheduler) judgePaced(l *rankQueue, i *Item, now time.Time) *outcome.Refusal {
	work := l.usualWork()
	if deadlineLeft(i, now) < time.Duration(leastLeft*float64(work)) {
		return refuseBusy(outcome.ReasonQueueWait, "too little time is left until the deadline", 0)
	}
	wait := l.wait(now)
	slack := time.Duration((1-targetMargin)*float64(l.rank.Target)) - work
	if wait > slack {
		return refuseBusy(outcome.ReasonQueueWait, "the wait would exceed the target", wait-slack)
	}
	return nil
}

// nextPaced decides one waiting item; it is false when none can be decided now.
func (s *Scheduler) nextPaced(servers pacedServers, now time.Time) (Decision, bool) {
	s.sortLate(now)
	if d, ok := s.expirePaced(now); ok {
		return d, true
	}
	for _, l := range s.queues {
		if l.belowShare() {
			if d, ok := s.dispatchPaced(servers, l, &l.items, now); ok {
				return d, true
			}
		}
	}
	for _, l := range s.queues {
		if d, ok := s.dispatchPaced(servers, l, &l.items, now); ok {
			return d, true
		}
	}
	for _, l := range s.queues {
		if d, ok := s.dispatchPaced(servers, l, &l.late, now); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// sortLate moves the items that can no longer meet their target.
func (s *Scheduler) sortLate(now time.Time) {
	for _, l := range s.queues {
		for front := l.items.Front(); front != nil; front = l.items.Front() {
			i := front.Value.(*Item)
			if l.targetLeft(i, now) >= l.usualWork() {
				break
			}
			l.items.Remove(front)
			i.late = true
			i.element = l.late.PushBack(i)
		}
	}
}

// recall puts the late items back to the others.
func (l *rankQueue) recall() {
	for front := l.late.Front(); front != nil; front = l.late.Front() {
		i := front.Value.(*Item)
		l.late.Remove(front)
		i.late = false
		i.element = l.items.PushBack(i)
	}
}

// expirePaced refuses one item that can no longer be answered before its deadline.
func (s *Scheduler) expirePaced(now time.Time) (Decision, bool) {
	for _, l := range s.queues {
		front := l.late.Front()
		if front == nil {
			continue
		}
		i := front.Value.(*Item)
		if deadlineLeft(i, now) >= time.Duration(leastLeft*float64(l.usualWork())) {
			continue
		}
		l.remove(i)
		refusal := refuseBusy(outcome.ReasonQueueWait, "no server could answer before the deadline", 0)
		return Decision{Item: i, Refusal: refusal}, true
	}
	return Decision{}, false
}

// dispatchPaced grants the first item of the list that a server can take in time.
// Those behind the first have more time left, so a place that is too slow for it
// may do for them.
func (s *Scheduler) dispatchPaced(servers pacedServers, l *rankQueue, items *list.List, now time.Time) (Decision, bool) {
	alike := func(i *Item) bool { return i.late && len(i.Exclude) == 0 }
	return s.dispatchFrom(l, items, now, alike, func(i *Item) (*balancer.Reservation, bool) {
		work, within := l.usualWork(), deadlineLeft(i, now)
		if i.late {
			return servers.PickSpare(now, i.Exclude, work, within, l.rank.Target, i.Bytes)
		}
		return servers.PickWithin(now, i.Exclude, work, min(within, l.targetLeft(i, now)), i.Bytes)
	})
}

const (
	// hedgeWorks is after how many usual works a request counts as begun at a slow
	// server: one past the knee takes 1.7.
	hedgeWorks = 1.9
	// hedgeRoom is the part of a usual work beyond one that the target must leave
	// for the second attempt.
	hedgeRoom = 0.15
)

// HedgeDelay is how long a request of the rank may stay unanswered before a second
// one is sent, where servers tell their pace and the target leaves room for it.
func (q *Queue) HedgeDelay(rank string) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.scheduler.queue(rank)
	if l == nil || q.scheduler.paced() == nil {
		return 0, false
	}
	work := float64(l.usualWork())
	after := hedgeWorks * work
	latest := float64(l.rank.Target) - (1+hedgeRoom)*work
	if latest < work {
		return 0, false
	}
	return time.Duration(min(after, latest)), true
}
