package admission

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// shareWindow is the number of dispatches over which the share of a rank is
// averaged.
const shareWindow = 200

// Picker selects a backend server and reserves a slot there; *balancer.Balancer
// implements it.
type Picker interface {
	PickBelow(now time.Time, exclude []string, load float64) (*balancer.Reservation, bool)
	Slots() int
	Len() int
	TailLatency() time.Duration
}

// Scheduler orders the waiting requests of one service and dispatches them to
// backend servers. It is not safe for concurrent use.
type Scheduler struct {
	servers Picker
	queues  []*rankQueue // highest priority first
	evicted []Decision   // refusals of dropped items that Next has not returned yet
}

// NewScheduler returns a scheduler without ranks.
func NewScheduler(servers Picker) *Scheduler {
	return &Scheduler{servers: servers}
}

// SetRanks replaces the ranks. It returns a refusal for each waiting request of
// a rank that was removed.
func (s *Scheduler) SetRanks(ranks []tree.Rank) []Decision {
	old := s.queues
	s.queues = nil
	for index, r := range ranks {
		rq := queueFor(old, r)
		rq.window.headroom = headroomOf(index)
		s.queues = append(s.queues, rq)
	}
	var refused []Decision
	for _, rq := range old {
		if s.queue(rq.rank.Name) != nil {
			continue
		}
		rq.requeueLate()
		for rq.items.Len() > 0 {
			refused = append(refused, drop(rq, RefuseRemoved()))
		}
	}
	return refused
}

func queueFor(old []*rankQueue, r tree.Rank) *rankQueue {
	for _, rq := range old {
		if rq.rank.Name == r.Name {
			rq.rank = r
			return rq
		}
	}
	return &rankQueue{rank: r, share: r.KeptShare, window: newWindow()}
}

// drop removes the first item of the queue and refuses it.
func drop(rq *rankQueue, refusal *outcome.Refusal) Decision {
	item := rq.items.Front().Value.(*Item)
	rq.remove(item)
	return Decision{Item: item, Refusal: refusal}
}

func (s *Scheduler) queue(rank string) *rankQueue {
	for _, rq := range s.queues {
		if rq.rank.Name == rank {
			return rq
		}
	}
	return nil
}

// Waiting returns the number of waiting requests, over all ranks.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, rq := range s.queues {
		n += rq.items.Len() + rq.late.Len()
	}
	return n
}

// Enqueue queues the item, or refuses it immediately.
func (s *Scheduler) Enqueue(item *Item, now time.Time) *outcome.Refusal {
	rq := s.queue(item.Rank)
	if rq == nil {
		return RefuseRemoved()
	}
	if refusal := s.checkAdmission(rq, item, now); refusal != nil {
		return spread(&item.Request, refusal, rq.expectedWait(now))
	}
	s.evict(rq, item, now)
	item.enqueued = now
	rq.push(item)
	return nil
}

// checkAdmission returns the refusal of an item that has no server left to try,
// does not fit in the queue, or would wait beyond its target or deadline. It
// returns nil if the item can be queued.
func (s *Scheduler) checkAdmission(rq *rankQueue, item *Item, now time.Time) *outcome.Refusal {
	wait := rq.expectedWaitAt(rq.turns.orderOf(&item.Request), now)
	if s.servers.Len() <= len(item.Exclude) {
		return refuseBusy(outcome.ReasonNoServer, "no backend server is left to try", 0)
	}
	_, fits := rq.victims(item)
	if !fits && rq.items.Len()+rq.late.Len() >= rq.rank.QueueLength {
		if rq.streamsUsedUp(item) {
			return refuseBusy(outcome.ReasonStreams, "all upload streams of the rank are in use", wait)
		}
		return refuseBusy(outcome.ReasonQueueFull, "the rank's queue is full", wait)
	}
	if !fits {
		return refuseBusy(outcome.ReasonQueueBytes, "the rank's queue holds too many bytes", wait)
	}
	if !item.Deadline.IsZero() && !now.Before(item.Deadline) {
		return refuseDeadline()
	}
	if refusal := s.checkServerLimits(rq, item, now); refusal != nil {
		return refusal
	}
	if picker := s.predictive(); picker != nil {
		return s.checkAdmissionPredictive(rq, item, now)
	}
	if limit := s.maxWait(rq, item, now); wait > limit {
		return refuseBusy(outcome.ReasonQueueWait, "the wait would exceed the target or the deadline", wait-limit)
	}
	return nil
}

// minWaitShare is the part of a rank's target that may always be spent waiting.
const minWaitShare = 0.25

// maxWait is how long the item may wait so that its target and deadline can
// still be met.
func (s *Scheduler) maxWait(rq *rankQueue, item *Item, now time.Time) time.Duration {
	latency := s.servers.TailLatency()
	minWait := time.Duration(minWaitShare * float64(rq.rank.Target))
	wait := max(rq.rank.Target-latency, minWait)
	if item.Deadline.IsZero() {
		return wait
	}
	return min(wait, item.Deadline.Sub(now)-latency)
}

// Remove removes a waiting item from its queue. It returns false if the item
// has already been decided.
func (s *Scheduler) Remove(item *Item) bool {
	if item.element == nil {
		return false
	}
	item.queue.remove(item)
	return true
}
