package quota

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// awaitTime is how long a call waits at most for what other entries may lend:
	// a round of borrowing and the way there and back.
	awaitTime = 250 * time.Millisecond
	// awaitStep is the time between two tries.
	awaitStep = 20 * time.Millisecond
	// maxAwaiting is the most calls that wait at a time; where a limit is really
	// spent, the others are refused at once.
	maxAwaiting = 64
)

// Acquire is TryAcquire for a call that may wait a little: an entry that is new, or
// whose callers have just become more, refuses nothing that its peers can lend.
// It returns as soon as the call is admitted, and the refusal of TryAcquire once the
// time is over or ctx ends.
func (l *Limiter) Acquire(ctx context.Context, member, service, rank string) (release func(), refusal *outcome.Refusal) {
	release, refusal = l.TryAcquire(member, service, rank)
	if refusal == nil || l.opts.Client == nil {
		return release, refusal
	}
	if l.awaiting.Add(1) > maxAwaiting {
		l.awaiting.Add(-1)
		return release, refusal
	}
	defer l.awaiting.Add(-1)
	scope := tree.Scope{Member: member, Service: service, Rank: rank}
	ctx, cancel := context.WithTimeout(ctx, awaitTime)
	defer cancel()
	ticker := time.NewTicker(awaitStep)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return releaseNothing, refusal
		case <-ticker.C:
		}
		if release, ok := l.retry(scope); ok {
			return release, nil
		}
	}
}

// retry is TryAcquire for a call whose demand has been noted before.
func (l *Limiter) retry(scope tree.Scope) (release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limits := l.book.limitsOf(scope)
	if l.book.take(l.tick(), limits) != nil {
		return nil, false
	}
	return l.releaseOnce(limits), true
}
