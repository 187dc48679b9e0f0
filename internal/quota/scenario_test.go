package quota

import (
	"math"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// newPair returns a world of two entries. The first one holds the only seat, the
// second one has only borrowed units.
func newPair(t *testing.T, rate, calls int) (w *world, lender, borrower *node) {
	t.Helper()
	w = newWorld(2, 1, rate, calls)
	w.claim(w.nodes[0])
	w.runRounds(1)
	return w, w.nodes[0], w.nodes[1]
}

// borrowAll makes the borrower borrow all units that the lender may lend. It ends
// with a second in which no call starts.
func borrowAll(w *world, borrower *node) {
	for range 12 {
		w.burst(borrower, 20)
		finishAll(w, borrower)
		w.runRounds(1)
	}
	w.advance(rateWindow)
	w.readLog(borrower)
}

func finishAll(w *world, n *node) {
	for len(n.inProgress) > 0 {
		w.finish(n)
	}
}

// advanceToLoanEnd advances the time to just before the first loan expires.
func advanceToLoanEnd(t *testing.T, w *world, lender, borrower *node) {
	t.Helper()
	end := time.Duration(math.MaxInt64)
	for _, a := range borrower.limitsOf(testScope) {
		l := a.borrowed[lender.name]
		if l == nil {
			t.Fatal("the borrower has no loan of one of the limits")
		}
		end = min(end, l.expiresAt)
	}
	w.advance(end - w.clock(borrower) - 2*time.Millisecond)
	w.readLog(borrower)
	w.readLog(lender)
}

func checkLimits(t *testing.T, w *world) {
	t.Helper()
	if err := w.check(); err != nil {
		t.Error(err)
	}
}

func TestEntryWithoutSeatLivesOnLoans(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	w.logDown = true
	borrowAll(w, borrower)
	w.receiveFrom(borrower, lender)
	if got := w.burst(borrower, 20); got < 9 {
		t.Errorf("the only busy entry admitted %d of 10 calls per second, want at least 9", got)
	}
	checkLimits(t, w)
}

func TestReturnedUnitsOfARateCoolBeforeTheyAreUsedAgain(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	borrowAll(w, borrower)
	if w.burst(borrower, 20) == 0 {
		t.Fatal("the borrower admitted no call, want at least one")
	}
	r := peer.BorrowRequest{Lender: lender.name, Borrower: borrower.name, Sequence: 1 << 40}
	for _, a := range borrower.limitsOf(testScope) {
		l := a.borrowed[lender.name]
		a.returnUnits(l, l.units)
		r.Items = append(r.Items, peer.BorrowItem{Limit: a.hash, Held: l.units, Want: l.units})
	}
	if _, ok := lender.lend(w.clock(lender), &r); !ok {
		t.Fatal("the lender refused the request that returns its units")
	}
	w.burst(lender, 20)
	checkLimits(t, w)
	w.advance(rateWindow + bucketWidth)
	if got := w.burst(lender, 20); got < 8 {
		t.Errorf("lender admitted %d calls one second after the return, want at least 8", got)
	}
}

// newSeatedPair returns a world of two entries with one seat each.
func newSeatedPair(rate, calls int) (w *world, lender, borrower *node) {
	w = newWorld(2, 2, rate, calls)
	w.claim(w.nodes[0])
	w.claim(w.nodes[1])
	w.runRounds(1)
	return w, w.nodes[0], w.nodes[1]
}

// concurrentOf returns a node's limit on calls in progress.
func concurrentOf(n *node) *allocation {
	for _, a := range n.limitsOf(testScope) {
		if a.key.kind == ConcurrentCalls {
			return a
		}
	}
	return nil
}

func TestUnitsOfRunningCallsAreNotReportedAsFree(t *testing.T) {
	w, lender, borrower := newSeatedPair(100, 8)
	borrowAll(w, borrower)
	end := concurrentOf(borrower).borrowed[lender.name].expiresAt
	w.advance(end - w.clock(borrower) - 2*time.Millisecond)
	w.readLog(borrower)
	if got := w.burst(borrower, 20); got <= 4 {
		t.Fatalf("borrower admitted %d calls, want more than its own share of 4", got)
	}
	w.advance(5 * time.Millisecond) // the loan expires while the calls run
	w.readLog(lender)
	for range 20 {
		w.burst(lender, 20) // creates demand for the lent units
		w.runRounds(1)
		w.burst(lender, 20)
		checkLimits(t, w)
	}
}

func TestLenderKeepsTheUnitsOfItsOwnCalls(t *testing.T) {
	w, lender, borrower := newSeatedPair(100, 8)
	if got := w.burst(lender, 20); got != 4 {
		t.Fatalf("lender admitted %d calls, want the 4 of its own share", got)
	}
	for range 25 { // the lender's demand drops to zero while its calls still run
		w.runRounds(1)
	}
	for range 3 {
		w.burst(borrower, 20)
		w.runRounds(1)
	}
	w.burst(borrower, 20)
	checkLimits(t, w)
}

func TestLenderWaitsForWhatTheBorrowerMayStillUse(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 10)
	borrowAll(w, borrower)
	advanceToLoanEnd(t, w, lender, borrower)
	if w.burst(borrower, 20) == 0 {
		t.Fatal("the borrower admitted no call, want at least one")
	}
	borrower.partitioned = true
	for range 100 {
		w.advance(50 * time.Millisecond)
		w.readLog(lender)
		w.burst(lender, 20)
		checkLimits(t, w)
	}
}

func TestLongCallsKeepTheirUnits(t *testing.T) {
	w, lender, borrower := newPair(t, 100, 8)
	borrowAll(w, borrower)
	w.burst(borrower, 20)
	w.burst(lender, 20)
	for range 28 { // the demand of both drops to zero while their calls still run
		w.runRounds(1)
	}
	w.burstAll(20)
	w.runRounds(1)
	w.burstAll(20)
	checkLimits(t, w)
}

func TestOldRequestDoesNotReturnUnitsHeldSince(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	a := borrower.limitsOf(testScope)[0]
	old := peer.BorrowRequest{Lender: lender.name, Borrower: borrower.name, Sequence: 1, Items: []peer.BorrowItem{{Limit: a.hash}}}
	borrower.requests.lastSequence = 1
	borrowAll(w, borrower)
	if _, ok := lender.lend(w.clock(lender), &old); ok {
		t.Error("the lender granted a request that is older than the last one")
	}
	w.burstAll(20)
	checkLimits(t, w)
}

func TestTermRunsFromTheRequestOfTheBorrower(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	w.burst(borrower, 20)
	w.planNode(borrower)
	w.deliver(0, false) // the request
	w.advance(requestTimeout)
	w.readLog(borrower)
	w.deliver(0, false) // the reply, just within the timeout
	l := borrower.limitsOf(testScope)[0].borrowed[lender.name]
	if l == nil || l.expiresAt > w.clock(borrower)-requestTimeout+loanTTL {
		t.Errorf("loan %+v: want a loan that expires at most loanTTL after its request was sent", l)
	}
}

func TestAnswerToAnOvertakenRequestIsDropped(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	w.burst(borrower, 5)
	w.planNode(borrower)
	first := w.messages[0]
	w.advance(requestTimeout + time.Millisecond)
	w.readLog(borrower)
	w.planNode(borrower) // the first request counts as lost
	if len(w.messages) < 2 {
		t.Fatal("no second request was sent after the timeout of the first")
	}
	granted := make([]int, len(first.outgoing.request.Items))
	for i, item := range first.outgoing.request.Items {
		granted[i] = item.Want
	}
	borrower.handleReply(w.clock(borrower), first.outgoing, peer.BorrowReply{Granted: granted})
	if got := borrower.limitsOf(testScope)[0].borrowedSum; got != 0 {
		t.Errorf("%d units borrowed from the late reply of %s to a timed-out request, want 0", got, lender.name)
	}
}

func TestPausedEntrySpendsNothingBeforeItHears(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	lender.paused = true
	w.advance(contactTimeout + time.Millisecond)
	lender.paused = false
	if got := w.burst(lender, 5); got != 0 {
		t.Errorf("%d calls admitted after a pause without contact, want 0", got)
	}
	w.receiveFrom(lender, borrower)
	w.readLog(borrower)
	w.receiveFrom(lender, borrower)
	if got := w.burst(lender, 5); got != 5 {
		t.Errorf("%d calls admitted after contact with a peer, want 5", got)
	}
}

func TestLogOutageOfHoursStopsNobody(t *testing.T) {
	w := newWorld(3, 3, 9, 100)
	for _, n := range w.nodes {
		w.claim(n)
	}
	w.runRounds(1)
	w.logDown = true
	for range 3 * 3600 {
		w.advance(time.Second)
		for i, n := range w.nodes {
			w.receiveFrom(n, w.nodes[(i+1)%3])
		}
	}
	for _, n := range w.nodes {
		if got := w.burst(n, 20); got != 3 {
			t.Errorf("%s admitted %d calls during the log outage, want its share of 3", n.name, got)
		}
	}
	checkLimits(t, w)
}

func TestNarrowedLimitHoldsWithinSeconds(t *testing.T) {
	w, _, borrower := newPair(t, 12, 100)
	borrowAll(w, borrower)
	w.log = append(w.log, record{rate: 4, calls: 100, seats: 1})
	for range 60 {
		w.runRounds(1)
		w.burstAll(20)
	}
	w.formerLimits = nil // six seconds later only the new limit may be used
	checkLimits(t, w)
}

func TestSharesAddUp(t *testing.T) {
	for _, seats := range []int{1, 2, 13, 19} {
		for _, total := range []int{0, 1, 5, 13, 100, 4999} {
			sum := 0
			for number := range seats {
				s := share(total, seats, number, 7)
				sum += s
				if wider := share(total+1, seats, number, 7); wider < s {
					t.Errorf("a larger limit has a smaller share for seat %d of %d", number, seats)
				}
			}
			if sum != total {
				t.Errorf("the shares of %d seats of a limit of %d add up to %d", seats, total, sum)
			}
		}
	}
}
