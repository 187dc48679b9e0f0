package caller

import (
	"context"
	"sync"
	"time"
)

// burstTokens is how many repeats may follow each other at once.
const burstTokens = 10

// budget bounds repeats to a share of successes.
type budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

func (b *budget) success() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burstTokens, b.tokens+b.share)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sleep waits and reports false where the deadline would pass first.
func sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}
