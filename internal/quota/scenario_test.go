package quota

import (
	"math"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// newPair returns a world whose first entry holds the only seat and whose second
// one lives on loans.
func newPair(t *testing.T, rate, calls int) (w *world, lender, borrower *node) {
	t.Helper()
	w = newWorld(2, 1, rate, calls)
	w.claim(w.nodes[0])
	w.settle(1)
	return w, w.nodes[0], w.nodes[1]
}

// borrowAll lets the borrower have all that the lender is ready to lend, and
// ends with a second in which no call starts.
func borrowAll(w *world, borrower *node) {
	for range 12 {
		w.burst(borrower, 20)
		finishAll(w, borrower)
		w.settle(1)
	}
	w.advance(rateBusyTime)
	w.readLog(borrower)
}

func finishAll(w *world, n *node) {
	for len(n.inProgress) > 0 {
		w.finish(n)
	}
}

// untilTermEnds waits for the last moment at which all terms still run.
func untilTermEnds(t *testing.T, w *world, lender, borrower *node) {
	t.Helper()
	end := time.Duration(math.MaxInt64)
	for _, a := range borrower.limitsOf(scopeOfTest) {
		l := a.borrowed[lender.name]
		if l == nil {
			t.Fatal("nothing borrowed")
		}
		end = min(end, l.until)
	}
	w.advance(end - w.clock(borrower) - 2*time.Millisecond)
	w.readLog(borrower)
	w.readLog(lender)
}

func mustHold(t *testing.T, w *world) {
	t.Helper()
	if err := w.check(); err != nil {
		t.Error(err)
	}
}

func TestEntryWithoutSeatLivesOnLoans(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	w.logDown = true
	borrowAll(w, borrower)
	w.meet(borrower, lender)
	if got := w.burst(borrower, 20); got < 9 {
		t.Errorf("%d of 10 calls a second admitted by the only busy entry", got)
	}
	mustHold(t, w)
}

func TestReturnedUnitsOfARateCoolBeforeTheyAreUsedAgain(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	borrowAll(w, borrower)
	if w.burst(borrower, 20) == 0 {
		t.Fatal("the borrower admitted nothing")
	}
	r := peer.BorrowRequest{Lender: lender.name, Borrower: borrower.name, Sequence: 1 << 40}
	for _, a := range borrower.limitsOf(scopeOfTest) {
		l := a.borrowed[lender.name]
		a.giveUp(l, l.units)
		r.Items = append(r.Items, peer.BorrowItem{Limit: a.hash, Held: l.units, Want: l.units})
	}
	if _, ok := lender.lend(w.clock(lender), &r); !ok {
		t.Fatal("the lender refused its borrower's return")
	}
	w.burst(lender, 20)
	mustHold(t, w)
	w.advance(rateBusyTime + bucketTime)
	if got := w.burst(lender, 20); got < 8 {
		t.Errorf("%d calls admitted a second after the return", got)
	}
}

// newSeatedPair returns a world of two entries with a seat each.
func newSeatedPair(rate, calls int) (w *world, lender, borrower *node) {
	w = newWorld(2, 2, rate, calls)
	w.claim(w.nodes[0])
	w.claim(w.nodes[1])
	w.settle(1)
	return w, w.nodes[0], w.nodes[1]
}

// concurrentOf returns a node's limit on calls in progress.
func concurrentOf(n *node) *account {
	for _, a := range n.limitsOf(scopeOfTest) {
		if a.key.kind == ConcurrentCalls {
			return a
		}
	}
	return nil
}

func TestUnitsOfRunningCallsAreNotReportedAsFree(t *testing.T) {
	w, lender, borrower := newSeatedPair(100, 8)
	borrowAll(w, borrower)
	end := concurrentOf(borrower).borrowed[lender.name].until
	w.advance(end - w.clock(borrower) - 2*time.Millisecond)
	w.readLog(borrower)
	if got := w.burst(borrower, 20); got <= 4 {
		t.Fatalf("%d calls admitted, not more than the own share", got)
	}
	w.advance(5 * time.Millisecond) // the term ends while the calls run
	w.readLog(lender)
	for range 20 {
		w.burst(lender, 20) // wants its units back
		w.settle(1)
		w.burst(lender, 20)
		mustHold(t, w)
	}
}

func TestLenderKeepsTheUnitsOfItsOwnCalls(t *testing.T) {
	w, lender, borrower := newSeatedPair(100, 8)
	if got := w.burst(lender, 20); got != 4 {
		t.Fatalf("%d of 4 calls admitted", got)
	}
	for range 25 { // the lender forgets the demand, its calls still run
		w.settle(1)
	}
	for range 3 {
		w.burst(borrower, 20)
		w.settle(1)
	}
	w.burst(borrower, 20)
	mustHold(t, w)
}

func TestLenderWaitsForWhatTheBorrowerMayStillUse(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 10)
	borrowAll(w, borrower)
	untilTermEnds(t, w, lender, borrower)
	if w.burst(borrower, 20) == 0 {
		t.Fatal("the borrower admitted nothing")
	}
	borrower.severed = true
	for range 100 {
		w.advance(50 * time.Millisecond)
		w.readLog(lender)
		w.burst(lender, 20)
		mustHold(t, w)
	}
}

func TestLongCallsKeepTheirUnits(t *testing.T) {
	w, lender, borrower := newPair(t, 100, 8)
	borrowAll(w, borrower)
	w.burst(borrower, 20)
	w.burst(lender, 20)
	for range 28 { // both forget the demand, the calls still run
		w.settle(1)
	}
	w.burstAll(20)
	w.settle(1)
	w.burstAll(20)
	mustHold(t, w)
}

func TestOldRequestDoesNotReturnUnitsHeldSince(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	a := borrower.limitsOf(scopeOfTest)[0]
	old := peer.BorrowRequest{Lender: lender.name, Borrower: borrower.name, Sequence: 1, Items: []peer.BorrowItem{{Limit: a.hash}}}
	borrower.asks.sequence = 1
	borrowAll(w, borrower)
	if _, ok := lender.lend(w.clock(lender), &old); ok {
		t.Error("an overtaken request was answered")
	}
	w.burstAll(20)
	mustHold(t, w)
}

func TestTermRunsFromTheRequestOfTheBorrower(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	w.burst(borrower, 20)
	w.planNode(borrower)
	w.deliver(0, false) // the request
	w.advance(answerTime)
	w.readLog(borrower)
	w.deliver(0, false) // the answer, as late as can be
	l := borrower.limitsOf(scopeOfTest)[0].borrowed[lender.name]
	if l == nil || l.until > w.clock(borrower)-answerTime+loanTime {
		t.Errorf("loan %+v runs longer than from its request", l)
	}
}

func TestAnswerToAnOvertakenRequestIsDropped(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	w.burst(borrower, 5)
	w.planNode(borrower)
	first := w.messages[0]
	w.advance(answerTime + time.Millisecond)
	w.readLog(borrower)
	w.planNode(borrower) // the first one counts as lost
	if len(w.messages) < 2 {
		t.Fatal("no second request")
	}
	granted := make([]int, len(first.order.request.Items))
	for i, item := range first.order.request.Items {
		granted[i] = item.Want
	}
	borrower.answered(w.clock(borrower), first.order, peer.BorrowReply{Granted: granted})
	if got := borrower.limitsOf(scopeOfTest)[0].borrowedSum; got != 0 {
		t.Errorf("%d units booked from the answer to an overtaken request of %s", got, lender.name)
	}
}

func TestPausedEntrySpendsNothingBeforeItHears(t *testing.T) {
	w, lender, borrower := newPair(t, 10, 100)
	lender.paused = true
	w.advance(fenceTime + time.Millisecond)
	lender.paused = false
	if got := w.burst(lender, 5); got != 0 {
		t.Errorf("%d calls admitted after a pause", got)
	}
	w.meet(lender, borrower)
	w.readLog(borrower)
	w.meet(lender, borrower)
	if got := w.burst(lender, 5); got != 5 {
		t.Errorf("%d of 5 calls admitted after a peer was heard", got)
	}
}

func TestLogOutageOfHoursStopsNobody(t *testing.T) {
	w := newWorld(3, 3, 9, 100)
	for _, n := range w.nodes {
		w.claim(n)
	}
	w.settle(1)
	w.logDown = true
	for range 3 * 3600 {
		w.advance(time.Second)
		for i, n := range w.nodes {
			w.meet(n, w.nodes[(i+1)%3])
		}
	}
	for _, n := range w.nodes {
		if got := w.burst(n, 20); got != 3 {
			t.Errorf("%s admitted %d of its 3 calls", n.name, got)
		}
	}
	mustHold(t, w)
}

func TestNarrowedLimitHoldsWithinSeconds(t *testing.T) {
	w, _, borrower := newPair(t, 12, 100)
	borrowAll(w, borrower)
	w.log = append(w.log, record{rate: 4, calls: 100, seats: 1})
	for range 60 {
		w.settle(1)
		w.burstAll(20)
	}
	w.former = nil // six seconds later only the new limit counts
	mustHold(t, w)
}

func TestSharesAddUp(t *testing.T) {
	for _, seats := range []int{1, 2, 13, 19} {
		for _, total := range []int{0, 1, 5, 13, 100, 4999} {
			sum := 0
			for number := range seats {
				s := share(total, seats, number, 7)
				sum += s
				if wider := share(total+1, seats, number, 7); wider < s {
					t.Errorf("a wider limit narrowed seat %d of %d", number, seats)
				}
			}
			if sum != total {
				t.Errorf("%d seats of %d add up to %d", seats, total, sum)
			}
		}
	}
}
