package attempt

import (
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// burstTokens is how many retries may follow each other at once.
const burstTokens = 10

// budget is a service's tokens: each success earns a share of a retry.
type budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// success earns the configured share of a retry.
func (b *budget) success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burstTokens, b.tokens+b.share)
}

// retry spends one token, or reports that there is none.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.share <= 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// budgets holds one budget a service.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

// of returns the service's budget with the share of the settings in force.
func (b *budgets) of(svc *tree.Service) *budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService == nil {
		b.byService = map[string]*budget{}
	}
	got, ok := b.byService[svc.Key()]
	if !ok {
		got = &budget{tokens: burstTokens}
		b.byService[svc.Key()] = got
	}
	got.setShare(svc.Budgets.RetryShare)
	return got
}

func (b *budget) setShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}
