package admission

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// shareWindow is the number of dispatches over which the share of a rank is measured.
const shareWindow = 200

// Picker is where a Scheduler reserves places; *balancer.Balancer is one.
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
	queues  []*rankQueue // most urgent first
}

// NewScheduler returns a scheduler without ranks.
func NewScheduler(servers Picker) *Scheduler {
	return &Scheduler{servers: servers}
}

// SetRanks replaces the ranks. Requests of a rank that is gone are refused.
func (s *Scheduler) SetRanks(ranks []tree.Rank) []Decision {
	old := s.queues
	s.queues = nil
	for index, r := range ranks {
		l := queueFor(old, r)
		l.window.headroom = headroomOf(index)
		s.queues = append(s.queues, l)
	}
	var refused []Decision
	for _, l := range old {
		if s.queue(l.rank.Name) != nil {
			continue
		}
		l.recall()
		for l.items.Len() > 0 {
			refused = append(refused, drop(l, refuseUnknownRank()))
		}
	}
	return refused
}

func queueFor(old []*rankQueue, r tree.Rank) *rankQueue {
	for _, l := range old {
		if l.rank.Name == r.Name {
			l.rank = r
			return l
		}
	}
	return &rankQueue{rank: r, share: r.KeptShare, window: newWindow()}
}

// drop takes the first item off the queue with a refusal.
func drop(l *rankQueue, refusal *outcome.Refusal) Decision {
	i := l.items.Front().Value.(*Item)
	l.remove(i)
	return Decision{Item: i, Refusal: refusal}
}

func (s *Scheduler) queue(rank string) *rankQueue {
	for _, l := range s.queues {
		if l.rank.Name == rank {
			return l
		}
	}
	return nil
}

// Waiting is the number of requests that wait, over all ranks.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, l := range s.queues {
		n += l.items.Len() + l.late.Len()
	}
	return n
}

// Enqueue takes the item in, or refuses it at once.
func (s *Scheduler) Enqueue(i *Item, now time.Time) *outcome.Refusal {
	l := s.queue(i.Rank)
	if l == nil {
		return refuseUnknownRank()
	}
	if refusal := s.judge(l, i, now); refusal != nil {
		return refusal
	}
	i.enqueued = now
	l.push(i)
	return nil
}

func (s *Scheduler) judge(l *rankQueue, i *Item, now time.Time) *outcome.Refusal {
	wait := l.wait(now)
	if s.servers.Len() <= len(i.Exclude) {
		return refuseBusy(outcome.ReasonNoServer, "no backend server is left to try", 0)
	}
	if l.items.Len()+l.late.Len() >= l.rank.QueueLength {
		if l.streamsUsedUp(i) {
			return refuseBusy(outcome.ReasonStreams, "all upload streams of the rank are in use", wait)
		}
		return refuseBusy(outcome.ReasonQueueFull, "the rank's queue is full", wait)
	}
	if l.bytes+i.Bytes > l.rank.QueueBytes {
		return refuseBusy(outcome.ReasonQueueBytes, "the rank's queue holds too many bytes", wait)
	}
	if !i.Deadline.IsZero() && !now.Before(i.Deadline) {
		return refuseDeadline()
	}
	if paced := s.paced(); paced != nil {
		return s.judgePaced(l, i, now)
	}
	if longest := s.longestWait(l, i, now); wait > longest {
		return refuseBusy(outcome.ReasonQueueWait, "the wait would exceed the target or the deadline", wait-longest)
	}
	return nil
}

// minWaitShare is the part of a rank's target that may always be spent waiting.
const minWaitShare = 0.25

// longestWait is how long the item may wait so that its target and deadline
// can still be met.
func (s *Scheduler) longestWait(l *rankQueue, i *Item, now time.Time) time.Duration {
	latency := s.servers.TailLatency()
	least := time.Duration(minWaitShare * float64(l.rank.Target))
	longest := max(l.rank.Target-latency, least)
	if i.Deadline.IsZero() {
		return longest
	}
	return min(longest, i.Deadline.Sub(now)-latency)
}

// Remove takes a waiting item out; it is false when the item was decided before.
func (s *Scheduler) Remove(i *Item) bool {
	if i.element == nil {
		return false
	}
	i.queue.remove(i)
	return true
}
