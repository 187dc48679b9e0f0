package attempt

import (
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// burstTokens is how many retries, or hedges, may follow each other at once.
const burstTokens = 10

// firstTokens is what a budget over all entries starts with at each of them.
const firstTokens = 1

// tokens are earned by a share at a time and spent one by one.
type tokens struct {
	mu    sync.Mutex
	share float64
	burst float64
	count float64
}

// earn adds one share.
func (t *tokens) earn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = min(t.burst, t.count+t.share)
}

// spend takes a token, or reports that there is none. A share of zero turns the
// tokens off.
func (t *tokens) spend() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share <= 0 || t.count < 1 {
		return false
	}
	t.count--
	return true
}

func (t *tokens) set(share, burst float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
	t.burst = burst
	t.count = min(t.count, burst)
}

// budget is a service's tokens: each success earns a share of a retry, and each
// call a share of a hedge.
//
// A service with a RetryBurst has a budget over all entries instead. Each entry
// spends only from what its own calls earned, and starts with one, so that the
// sum over all entries needs no message: hedges are retries there, and each call
// earns whether or not it succeeds.
type budget struct {
	retries, hedges tokens
	shared          bool
}

// begin earns for a call that begins.
func (b *budget) begin() {
	if b.shared {
		b.retries.earn()
		return
	}
	b.hedges.earn()
}

// succeed earns for a call that a server answered without a failure.
func (b *budget) succeed() {
	if !b.shared {
		b.retries.earn()
	}
}

// spendHedge takes a token for a hedge, or reports that there is none.
func (b *budget) spendHedge() bool {
	if b.shared {
		return b.retries.spend()
	}
	return b.hedges.spend()
}

// budgets holds one budget a service.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

// of returns the service's budget with the shares of the settings in force.
func (b *budgets) of(svc *tree.Service) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = map[string]*budget{}
	}
	got, ok := b.byService[svc.Key()]
	if !ok {
		got = newBudget(svc.Budgets)
		b.byService[svc.Key()] = got
	}
	got.set(svc.Budgets)
	return got
}

func newBudget(settings tree.Budgets) *budget {
	if settings.RetryBurst > 0 {
		return &budget{shared: true, retries: tokens{count: min(firstTokens, settings.RetryBurst)}}
	}
	return &budget{retries: tokens{count: burstTokens}}
}

func (b *budget) set(settings tree.Budgets) {
	if b.shared {
		b.retries.set(settings.RetryShare, settings.RetryBurst)
		return
	}
	b.retries.set(settings.RetryShare, burstTokens)
	b.hedges.set(settings.HedgeShare, burstTokens)
}
