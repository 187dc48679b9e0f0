package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// maxPropagationDelay is the maximum time until every entry that is in contact with
// the log or a peer has applied a new record.
const maxPropagationDelay = 11 * time.Second

// state holds all global limits at one entry. Its methods are deterministic
// functions of their arguments, which include the current time. It has no I/O,
// goroutines, locks or clock of its own.
type state struct {
	incarnation     string
	fence           fence
	tree            *tree.Tree
	table           seat.Table
	resizeAppliedAt map[int64]time.Duration // when all holders had applied a resize; by offset of the resize
	allocations     map[limitKey]*allocation
	byHash          map[uint64]*allocation
	ordered         []*allocation // by hash
	limitsByScope   map[tree.Scope][]*allocation
	seatHeldSince   map[heldSeat]time.Duration
	borrowers       map[string]borrower
	requests        requestTracker
}

// heldSeat identifies one assignment of a seat to this entry by the offset of its
// claim.
type heldSeat struct {
	seat   int
	offset int64
}

// borrower is the last borrow request of another entry.
type borrower struct {
	lastSequence  uint64
	lastRequestAt time.Duration
}

func newState(incarnation string) *state {
	return &state{
		incarnation:     incarnation,
		resizeAppliedAt: make(map[int64]time.Duration),
		allocations:     make(map[limitKey]*allocation),
		byHash:          make(map[uint64]*allocation),
		limitsByScope:   make(map[tree.Scope][]*allocation),
		seatHeldSince:   make(map[heldSeat]time.Duration),
		borrowers:       make(map[string]borrower),
		requests:        newRequestTracker(),
	}
}

// LimitID returns the number that identifies a limit in messages between entries.
func LimitID(scope tree.Scope, k Kind) uint64 { return hashKey(limitKey{scope, k}) }

func hashKey(k limitKey) uint64 {
	parts := []string{k.scope.Member, k.scope.Service, k.scope.Rank, string(rune('0' + k.kind))}
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// setTree activates the limits of a tree.
func (s *state) setTree(now time.Duration, t *tree.Tree) {
	s.tree = t
	clear(s.limitsByScope)
	for _, a := range s.allocations {
		a.limit = 0
	}
	for _, l := range t.Limits {
		s.setLimit(limitKey{l.Scope, CallsPerSecond}, l.CallsPerSecond, rateWindow)
		s.setLimit(limitKey{l.Scope, ConcurrentCalls}, l.ConcurrentCalls, maxRouteTimeout(t, l))
	}
	s.dropUnused(now)
	s.ordered = s.sortedByHash()
	s.refreshShares(now)
}

func (s *state) setLimit(key limitKey, limit int, maxUseTime time.Duration) {
	if limit <= 0 {
		return
	}
	a := s.allocations[key]
	if a == nil {
		a = newAllocation(key)
		s.allocations[key] = a
		s.byHash[a.hash] = a
	}
	a.limit = limit
	if maxUseTime > a.maxUseTime && key.kind == ConcurrentCalls {
		// The lenders computed the end of their loans from the shorter calls of the
		// previous tree.
		a.expireAllLoans()
	}
	a.maxUseTime = maxUseTime
}

// maxRouteTimeout returns the longest timeout of the routes that a limit covers.
func maxRouteTimeout(t *tree.Tree, l tree.Limit) time.Duration {
	longest := time.Duration(0)
	for _, s := range t.Services {
		for _, r := range s.Routes {
			if l.Covers(s.Member, s.Name, r.Rank) {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// dropUnused deletes the allocations of removed limits once none of their units
// is in use or lent.
func (s *state) dropUnused(now time.Duration) {
	for key, a := range s.allocations {
		a.advance(now)
		if a.limit == 0 && a.inUse() == 0 && len(a.lent) == 0 {
			delete(s.allocations, key)
			delete(s.byHash, a.hash)
		}
	}
}

// setSeats activates a seat table. applied is an offset that all seat holders have
// applied.
func (s *state) setSeats(now time.Duration, table seat.Table, applied int64) {
	s.table = table
	s.recordAppliedResizes(now, applied)
	heldSince := make(map[heldSeat]time.Duration)
	for _, number := range table.HeldBy(s.incarnation) {
		h, _ := table.Holder(number)
		key := heldSeat{seat: number, offset: h.Offset}
		heldSince[key] = now
		if before, ok := s.seatHeldSince[key]; ok {
			heldSince[key] = before
		}
	}
	s.seatHeldSince = heldSince
	s.refreshShares(now)
}

// refreshShares computes this entry's own units of each limit from its seats.
func (s *state) refreshShares(now time.Duration) {
	if s.tree == nil {
		return
	}
	for _, a := range s.allocations {
		counts := seatCounts(s.table, s.newestAppliedResize(now-reclaimDelay(a.maxUseTime)), s.tree.Seats)
		a.own = 0
		for held, since := range s.seatHeldSince {
			if s.usable(now, a, held, since) {
				a.own += minShare(a.limit, counts, held.seat, a.hash)
			}
		}
	}
}

// usable reports whether the previous holder of a seat can no longer use its
// share of the limit.
func (s *state) usable(now time.Duration, a *allocation, held heldSeat, since time.Duration) bool {
	h, _ := s.table.Holder(held.seat)
	if !h.Reused {
		return true
	}
	return now-since >= handoverDelay(a.maxUseTime)
}

// handoverDelay is how long the share of a reassigned seat stays unusable. Within
// this time the previous holder has applied the record or has been fenced, its
// loans have expired and its calls have ended.
func handoverDelay(maxUseTime time.Duration) time.Duration {
	return maxPropagationDelay + contactTimeout + reclaimDelay(maxUseTime)
}

// reclaimDelay is how long units may still be in use after their owner has lent or
// lost them: until the loans have expired and the calls have ended.
func reclaimDelay(maxUseTime time.Duration) time.Duration {
	return loanTTL + maxUseTime + clockMargin
}

// recordAppliedResizes records when all seat holders had applied each change of
// the number of seats.
func (s *state) recordAppliedResizes(now time.Duration, applied int64) {
	for _, r := range s.table.Resizes() {
		_, recorded := s.resizeAppliedAt[r.Offset]
		if r.Offset <= applied && !recorded {
			s.resizeAppliedAt[r.Offset] = now
		}
	}
}

// newestAppliedResize returns the offset of the newest change of the number of
// seats that all seat holders had applied at the given time, or -1.
func (s *state) newestAppliedResize(then time.Duration) int64 {
	newest := int64(-1)
	for offset, at := range s.resizeAppliedAt {
		if at <= then {
			newest = max(newest, offset)
		}
	}
	return newest
}

// limitsOf returns the limits that apply to a call.
func (s *state) limitsOf(scope tree.Scope) []*allocation {
	if limits, ok := s.limitsByScope[scope]; ok {
		return limits
	}
	var limits []*allocation
	for _, l := range s.treeLimits() {
		if !l.Covers(scope.Member, scope.Service, scope.Rank) {
			continue
		}
		for _, k := range []Kind{CallsPerSecond, ConcurrentCalls} {
			if a := s.allocations[limitKey{l.Scope, k}]; a != nil && a.limit > 0 {
				limits = append(limits, a)
			}
		}
	}
	s.limitsByScope[scope] = limits
	return limits
}

func (s *state) treeLimits() []tree.Limit {
	if s.tree == nil {
		return nil
	}
	return s.tree.Limits
}

// tryAcquire records the demand of one call and takes one unit of each limit, or
// none at all. It returns the limit that refused, or nil.
func (s *state) tryAcquire(now time.Duration, limits []*allocation) *allocation {
	closed := s.fence.closed(now)
	for _, a := range limits {
		a.advance(now)
		a.recordDemand(now, closed || a.free() < 1)
	}
	return s.takeUnits(now, limits)
}

// takeUnits takes one unit of each limit, or none at all. It returns the limit that
// refused, or nil.
func (s *state) takeUnits(now time.Duration, limits []*allocation) *allocation {
	closed := s.fence.closed(now)
	for _, a := range limits {
		a.advance(now)
		if closed || a.free() < 1 {
			return a
		}
	}
	for _, a := range limits {
		a.takeUnit(now)
	}
	return nil
}

// release frees the units of a call that has ended.
func (s *state) release(limits []*allocation) {
	for _, a := range limits {
		if a.key.kind == ConcurrentCalls {
			a.running--
		}
	}
}

// handlePause handles a clock gap, after which this entry may not have run for a
// while. It fences the entry until its next contact and expires its loans.
func (s *state) handlePause(now time.Duration) {
	s.fence.recordGap(now)
	for _, a := range s.allocations {
		a.expireAllLoans()
	}
}

// sortedByHash returns the allocations in a fixed order.
func (s *state) sortedByHash() []*allocation {
	all := make([]*allocation, 0, len(s.allocations))
	for _, a := range s.allocations {
		all = append(all, a)
	}
	slices.SortFunc(all, func(x, y *allocation) int {
		if x.hash < y.hash {
			return -1
		}
		return 1
	})
	return all
}
