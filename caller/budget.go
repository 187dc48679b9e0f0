package caller

import (
	"context"
	"sync"
	"time"
)

// burstTokens is the capacity of the token bucket: the number of retries without a
// success between them.
const burstTokens = 10

// budget is a token bucket that bounds retries to a fraction of successful calls.
type budget struct {
	mu     sync.Mutex
	share  float64 // tokens added by a success
	tokens float64
}

func (b *budget) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(burstTokens, b.tokens+b.share)
}

func (b *budget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sleep waits. It returns false, without waiting, if the deadline of ctx would pass
// first, and false as soon as ctx is cancelled.
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
