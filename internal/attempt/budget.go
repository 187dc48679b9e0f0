package attempt

import (
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// burstTokens is how many retries, or hedges, may follow each other at once.
const burstTokens = 10

// tokens are earned by a share at a time and spent one by one.
type tokens struct {
	mu    sync.Mutex
	share float64
	count float64
}

// earn adds one share.
func (t *tokens) earn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count = min(burstTokens, t.count+t.share)
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

func (t *tokens) setShare(share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share = share
}

// budget is a service's tokens: each success earns a share of a retry, and each
// call a share of a hedge.
type budget struct {
	retries, hedges tokens
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
		got = &budget{retries: tokens{count: burstTokens}}
		b.byService[svc.Key()] = got
	}
	got.retries.setShare(svc.Budgets.RetryShare)
	got.hedges.setShare(svc.Budgets.HedgeShare)
	return got
}
