package quota

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// maxAcquireWait bounds how long a call waits for units lent by other entries:
	// the interval between two borrowing rounds plus a network round trip.
	maxAcquireWait = 250 * time.Millisecond
	// acquireRetryInterval is the time between two attempts.
	acquireRetryInterval = 20 * time.Millisecond
	// maxWaiters bounds the calls that wait at the same time. When a limit is
	// exhausted at all entries, the other calls are refused immediately.
	maxWaiters = 64
)

// Acquire is like TryAcquire, but waits up to maxAcquireWait for a loan. A new
// entry, or one whose load has just grown, so refuses no call for which its peers
// can lend units. Acquire returns as soon as the call is admitted. It returns the
// refusal of TryAcquire when the wait is over or ctx ends.
func (l *Limiter) Acquire(ctx context.Context, member, service, rank string) (release func(), refusal *outcome.Refusal) {
	release, refusal = l.TryAcquire(member, service, rank)
	if refusal == nil || l.opts.Client == nil {
		return release, refusal
	}
	if l.waiters.Add(1) > maxWaiters {
		l.waiters.Add(-1)
		return release, refusal
	}
	defer l.waiters.Add(-1)
	scope := tree.Scope{Member: member, Service: service, Rank: rank}
	ctx, cancel := context.WithTimeout(ctx, maxAcquireWait)
	defer cancel()
	ticker := time.NewTicker(acquireRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return releaseNoop, refusal
		case <-ticker.C:
		}
		if release, ok := l.retryAcquire(scope); ok {
			return release, nil
		}
	}
}

// retryAcquire is TryAcquire for a call whose demand is already recorded.
func (l *Limiter) retryAcquire(scope tree.Scope) (release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.state.limitsOf(scope)
	if l.state.takeUnits(l.tick(), limits) != nil {
		return nil, false
	}
	return l.releaseOnce(limits), true
}
