package admission

import (
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// shareWindow is the number of dispatches over which the share of a rank is measured.
const shareWindow = 200

// Servers is where a Scheduler reserves places; *balancer.Balancer is one.
type Servers interface {
	Pick(now time.Time, exclude []string) (*balancer.Server, bool)
	Len() int
	MeanLatency() time.Duration
}

// Scheduler orders the waiting requests of one service and dispatches them to
// backend servers. It is not safe for concurrent use.
type Scheduler struct {
	servers Servers
	lines   []*line // most urgent first
}

// NewScheduler returns a scheduler without ranks.
func NewScheduler(servers Servers) *Scheduler {
	return &Scheduler{servers: servers}
}

// SetRanks replaces the ranks. Requests of a rank that is gone are refused.
func (s *Scheduler) SetRanks(ranks []tree.Rank) []Decision {
	old := s.lines
	s.lines = nil
	for _, r := range ranks {
		s.lines = append(s.lines, lineFor(old, r))
	}
	var refused []Decision
	for _, l := range old {
		if s.line(l.rank.Name) != nil {
			continue
		}
		for l.items.Len() > 0 {
			refused = append(refused, drop(l, refuseUnknownRank()))
		}
	}
	return refused
}

func lineFor(old []*line, r tree.Rank) *line {
	for _, l := range old {
		if l.rank.Name == r.Name {
			l.rank = r
			return l
		}
	}
	return &line{rank: r, share: r.KeptShare}
}

// drop takes the first item off the line with a refusal.
func drop(l *line, refusal *outcome.Refusal) Decision {
	i := l.items.Front().Value.(*Item)
	l.remove(i)
	return Decision{Item: i, Refusal: refusal}
}

func (s *Scheduler) line(rank string) *line {
	for _, l := range s.lines {
		if l.rank.Name == rank {
			return l
		}
	}
	return nil
}

// Waiting is the number of requests that wait, over all ranks.
func (s *Scheduler) Waiting() int {
	n := 0
	for _, l := range s.lines {
		n += l.items.Len()
	}
	return n
}

// Offer takes the item in, or refuses it at once.
func (s *Scheduler) Offer(i *Item, now time.Time) *outcome.Refusal {
	l := s.line(i.Rank)
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

func (s *Scheduler) judge(l *line, i *Item, now time.Time) *outcome.Refusal {
	wait := l.wait(now)
	if s.servers.Len() <= len(i.Exclude) {
		return refuseBusy(outcome.ReasonNoServer, "no backend server is left to try", 0)
	}
	if l.items.Len() >= l.rank.QueueLength {
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
	if longest := s.longestWait(l, i, now); wait > longest {
		return refuseBusy(outcome.ReasonQueueWait, "the wait would exceed the target or the deadline", wait-longest)
	}
	return nil
}

// minWaitShare is the part of a rank's target that may always be spent waiting.
const minWaitShare = 0.25

// longestWait is how long the item may wait so that its target and deadline
// can still be met.
func (s *Scheduler) longestWait(l *line, i *Item, now time.Time) time.Duration {
	latency := s.servers.MeanLatency()
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
	i.line.remove(i)
	return true
}

// Finish accounts the end of a granted item.
func (s *Scheduler) Finish(i *Item) {
	if i.Upload {
		i.line.streams--
	}
}

// Next decides one waiting item; it is false when none can be decided now.
func (s *Scheduler) Next(now time.Time) (Decision, bool) {
	if d, ok := s.expire(now); ok {
		return d, true
	}
	for _, l := range s.lines {
		if !l.belowShare() {
			continue
		}
		if d, ok := s.dispatch(l, now); ok {
			return d, true
		}
	}
	for _, l := range s.lines {
		if d, ok := s.dispatch(l, now); ok {
			return d, true
		}
	}
	return Decision{}, false
}

// expire refuses one item that waited as long as it may.
func (s *Scheduler) expire(now time.Time) (Decision, bool) {
	for _, l := range s.lines {
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

func (s *Scheduler) dispatch(l *line, now time.Time) (Decision, bool) {
	element := l.items.Front()
	for range maxLookahead {
		if element == nil {
			break
		}
		i := element.Value.(*Item)
		element = element.Next()
		if l.streamsUsedUp(i) {
			continue
		}
		if server, ok := s.servers.Pick(now, i.Exclude); ok {
			l.dispatched(i, now)
			s.account(l)
			return Decision{Item: i, Server: server}, true
		}
		if len(i.Exclude) == 0 {
			break
		}
	}
	return Decision{}, false
}

// account moves the shares of all ranks after a dispatch from l.
func (s *Scheduler) account(l *line) {
	for _, other := range s.lines {
		other.share -= other.share / shareWindow
	}
	l.share += 1.0 / shareWindow
}
