package quota

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// renewAfter is the age at which a loan is renewed. The rest of its TTL leaves
	// time for a few retries.
	renewAfter = loanTTL - 3*time.Second
	// renewRetryInterval is the time between two attempts to renew a loan.
	renewRetryInterval = time.Second
	// fanOut is how many peers are asked concurrently for more units of one limit.
	fanOut = 8
	// denialTTL is how long a peer that granted less than requested is not asked
	// for more units of that limit.
	denialTTL = 4 * time.Second
	// minBackoff and maxBackoff bound the time between two requests for more units
	// of one limit. It doubles while no peer has any to lend.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 4 * time.Second
	// borrowerTTL is how long the sequence number of a borrower without loans is
	// kept after its last request.
	borrowerTTL = 10 * time.Minute
	// requestTimeout is how long to wait for the reply to a borrow request.
	requestTimeout = time.Second
)

// Peer is another entry, which may lend units.
type Peer struct {
	// Incarnation identifies the entry process.
	Incarnation string
	// Address is its net/rpc address.
	Address string
}

// requestTracker holds the requests in progress and the recent denials.
type requestTracker struct {
	lastSequence uint64
	pending      map[string]pendingRequest // by lender
	denials      map[denial]time.Duration  // expiry
}

// pendingRequest is a request without a reply so far.
type pendingRequest struct {
	sequence uint64
	sentAt   time.Duration
}

// denial identifies a limit and a lender that had no more units of it to lend.
type denial struct {
	lender string
	limit  uint64
}

// outgoingRequest is a request to send to a lender.
type outgoingRequest struct {
	lender  Peer
	request peer.BorrowRequest
}

func newRequestTracker() requestTracker {
	return requestTracker{pending: make(map[string]pendingRequest), denials: make(map[denial]time.Duration)}
}

// plan returns the requests to send now. They renew loans, ask for more units and
// return unneeded ones. Each peer has at most one request in progress.
func (s *state) plan(now time.Duration, peers []Peer, random *rand.Rand) []outgoingRequest {
	s.refreshShares(now)
	s.expireDenials(now)
	s.expireBorrowers(now)
	idle := s.idlePeers(now, peers, random)
	items := make(map[string][]peer.BorrowItem)
	for _, a := range s.ordered {
		a.advance(now)
		s.planLimit(now, a, idle, items)
	}
	var outgoing []outgoingRequest
	for _, p := range idle {
		if len(items[p.Incarnation]) == 0 {
			continue
		}
		s.requests.lastSequence++
		s.requests.pending[p.Incarnation] = pendingRequest{sequence: s.requests.lastSequence, sentAt: now}
		outgoing = append(outgoing, outgoingRequest{lender: p, request: peer.BorrowRequest{
			Lender:   p.Incarnation,
			Borrower: s.incarnation,
			Sequence: s.requests.lastSequence,
			Items:    items[p.Incarnation],
		}})
	}
	return outgoing
}

// idlePeers returns the peers without a pending request, in random order.
func (s *state) idlePeers(now time.Duration, peers []Peer, random *rand.Rand) []Peer {
	var idle []Peer
	for _, p := range peers {
		pending, isPending := s.requests.pending[p.Incarnation]
		if isPending && now-pending.sentAt <= requestTimeout || p.Incarnation == s.incarnation {
			continue
		}
		idle = append(idle, p)
	}
	random.Shuffle(len(idle), func(i, j int) { idle[i], idle[j] = idle[j], idle[i] })
	return idle
}

func (s *state) expireDenials(now time.Duration) {
	for d, until := range s.requests.denials {
		if until <= now {
			delete(s.requests.denials, d)
		}
	}
}

// expireBorrowers drops the sequence numbers of borrowers that have no loans and
// have sent no request for borrowerTTL.
func (s *state) expireBorrowers(now time.Duration) {
	for name, known := range s.borrowers {
		if now-known.lastRequestAt > borrowerTTL && !s.lendsTo(name) {
			delete(s.borrowers, name)
		}
	}
}

func (s *state) lendsTo(name string) bool {
	for _, a := range s.allocations {
		if a.lent[name] != nil {
			return true
		}
	}
	return false
}

// planLimit adds the items of one limit to the requests.
func (s *state) planLimit(now time.Duration, a *allocation, idle []Peer, items map[string][]peer.BorrowItem) {
	missing := a.target(now) - a.capacity()
	var lenders []Peer
	switch {
	case missing <= 0:
		a.resetBackoff(now)
		if len(a.borrowed) == 0 {
			return
		}
	case now >= a.nextBorrowAt:
		lenders = s.candidateLenders(a, idle)
		a.backOff(now)
	}
	more := 0
	if len(lenders) > 0 {
		more = (missing + len(lenders) - 1) / len(lenders)
	}
	for _, p := range idle {
		held, due := s.planLoan(now, a, p, &missing)
		want := held
		if slices.Contains(lenders, p) {
			want += more
		}
		if !due && want == held {
			continue
		}
		items[p.Incarnation] = append(items[p.Incarnation], peer.BorrowItem{
			Limit: a.hash, Held: held, Want: want, Busy: a.maxUseTime,
		})
	}
}

// backOff sets when to request more units again if no peer grants any now.
func (a *allocation) backOff(now time.Duration) {
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	a.nextBorrowAt = now + a.backoff
}

// resetBackoff allows the next request for more units immediately.
func (a *allocation) resetBackoff(now time.Duration) {
	a.backoff = 0
	a.nextBorrowAt = now
}

// planLoan returns unneeded units of a loan. It returns how many units of the
// lender this entry then holds, and whether a request to the lender is due now.
func (s *state) planLoan(now time.Duration, a *allocation, p Peer, missing *int) (units int, due bool) {
	l := a.borrowed[p.Incarnation]
	if l == nil {
		return 0, false
	}
	due = now-l.renewedAt >= renewAfter && now-l.renewalTriedAt >= renewRetryInterval
	if *missing < 0 {
		returned := a.returnUnits(l, -*missing)
		*missing += returned
		due = due || returned > 0
	}
	if due {
		l.renewalTriedAt = now
	}
	return a.heldUnits(l), due
}

// candidateLenders returns up to fanOut peers without a recent denial of the limit.
func (s *state) candidateLenders(a *allocation, idle []Peer) []Peer {
	var peers []Peer
	for _, p := range idle {
		if _, denied := s.requests.denials[denial{p.Incarnation, a.hash}]; denied {
			continue
		}
		if peers = append(peers, p); len(peers) == fanOut {
			break
		}
	}
	return peers
}

// handleReply applies the reply to a request. A late reply has no effect.
func (s *state) handleReply(now time.Duration, o outgoingRequest, reply peer.BorrowReply) {
	pending, isPending := s.requests.pending[o.lender.Incarnation]
	if !isPending || pending.sequence != o.request.Sequence {
		return
	}
	delete(s.requests.pending, o.lender.Incarnation)
	if len(reply.Granted) != len(o.request.Items) {
		return
	}
	for i, item := range o.request.Items {
		a := s.byHash[item.Limit]
		if a == nil {
			continue
		}
		a.advance(now)
		a.applyGrant(o.lender.Incarnation, pending.sentAt, min(max(0, reply.Granted[i]), item.Want))
		if reply.Granted[i] > item.Held {
			a.resetBackoff(now)
		}
		if reply.Granted[i] < item.Want {
			s.requests.denials[denial{o.lender.Incarnation, item.Limit}] = now + denialTTL
		}
	}
}

// handleFailure records that a request got no reply or was refused.
func (s *state) handleFailure(now time.Duration, o outgoingRequest) {
	pending, isPending := s.requests.pending[o.lender.Incarnation]
	if !isPending || pending.sequence != o.request.Sequence {
		return
	}
	delete(s.requests.pending, o.lender.Incarnation)
	for _, item := range o.request.Items {
		s.requests.denials[denial{o.lender.Incarnation, item.Limit}] = now + denialTTL
	}
}

// lend handles a borrower's request. It returns false if nothing may be lent: the
// request is for another incarnation, is not newer than the last one of this
// borrower, or this entry is fenced.
func (s *state) lend(now time.Duration, r *peer.BorrowRequest) (peer.BorrowReply, bool) {
	if r.Lender != s.incarnation || r.Sequence <= s.borrowers[r.Borrower].lastSequence || s.fence.closed(now) {
		return peer.BorrowReply{}, false
	}
	s.borrowers[r.Borrower] = borrower{lastSequence: r.Sequence, lastRequestAt: now}
	s.refreshShares(now)
	reply := peer.BorrowReply{Granted: make([]int, len(r.Items))}
	for i, item := range r.Items {
		a := s.byHash[item.Limit]
		if a == nil {
			continue
		}
		reply.Granted[i] = a.lend(now, r.Borrower, item.Held, item.Want, item.Busy)
	}
	return reply, true
}
