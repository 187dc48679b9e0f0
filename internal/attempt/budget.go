package attempt

import (
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// burstTokens is how many retries, or hedges, may follow each other at once.
const burstTokens = 10

// budget is a service's tokens: each success earns a share of a retry, and each
// call a share of a hedge.
type budget struct {
	mu      sync.Mutex
	shares  tree.Budgets
	retries float64
	hedges  float64
}

// call earns the configured share of a hedge.
func (b *budget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hedges = min(burstTokens, b.hedges+b.shares.HedgeShare)
}

// hedge spends one token, or reports that there is none.
func (b *budget) hedge() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return spend(&b.hedges, b.shares.HedgeShare)
}

// spend takes a token. A share of zero turns the tokens off.
func spend(tokens *float64, share float64) bool {
	if share <= 0 || *tokens < 1 {
		return false
	}
	*tokens--
	return true
}

// success earns the configured share of a retry.
func (b *budget) success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retries = min(burstTokens, b.retries+b.shares.RetryShare)
}

// retry spends one token, or reports that there is none.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return spend(&b.retries, b.shares.RetryShare)
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
		got = &budget{retries: burstTokens}
		b.byService[svc.Key()] = got
	}
	got.setShares(svc.Budgets)
	return got
}

func (b *budget) setShares(shares tree.Budgets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shares = shares
}
