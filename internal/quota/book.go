package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// spreadTime is how long a record may take until each entry that is in contact
// with the log or a peer has applied it.
const spreadTime = 11 * time.Second

// book is the whole state of one entry's voted limits: pure decisions on the
// time that it is given, without goroutines, locks or clocks of its own.
type book struct {
	incarnation string
	fence       fence
	tree        *tree.Tree
	table       seat.Table
	settled     map[int64]time.Duration // when all holders had applied a resize, by its offset
	accounts    map[limitKey]*account
	byHash      map[uint64]*account
	ordered     []*account // by hash
	covering    map[tree.Scope][]*account
	seatSeen    map[seatTerm]time.Duration
	borrowers   map[string]borrower
	asks        asks
}

// seatTerm is one term of this entry in a seat.
type seatTerm struct {
	seat   int
	offset int64
}

// borrower is what is known of an entry that has asked for loans.
type borrower struct {
	sequence uint64 // of its last request
	asked    time.Duration
}

func newBook(incarnation string) *book {
	return &book{
		incarnation: incarnation,
		settled:     make(map[int64]time.Duration),
		accounts:    make(map[limitKey]*account),
		byHash:      make(map[uint64]*account),
		covering:    make(map[tree.Scope][]*account),
		seatSeen:    make(map[seatTerm]time.Duration),
		borrowers:   make(map[string]borrower),
		asks:        newAsks(),
	}
}

// LimitID returns the number that stands for a limit in the messages between
// entries.
func LimitID(scope tree.Scope, k Kind) uint64 { return hashKey(limitKey{scope, k}) }

func hashKey(k limitKey) uint64 {
	parts := []string{k.scope.Member, k.scope.Service, k.scope.Rank, string(rune('0' + k.kind))}
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// setTree puts the limits of a tree in force.
func (b *book) setTree(now time.Duration, t *tree.Tree) {
	b.tree = t
	clear(b.covering)
	for _, a := range b.accounts {
		a.limit = 0
	}
	for _, l := range t.Limits {
		b.setLimit(limitKey{l.Scope, CallsPerSecond}, l.CallsPerSecond, rateBusyTime)
		b.setLimit(limitKey{l.Scope, ConcurrentCalls}, l.ConcurrentCalls, longestCall(t, l))
	}
	b.dropUnused(now)
	b.ordered = b.sorted()
	b.refreshShares(now)
}

func (b *book) setLimit(key limitKey, limit int, busyTime time.Duration) {
	if limit <= 0 {
		return
	}
	a := b.accounts[key]
	if a == nil {
		a = newAccount(key)
		b.accounts[key] = a
		b.byHash[a.hash] = a
	}
	a.limit = limit
	if busyTime > a.busyTime && key.kind == ConcurrentCalls {
		// Lenders count on the shorter calls of the old tree.
		a.endTerms()
	}
	a.busyTime = busyTime
}

// longestCall returns the longest deadline of the calls that a limit governs.
func longestCall(t *tree.Tree, l tree.Limit) time.Duration {
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

// dropUnused forgets the accounts of limits that are no more.
func (b *book) dropUnused(now time.Duration) {
	for key, a := range b.accounts {
		a.advance(now)
		if a.limit == 0 && a.busy() == 0 && len(a.lent) == 0 {
			delete(b.accounts, key)
			delete(b.byHash, a.hash)
		}
	}
}

// setSeats puts a table of seats in force. Applied is an offset that all holders
// of seats have applied.
func (b *book) setSeats(now time.Duration, table seat.Table, applied int64) {
	b.table = table
	b.settle(now, applied)
	seen := make(map[seatTerm]time.Duration)
	for _, number := range table.HeldBy(b.incarnation) {
		h, _ := table.Holder(number)
		term := seatTerm{seat: number, offset: h.Offset}
		seen[term] = now
		if before, ok := b.seatSeen[term]; ok {
			seen[term] = before
		}
	}
	b.seatSeen = seen
	b.refreshShares(now)
}

// refreshShares computes each limit's own units from the seats held.
func (b *book) refreshShares(now time.Duration) {
	if b.tree == nil {
		return
	}
	for _, a := range b.accounts {
		sizes := sizesOf(b.table, b.settledBefore(now-restTime(a.busyTime)), b.tree.Seats)
		a.own = 0
		for term, seen := range b.seatSeen {
			if b.usable(now, a, term, seen) {
				a.own += smallestShare(a.limit, sizes, term.seat, a.hash)
			}
		}
	}
}

// usable reports whether the former holder of a seat can no longer use it.
func (b *book) usable(now time.Duration, a *account, term seatTerm, seen time.Duration) bool {
	h, _ := b.table.Holder(term.seat)
	if !h.Reused {
		return true
	}
	return now-seen >= quietTime(a.busyTime)
}

// quietTime is how long the share of a seat that changed hands rests: the former
// holder may learn of it late or be fenced, its loans run out and its calls end.
func quietTime(busyTime time.Duration) time.Duration {
	return spreadTime + fenceTime + restTime(busyTime)
}

// restTime is how long units may still be used that an entry no longer owns: its
// loans run out and its calls end.
func restTime(busyTime time.Duration) time.Duration {
	return loanTime + busyTime + clockMargin
}

// settle notes the changes of the number of seats that all holders have applied.
func (b *book) settle(now time.Duration, applied int64) {
	for _, r := range b.table.Resizes() {
		_, known := b.settled[r.Offset]
		if r.Offset <= applied && !known {
			b.settled[r.Offset] = now
		}
	}
}

// settledBefore returns the offset of the newest change of the number of seats
// that all holders had applied by then, or -1.
func (b *book) settledBefore(then time.Duration) int64 {
	newest := int64(-1)
	for offset, at := range b.settled {
		if at <= then {
			newest = max(newest, offset)
		}
	}
	return newest
}

// limitsOf returns the limits that govern a call.
func (b *book) limitsOf(scope tree.Scope) []*account {
	if accounts, ok := b.covering[scope]; ok {
		return accounts
	}
	var accounts []*account
	for _, l := range b.treeLimits() {
		if !l.Covers(scope.Member, scope.Service, scope.Rank) {
			continue
		}
		for _, k := range []Kind{CallsPerSecond, ConcurrentCalls} {
			if a := b.accounts[limitKey{l.Scope, k}]; a != nil && a.limit > 0 {
				accounts = append(accounts, a)
			}
		}
	}
	b.covering[scope] = accounts
	return accounts
}

func (b *book) treeLimits() []tree.Limit {
	if b.tree == nil {
		return nil
	}
	return b.tree.Limits
}

// spend takes one unit of each limit, or none. It returns the limit that refused.
func (b *book) spend(now time.Duration, limits []*account) *account {
	closed := b.fence.closed(now)
	for _, a := range limits {
		a.advance(now)
		a.note(now, closed || a.free() < 1)
	}
	return b.take(now, limits)
}

// take takes a unit of each limit, or none and returns the limit that refuses.
func (b *book) take(now time.Duration, limits []*account) *account {
	closed := b.fence.closed(now)
	for _, a := range limits {
		a.advance(now)
		if closed || a.free() < 1 {
			return a
		}
	}
	for _, a := range limits {
		a.take(now)
	}
	return nil
}

// end gives back the units of a call in progress.
func (b *book) end(limits []*account) {
	for _, a := range limits {
		if a.key.kind == ConcurrentCalls {
			a.running--
		}
	}
}

// pause notes that this entry did not run for a while: it spends nothing until
// it hears from others again.
func (b *book) pause(now time.Duration) {
	b.fence.noteGap(now)
	for _, a := range b.accounts {
		a.endTerms()
	}
}

// sorted returns the accounts in a fixed order.
func (b *book) sorted() []*account {
	all := make([]*account, 0, len(b.accounts))
	for _, a := range b.accounts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(x, y *account) int {
		if x.hash < y.hash {
			return -1
		}
		return 1
	})
	return all
}
