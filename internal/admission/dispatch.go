package admission

import (
	"container/list"
	"math"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Finish records the end of a granted item and updates the concurrency windows
// and the nominal service time by its result.
func (s *Scheduler) Finish(item *Item, r balancer.Result, now time.Time) {
	for index, rq := range s.queues {
		rq.window.update(r, s.inProgress(index), rq.items.Len())
		if rq == item.queue {
			break
		}
	}
	item.queue.finished(item)
	item.queue.updateServiceTime(&item.Request, r, now)
}

// inProgress counts the granted requests of the queue at index from and of all
// lower ranks.
func (s *Scheduler) inProgress(from int) int {
	n := 0
	for _, rq := range s.queues[from:] {
		n += rq.granted
	}
	return n
}

// loadLimit is the estimated load below which a server may get a request of the
// queue.
func (s *Scheduler) loadLimit(index int) float64 {
	for i, rq := range s.queues[:index+1] {
		if rq.window.full(s.inProgress(i)) {
			return s.queues[index].window.spareLoad(s.servers.Slots())
		}
	}
	return math.Inf(1)
}

// Next decides one waiting item. It returns false if none can be decided now.
func (s *Scheduler) Next(now time.Time) (Decision, bool) {
	if n := len(s.evicted); n > 0 {
		d := s.evicted[n-1]
		s.evicted = s.evicted[:n-1]
		return d, true
	}
	if picker := s.predictive(); picker != nil {
		return s.nextPredictive(picker, now)
	}
	if d, ok := s.expire(now); ok {
		return d, true
	}
	if d, ok := s.nextGuaranteed(now); ok {
		return d, true
	}
	for index, rq := range s.queues {
		if d, ok := s.dispatch(rq, now, s.loadLimit(index)); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// nextGuaranteed dispatches for a rank that got less than its guaranteed share,
// as if it had the highest priority.
func (s *Scheduler) nextGuaranteed(now time.Time) (Decision, bool) {
	for _, rq := range s.queues {
		if !rq.belowGuaranteedShare() {
			continue
		}
		if d, ok := s.dispatch(rq, now, s.loadLimit(0)); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// expire refuses one item whose deadline or maximum wait has passed. Without tenants the first
// item of each queue is the oldest.
func (s *Scheduler) expire(now time.Time) (Decision, bool) {
	for _, rq := range s.queues {
		for element := rq.items.Front(); element != nil; element = element.Next() {
			item := element.Value.(*Item)
			if refusal := s.expired(rq, item, now); refusal != nil {
				rq.remove(item)
				return Decision{Item: item, Refusal: spread(&item.Request, refusal, rq.expectedWait(now))}, true
			}
			if !rq.turns.mixed {
				break
			}
		}
	}
	return Decision{}, false
}

// expired returns the refusal of a waiting item whose deadline or maximum wait has passed.
func (s *Scheduler) expired(rq *rankQueue, item *Item, now time.Time) *outcome.Refusal {
	if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
		return refuseDeadline()
	}
	if now.Sub(item.enqueued) > s.maxWait(rq, item, item.enqueued) {
		const detail = "the wait exceeded the target or the deadline"
		return refuseBusy(outcome.ReasonQueueWait, detail, rq.expectedWait(now))
	}
	return nil
}

// maxLookahead bounds how many items at the head of a queue one dispatch tries,
// as each may exclude other servers.
const maxLookahead = 4

// dispatch grants the first item of the queue that a server below the load can
// take.
func (s *Scheduler) dispatch(rq *rankQueue, now time.Time, load float64) (Decision, bool) {
	sameAsRest := func(item *Item) bool { return len(item.Exclude) == 0 }
	return s.dispatchFrom(rq, &rq.items, now, sameAsRest, func(item *Item) (*balancer.Reservation, bool) {
		return s.servers.PickBelow(now, item.Exclude, load)
	})
}

// dispatchFrom grants the first item of the list for which pick finds a server.
// It stops at an item for which sameAsRest is true: if no server is found for
// it, none would be found for those behind it.
func (s *Scheduler) dispatchFrom(rq *rankQueue, items *list.List, now time.Time, sameAsRest func(*Item) bool, pick func(*Item) (*balancer.Reservation, bool)) (Decision, bool) {
	element := items.Front()
	for range maxLookahead {
		if element == nil {
			break
		}
		item := element.Value.(*Item)
		element = element.Next()
		if rq.streamsUsedUp(item) {
			continue
		}
		if reservation, ok := pick(item); ok {
			rq.dispatched(item, now)
			s.updateShares(rq)
			return Decision{Item: item, Reservation: reservation}, true
		}
		if sameAsRest(item) {
			break
		}
	}
	return Decision{}, false
}

// updateShares updates the shares of all ranks after a dispatch from rq.
func (s *Scheduler) updateShares(rq *rankQueue) {
	for _, other := range s.queues {
		other.share -= other.share / shareWindow
	}
	rq.share = min(rq.share+1.0/shareWindow, maxRememberedShare*rq.rank.KeptShare)
}

// maxRememberedShare bounds, as a factor of its guaranteed share, the share
// that a rank is remembered to have received, so that it is served again soon
// after a flood of higher ranks begins.
const maxRememberedShare = 1.25
