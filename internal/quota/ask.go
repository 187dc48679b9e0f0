package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// renewTime is the age at which a loan is renewed. What is left of the term
	// allows a few more tries.
	renewTime = loanTime - 3*time.Second
	// retryTime is the time between two tries to renew a loan.
	retryTime = time.Second
	// fanOut is how many peers are asked at a time for more of one limit.
	fanOut = 8
	// deniedTime is how long a peer that had nothing to lend is not asked for more.
	deniedTime = 4 * time.Second
	// shortestPause and longestPause bound the time between two rounds of asking
	// for more of one limit; it doubles while nobody has anything to lend.
	shortestPause = 100 * time.Millisecond
	longestPause  = 4 * time.Second
	// borrowerTime is how long a silent borrower without loans is remembered.
	borrowerTime = 10 * time.Minute
	// answerTime is how long an answer is waited for.
	answerTime = time.Second
)

// Peer is another entry that may lend.
type Peer struct {
	// Incarnation is the entry process.
	Incarnation string
	// Address is its net/rpc address.
	Address string
}

// asks keeps the requests in progress.
type asks struct {
	sequence uint64
	pending  map[string]ask // by lender
	denied   map[denial]time.Duration
}

// ask is one request that has no answer yet.
type ask struct {
	sequence uint64
	sent     time.Duration
}

// denial is a limit of which a lender had nothing to lend.
type denial struct {
	lender string
	limit  uint64
}

// order is a request to be sent.
type order struct {
	to      Peer
	request peer.BorrowRequest
}

func newAsks() asks {
	return asks{pending: make(map[string]ask), denied: make(map[denial]time.Duration)}
}

// plan returns the requests to send now: renewals, wishes for more, and loans
// given back. Each peer has at most one request without an answer.
func (b *book) plan(now time.Duration, peers []Peer, random *rand.Rand) []order {
	b.refreshShares(now)
	b.forgetDenials(now)
	b.forgetBorrowers(now)
	idle := b.idlePeers(now, peers, random)
	items := make(map[string][]peer.BorrowItem)
	for _, a := range b.ordered {
		a.advance(now)
		b.planLimit(now, a, idle, items)
	}
	var orders []order
	for _, p := range idle {
		if len(items[p.Incarnation]) == 0 {
			continue
		}
		b.asks.sequence++
		b.asks.pending[p.Incarnation] = ask{sequence: b.asks.sequence, sent: now}
		orders = append(orders, order{to: p, request: peer.BorrowRequest{
			Lender:   p.Incarnation,
			Borrower: b.incarnation,
			Sequence: b.asks.sequence,
			Items:    items[p.Incarnation],
		}})
	}
	return orders
}

// idlePeers returns the peers without an unanswered request, in random order.
func (b *book) idlePeers(now time.Duration, peers []Peer, random *rand.Rand) []Peer {
	var idle []Peer
	for _, p := range peers {
		pending, waiting := b.asks.pending[p.Incarnation]
		if waiting && now-pending.sent <= answerTime || p.Incarnation == b.incarnation {
			continue
		}
		idle = append(idle, p)
	}
	random.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	return idle
}

func (b *book) forgetDenials(now time.Duration) {
	for d, until := range b.asks.denied {
		if until <= now {
			delete(b.asks.denied, d)
		}
	}
}

// forgetBorrowers drops the sequence numbers of borrowers whose loans are over.
func (b *book) forgetBorrowers(now time.Duration) {
	for name, known := range b.borrowers {
		if now-known.asked > borrowerTime && !b.lendsTo(name) {
			delete(b.borrowers, name)
		}
	}
}

func (b *book) lendsTo(name string) bool {
	for _, a := range b.accounts {
		if a.lent[name] != nil {
			return true
		}
	}
	return false
}

// planLimit adds one limit's items to the requests.
func (b *book) planLimit(now time.Duration, a *account, idle []Peer, items map[string][]peer.BorrowItem) {
	missing := a.target(now) - a.present()
	var lenders []Peer
	switch {
	case missing <= 0:
		a.askAgain(now)
		if len(a.borrowed) == 0 {
			return
		}
	case now >= a.askAt:
		lenders = b.willing(a, idle)
		a.pauseAsking(now)
	}
	more := 0
	if len(lenders) > 0 {
		more = (missing + len(lenders) - 1) / len(lenders)
	}
	for _, p := range idle {
		held, due := b.held(now, a, p, &missing)
		want := held
		if slices.Contains(lenders, p) {
			want += more
		}
		if !due && want == held {
			continue
		}
		items[p.Incarnation] = append(items[p.Incarnation], peer.BorrowItem{
			Limit: a.hash, Held: held, Want: want, Busy: a.busyTime,
		})
	}
}

// pauseAsking sets when more is asked for again, if nobody grants anything now.
func (a *account) pauseAsking(now time.Duration) {
	a.pause = min(max(2*a.pause, shortestPause), longestPause)
	a.askAt = now + a.pause
}

// askAgain ends the pause after a grant.
func (a *account) askAgain(now time.Duration) {
	a.pause = 0
	a.askAt = now
}

// held returns what this entry keeps of a lender's units, after giving up what it
// does not need, and whether the lender has to be told now.
func (b *book) held(now time.Duration, a *account, p Peer, missing *int) (units int, due bool) {
	l := a.borrowed[p.Incarnation]
	if l == nil {
		return 0, false
	}
	due = now-l.renewed >= renewTime && now-l.tried >= retryTime
	if *missing < 0 {
		given := a.giveUp(l, -*missing)
		*missing += given
		due = due || given > 0
	}
	if due {
		l.tried = now
	}
	return a.heldOf(l), due
}

// willing returns the first peers that have not just denied the limit.
func (b *book) willing(a *account, idle []Peer) []Peer {
	var peers []Peer
	for _, p := range idle {
		if _, denied := b.asks.denied[denial{p.Incarnation, a.hash}]; denied {
			continue
		}
		if peers = append(peers, p); len(peers) == fanOut {
			break
		}
	}
	return peers
}

// answered books the answer to an order; a late one has no effect.
func (b *book) answered(now time.Duration, o order, reply peer.BorrowReply) {
	pending, waiting := b.asks.pending[o.to.Incarnation]
	if !waiting || pending.sequence != o.request.Sequence {
		return
	}
	delete(b.asks.pending, o.to.Incarnation)
	if len(reply.Granted) != len(o.request.Items) {
		return
	}
	for i, item := range o.request.Items {
		a := b.byHash[item.Limit]
		if a == nil {
			continue
		}
		a.advance(now)
		a.accept(o.to.Incarnation, pending.sent, min(max(0, reply.Granted[i]), item.Want))
		if reply.Granted[i] > item.Held {
			a.askAgain(now)
		}
		if reply.Granted[i] < item.Want {
			b.asks.denied[denial{o.to.Incarnation, item.Limit}] = now + deniedTime
		}
	}
}

// failed books an order without an answer.
func (b *book) failed(now time.Duration, o order) {
	pending, waiting := b.asks.pending[o.to.Incarnation]
	if !waiting || pending.sequence != o.request.Sequence {
		return
	}
	delete(b.asks.pending, o.to.Incarnation)
	for _, item := range o.request.Items {
		b.asks.denied[denial{o.to.Incarnation, item.Limit}] = now + deniedTime
	}
}

// lend answers a borrower. It returns false where nothing may be lent: the
// request is for another incarnation, is older than one already seen, or this
// entry is fenced.
func (b *book) lend(now time.Duration, r *peer.BorrowRequest) (peer.BorrowReply, bool) {
	if r.Lender != b.incarnation || r.Sequence <= b.borrowers[r.Borrower].sequence || b.fence.closed(now) {
		return peer.BorrowReply{}, false
	}
	b.borrowers[r.Borrower] = borrower{sequence: r.Sequence, asked: now}
	b.refreshShares(now)
	reply := peer.BorrowReply{Granted: make([]int, len(r.Items))}
	for i, item := range r.Items {
		a := b.byHash[item.Limit]
		if a == nil {
			continue
		}
		reply.Granted[i] = a.lend(now, r.Borrower, item.Held, item.Want, item.Busy)
	}
	return reply, true
}
