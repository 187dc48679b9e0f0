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
	// minPlanInterval is the minimum time between two borrowing rounds.
	minPlanInterval = 100 * time.Millisecond
	// idlePlanInterval is the time between two borrowing rounds while no call is
	// refused.
	idlePlanInterval = time.Second
)

// Run borrows and returns units until ctx ends. It returns when the requests in
// progress have ended.
func (l *Limiter) Run(ctx context.Context) {
	if l.opts.Client == nil || l.opts.Peers == nil {
		<-ctx.Done()
		return
	}
	var requests sync.WaitGroup
	defer requests.Wait()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	timer := time.NewTimer(minPlanInterval)
	defer timer.Stop()
	lastPlan := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-l.refusalSignal:
			timer.Reset(time.Until(lastPlan.Add(minPlanInterval)))
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
		}
		lastPlan = time.Now()
		for _, o := range l.plan(random) {
			requests.Go(func() { l.send(ctx, o) })
		}
		timer.Reset(idlePlanInterval)
	}
}

// signalRefusal makes the next borrowing round start soon.
func (l *Limiter) signalRefusal() {
	select {
	case l.refusalSignal <- struct{}{}:
	default: // already signaled
	}
}

func (l *Limiter) plan(random *rand.Rand) []outgoingRequest {
	peers := l.opts.Peers()
	applied := l.opts.LowestApplied()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.tick()
	l.state.recordAppliedResizes(now, applied)
	return l.state.plan(now, peers, random)
}

// send sends one request and applies its reply.
func (l *Limiter) send(ctx context.Context, o outgoingRequest) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	l.count.requests.Inc(1)
	var reply peer.BorrowReply
	err := l.opts.Client.Call(ctx, o.lender.Address, peer.MethodLend, &o.request, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.count.requestsFailed.Inc(1)
		l.state.handleFailure(l.tick(), o)
		return
	}
	l.state.handleReply(l.tick(), o, reply)
}

// Receiver handles borrow requests over net/rpc.
type Receiver struct{ limiter *Limiter }

// Receiver returns the net/rpc receiver to register under ReceiverName.
func (l *Limiter) Receiver() *Receiver { return &Receiver{limiter: l} }

// RefusedError reports that a lender refused a borrow request as a whole. The
// borrower keeps the units that it holds until its loan expires.
type RefusedError struct{ Borrower, Lender string }

// Error returns a message with both entries.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("entry %q lends nothing to %q now", e.Lender, e.Borrower)
}

// Lend handles one borrow request. It returns a *RefusedError if nothing may be
// lent.
func (r *Receiver) Lend(request *peer.BorrowRequest, reply *peer.BorrowReply) error {
	l := r.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	lent, ok := l.state.lend(l.tick(), request)
	if !ok {
		l.count.lendRefused.Inc(1)
		return &RefusedError{Borrower: request.Borrower, Lender: request.Lender}
	}
	*reply = lent
	return nil
}
