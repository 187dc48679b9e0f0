package admission

import (
	"container/list"
	"math"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Where servers report their slowdown, the response time of a request can be
// predicted for each server. A request is then sent only to a server at which
// it is expected to meet its target, and otherwise waits at the entry: it would
// hold a slot of a slow server for long, while a slot of a server at full speed
// is free soon.
//
// A request that can no longer meet its target is late. It is served after all
// that can, and takes any slot at which it still ends before its deadline.
// Where the wait shows that a new request could not meet its target, it is
// refused immediately, so that its caller can still retry in time.
//
// The stretch of a request is its predicted response time divided by its
// nominal service time, which is the time it takes at a server at full speed
// that is otherwise idle.

// predictivePicker is a Picker that predicts response times.
type predictivePicker interface {
	ReportsSlowdown() bool
	PickWithin(now time.Time, exclude []string, serviceTime, within time.Duration, body int64) (*balancer.Reservation, bool)
	PickSpare(now time.Time, exclude []string, serviceTime, within, target time.Duration, body int64) (*balancer.Reservation, bool)
}

const (
	// targetMargin is the part of the target that is held back for requests
	// that take longer than the nominal service time.
	targetMargin = 0.08
	// minServiceTimesLeft is how many nominal service times must be left until
	// the deadline.
	minServiceTimesLeft = 1.0
)

// predictive returns the picker if it can predict response times, else nil.
func (s *Scheduler) predictive() predictivePicker {
	p, ok := s.servers.(predictivePicker)
	if !ok || !p.ReportsSlowdown() {
		return nil
	}
	return p
}

// targetLeft returns the time left of the item's target, less the margin.
func (rq *rankQueue) targetLeft(item *Item, now time.Time) time.Duration {
	return time.Duration((1-targetMargin)*float64(rq.targetOf(&item.Request))) - now.Sub(item.enqueued)
}

// deadlineLeft returns the time left until the item's deadline.
func deadlineLeft(item *Item, now time.Time) time.Duration {
	if item.Deadline.IsZero() {
		return math.MaxInt64
	}
	return item.Deadline.Sub(now)
}

// checkAdmissionPredictive refuses an item whose wait would leave too little of
// its target or deadline. An item that could be in time nowhere is late; it is
// refused only if it would not end before its deadline either, as it takes only
// slots that no item in time needs.
func (s *Scheduler) checkAdmissionPredictive(rq *rankQueue, item *Item, now time.Time) *outcome.Refusal {
	estimate := rq.estimateOf(&item.Request)
	serviceTime := rq.nominalServiceTime(&item.Request, now)
	left := deadlineLeft(item, now)
	if left < time.Duration(minServiceTimesLeft*float64(serviceTime)) {
		estimate.doubt(now)
		return refuseBusy(outcome.ReasonQueueWait, "too little time is left until the deadline", 0)
	}
	slack := time.Duration((1-targetMargin)*float64(rq.targetOf(&item.Request))) - serviceTime
	if slack < 0 {
		if wait := rq.expectedLateWait(now); wait > 0 && left < wait+serviceTime {
			estimate.doubt(now)
			return refuseBusy(outcome.ReasonQueueWait, "the wait would exceed the deadline", wait+serviceTime-left)
		}
		return nil
	}
	if wait := rq.expectedWaitAt(rq.turns.orderOf(&item.Request), now); wait > slack {
		return refuseBusy(outcome.ReasonQueueWait, "the wait would exceed the target", wait-slack)
	}
	return nil
}

// nextPredictive is Next for a picker that predicts response times.
func (s *Scheduler) nextPredictive(servers predictivePicker, now time.Time) (Decision, bool) {
	s.moveLate(now)
	if d, ok := s.expirePredictive(now); ok {
		return d, true
	}
	for _, rq := range s.queues {
		if rq.belowGuaranteedShare() {
			if d, ok := s.dispatchPredictive(servers, rq, &rq.items, now); ok {
				return d, true
			}
		}
	}
	for _, rq := range s.queues {
		if d, ok := s.dispatchPredictive(servers, rq, &rq.items, now); ok {
			return d, true
		}
	}
	for _, rq := range s.queues {
		if d, ok := s.dispatchPredictive(servers, rq, &rq.late, now); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// moveLate moves the items that can no longer meet their target to the list of
// late items.
func (s *Scheduler) moveLate(now time.Time) {
	for _, rq := range s.queues {
		var next *list.Element
		for element := rq.items.Front(); element != nil; element = next {
			next = element.Next()
			item := element.Value.(*Item)
			if rq.targetLeft(item, now) >= rq.nominalServiceTime(&item.Request, now) {
				continue
			}
			rq.items.Remove(element)
			item.late = true
			item.element = insertLate(&rq.late, item)
		}
	}
}

// requeueLate moves the late items back to the end of the regular list.
func (rq *rankQueue) requeueLate() {
	for front := rq.late.Front(); front != nil; front = rq.late.Front() {
		item := front.Value.(*Item)
		rq.late.Remove(front)
		item.late = false
		item.element = rq.items.PushBack(item)
	}
}

// expirePredictive refuses one item that can no longer be completed before its
// deadline.
func (s *Scheduler) expirePredictive(now time.Time) (Decision, bool) {
	for _, rq := range s.queues {
		for element := rq.late.Front(); element != nil; element = element.Next() {
			item := element.Value.(*Item)
			serviceTime := rq.nominalServiceTime(&item.Request, now)
			if deadlineLeft(item, now) >= time.Duration(minServiceTimesLeft*float64(serviceTime)) {
				continue
			}
			rq.remove(item)
			refusal := spread(&item.Request, refuseBusy(outcome.ReasonQueueWait, "no server could answer before the deadline", 0), rq.expectedWait(now))
			return Decision{Item: item, Refusal: refusal}, true
		}
	}
	return Decision{}, false
}

// dispatchPredictive grants the first item of the list that a server is
// expected to complete in time. Items further back have more time left, so a
// slot that is too slow for the first may do for them.
func (s *Scheduler) dispatchPredictive(servers predictivePicker, rq *rankQueue, items *list.List, now time.Time) (Decision, bool) {
	sameAsRest := func(item *Item) bool { return item.late && len(item.Exclude) == 0 }
	return s.dispatchFrom(rq, items, now, sameAsRest, func(item *Item) (*balancer.Reservation, bool) {
		serviceTime, within := rq.nominalServiceTime(&item.Request, now), deadlineLeft(item, now)
		if item.late {
			return servers.PickSpare(now, item.Exclude, serviceTime, within, rq.targetOf(&item.Request), item.Bytes)
		}
		return servers.PickWithin(now, item.Exclude, serviceTime, min(within, rq.targetLeft(item, now)), item.Bytes)
	})
}

const (
	// hedgeServiceTimes is the number of nominal service times after which a
	// request is assumed to have begun at a slow server. A request at a server
	// loaded past its knee takes 1.7.
	hedgeServiceTimes = 1.9
	// hedgeSlack is the part of a nominal service time, beyond a whole one,
	// that the target must leave for the second attempt.
	hedgeSlack = 0.15
)

// HedgeDelay returns how long a request of the rank, with the target of its
// route, may remain unanswered before a second one is sent. A target of zero
// means that of the rank. It returns false unless servers report their slowdown
// and the target leaves time for a second attempt.
func (q *Queue) HedgeDelay(rank string, target time.Duration) (time.Duration, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	rq := q.scheduler.queue(rank)
	if rq == nil || q.scheduler.predictive() == nil {
		return 0, false
	}
	request := &Request{Target: target}
	serviceTime := float64(rq.nominalServiceTime(request, time.Now()))
	after := hedgeServiceTimes * serviceTime
	latest := float64(rq.targetOf(request)) - (1+hedgeSlack)*serviceTime
	if latest < serviceTime {
		return 0, false
	}
	return time.Duration(min(after, latest)), true
}
