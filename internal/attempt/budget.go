package attempt

import (
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// burstTokens is how many retries, or hedges, may be made in a burst.
const burstTokens = 10

// initialTokens is the number of tokens with which each entry starts under a
// budget over all entries.
const initialTokens = 1

// tokenBucket is a token bucket that is filled by a share of a token at a time,
// up to burst. One token pays for one retry or hedge.
type tokenBucket struct {
	mu    sync.Mutex
	share float64
	burst float64
	count float64
}

// earn adds one share of a token.
func (t *tokenBucket) earn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = min(t.burst, t.count+t.share)
}

// take removes one token, or returns false if there is none. A share of zero
// disables the bucket.
func (t *tokenBucket) take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share <= 0 || t.count < 1 {
		return false
	}
	t.count--
	return true
}

func (t *tokenBucket) set(share, burst float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
	t.burst = burst
	t.count = min(t.count, burst)
}

// budget is a service's retry budget: each success earns a share of a retry,
// and each call a share of a hedge.
//
// A service with a RetryBurst has a budget over all entries instead. Each entry
// uses only the tokens that its own calls have earned, and starts with one token, so
// that the sum over all entries is bounded without messages between them.
// Hedges count as retries there, and each call earns whether or not it
// succeeds.
type budget struct {
	retries, hedges tokenBucket
	combined        bool // one bucket, retries, pays for retries and hedges
}

// earnCall earns a share for a call that begins.
func (b *budget) earnCall() {
	if b.combined {
		b.retries.earn()
		return
	}
	b.hedges.earn()
}

// earnSuccess earns a share for a call that a server completed without a
// failure.
func (b *budget) earnSuccess() {
	if !b.combined {
		b.retries.earn()
	}
}

// takeHedge takes a token for a hedge, or returns false if there is none.
func (b *budget) takeHedge() bool {
	if b.combined {
		return b.retries.take()
	}
	return b.hedges.take()
}

// budgets holds one budget for each service.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

// forService returns the service's budget, updated to the shares of its active
// settings.
func (b *budgets) forService(svc *tree.Service) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = map[string]*budget{}
	}
	svcBudget, ok := b.byService[svc.Key()]
	if !ok {
		svcBudget = newBudget(svc.Budgets)
		b.byService[svc.Key()] = svcBudget
	}
	svcBudget.set(svc.Budgets)
	return svcBudget
}

func newBudget(settings tree.Budgets) *budget {
	if settings.RetryBurst > 0 {
		return &budget{combined: true, retries: tokenBucket{count: min(initialTokens, settings.RetryBurst)}}
	}
	return &budget{retries: tokenBucket{count: burstTokens}}
}

func (b *budget) set(settings tree.Budgets) {
	if b.combined {
		b.retries.set(settings.RetryShare, settings.RetryBurst)
		return
	}
	b.retries.set(settings.RetryShare, burstTokens)
	b.hedges.set(settings.HedgeShare, burstTokens)
}
