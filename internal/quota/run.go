package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// ReceiverName is the name under which Receiver is registered with a peer.Server.
const ReceiverName = "Escrow"

const (
	// planTime is the shortest time between two rounds of borrowing.
	planTime = 100 * time.Millisecond
	// calmTime is the time between two rounds while no call is refused.
	calmTime = time.Second
)

// Run borrows and gives back until ctx ends, and returns when the requests in
// progress have ended.
func (l *Limiter) Run(ctx context.Context) {
	if l.opts.Client == nil || l.opts.Peers == nil {
		<-ctx.Done()
		return
	}
	var asking sync.WaitGroup
	defer asking.Wait()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	timer := time.NewTimer(planTime)
	defer timer.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.refused:
			timer.Reset(time.Until(last.Add(planTime)))
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		last = time.Now()
		for _, o := range l.plan(random) {
			asking.Go(func() { l.ask(ctx, o) })
		}
		timer.Reset(calmTime)
	}
}

// noteRefused makes the next round of borrowing come soon.
func (l *Limiter) noteRefused() {
	select {
	case l.refused <- struct{}{}:
	default: // it comes soon already
	}
}

func (l *Limiter) plan(random *rand.Rand) []order {
	peers := l.opts.Peers()
	applied := l.opts.LowestApplied()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.tick()
	l.book.settle(now, applied)
	return l.book.plan(now, peers, random)
}

// ask sends one order and books the answer.
func (l *Limiter) ask(ctx context.Context, o order) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	l.count.requests.Inc(1)
	var reply peer.BorrowReply
	err := l.opts.Client.Call(ctx, o.to.Address, peer.MethodLend, &o.request, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.count.requestsFailed.Inc(1)
		l.book.failed(l.tick(), o)
		return
	}
	l.book.answered(l.tick(), o, reply)
}

// Receiver answers the requests of borrowers over net/rpc.
type Receiver struct{ limiter *Limiter }

// Receiver returns the net/rpc receiver to register under ReceiverName.
func (l *Limiter) Receiver() *Receiver { return &Receiver{limiter: l} }

// RefusedError reports that a lender does not answer a request at all. The
// borrower keeps what it holds until the end of the term.
type RefusedError struct{ Borrower, Lender string }

// Error names both sides.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("entry %q lends nothing to %q now", e.Lender, e.Borrower)
}

// Lend answers one request.
func (r *Receiver) Lend(request *peer.BorrowRequest, reply *peer.BorrowReply) error {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	answer, ok := l.book.lend(l.tick(), request)
	if !ok {
		l.count.lendRefused.Inc(1)
		return &RefusedError{Borrower: request.Borrower, Lender: request.Lender}
	}
	*reply = answer
	return nil
}
