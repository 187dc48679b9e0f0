// Package buffer holds request bodies in memory, within a budget for all requests of an entry.
package buffer

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/account"
)

const (
	// memoryShare is the part of the soft memory limit that bodies may take. The rest is for all
	// else and for bodies that have ended and are not collected yet.
	memoryShare = 0.75
	// uploadShare is the part of a budget that uploads may use. The rest is left for other
	// bodies, so that many uploads do not cause refusals of small requests.
	uploadShare = 0.8
	// remainingShare is the part of the bytes still to come that a body is expected to take. As
	// bodies arrive over time and one ends while another begins, half of them is in memory at once.
	remainingShare = 0.5
	// metricBytes is the gauge of the bytes in memory.
	metricBytes = "body_bytes"
)

// Budget bounds the memory of the bodies that are held at once. It is safe for concurrent use.
type Budget struct {
	limit   int64
	gauge   tally.Gauge
	shedder Shedder // nil if there is none

	mu sync.Mutex // guards the fields below
	// held is the memory of all bodies in bytes.
	held int64
	// expectedUploads and expectedOthers are the memory of the bodies of each kind with a share of
	// what is still to come. They are apart because uploads that have begun may be expected to
	// exceed their share, which is no reason to refuse others.
	expectedUploads, expectedOthers float64
	// evicted is the number of bodies that were evicted and not released yet. released is closed at the
	// next release.
	evicted  int
	released chan struct{}
}

// Shedder ends the reading of bodies that do not come.
type Shedder interface {
	// ShedBody evicts the largest of the eligible bodies that do not come, and reports whether there
	// was one.
	ShedBody(eligible func(account.Body) bool) bool
}

// WithShedder makes the budget evict bodies that do not come when it has no memory for another one. It
// must be called before the budget is used.
func (b *Budget) WithShedder(s Shedder) *Budget {
	b.shedder = s
	return b
}

// maxReleaseWait bounds the wait for the memory of evicted bodies.
const maxReleaseWait = 200 * time.Millisecond

// makeRoom calls try until it succeeds, or there is neither an eligible body to evict nor an evicted one
// whose memory is returned soon.
func (b *Budget) makeRoom(eligible func(account.Body) bool, try func() bool) bool {
	if try() {
		return true
	}
	if b.shedder == nil {
		return false
	}
	timeout := time.NewTimer(maxReleaseWait)
	defer timeout.Stop()
	for {
		released, evicted := b.awaitRelease()
		switch {
		case try():
			return true
		case evicted == 0 && !b.shedder.ShedBody(eligible):
			return false
		}
		select {
		case <-released:
		case <-timeout.C:
			return false
		}
	}
}

// awaitRelease returns a channel that is closed at the next release, and the number of evicted bodies.
func (b *Budget) awaitRelease() (released <-chan struct{}, evicted int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released == nil {
		b.released = make(chan struct{})
	}
	return b.released, b.evicted
}

// NewBudget returns a budget of limit bytes; zero means no limit.
func NewBudget(limit int64, scope tally.Scope) *Budget {
	return &Budget{limit: limit, gauge: scope.Gauge(metricBytes)}
}

// NewBudgetFor returns the budget of a process whose Go runtime has the soft memory limit, in
// bytes; zero means no limit.
func NewBudgetFor(memoryLimit int64, scope tally.Scope) *Budget {
	return NewBudget(int64(memoryShare*float64(memoryLimit)), scope)
}

// MaxBytes returns the size in bytes of the largest body that fits if there is no other, or zero
// if there is no limit.
func (b *Budget) MaxBytes(upload bool) int64 {
	if upload {
		return int64(uploadShare * float64(b.limit))
	}
	return b.limit
}

// Held returns the memory of all bodies that are held now, in bytes.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// admit counts the bytes still to come of a new body, or returns false if it is not expected to
// fit beside those of its kind. A request without a body, or with one of unknown length, is always
// admitted.
func (b *Budget) admit(remaining int64, upload bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := b.expected(upload)
	more := remainingShare * float64(remaining)
	if b.limit > 0 && more > 0 && *expected+more > float64(b.MaxBytes(upload)) {
		return false
	}
	*expected += more
	return true
}

// expected returns the counter of a kind of bodies. b.mu must be held.
func (b *Budget) expected(upload bool) *float64 {
	if upload {
		return &b.expectedUploads
	}
	return &b.expectedOthers
}

// grow takes n more bytes for a body, some of which may be announced ones that admit counted. It returns
// false if there is no memory for them or the body was evicted.
func (b *Budget) grow(body *Body, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if body.evicted || b.limit > 0 && b.held+n > b.MaxBytes(body.upload) {
		return false
	}
	announced := min(n, body.remaining)
	body.held += n
	body.remaining -= announced
	b.held += n
	*b.expected(body.upload) += float64(n) - remainingShare*float64(announced)
	b.gauge.Update(float64(b.held))
	return true
}

// release returns the memory of a body, and the count of what did not come. b.mu must be held.
func (b *Budget) release(body *Body) {
	b.held -= body.held
	*b.expected(body.upload) -= float64(body.held) + remainingShare*float64(body.remaining)
	body.held, body.remaining = 0, 0
	if body.evicted {
		b.evicted--
	}
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
	b.gauge.Update(float64(b.held))
}
