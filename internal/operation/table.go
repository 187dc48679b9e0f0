// Package operation runs each operation that is not idempotent at most once.
//
// An operation is bound for ever to one process of the entry daemon, its owner,
// by the ticket in its id. Only the owner ever sends it to a backend server, and
// only where its Table has not seen the id before. Any other entry asks the
// owner, and answers "unknown" where the owner can't be reached.
//
// The table keeps operations per epoch and drops whole epochs by age. An
// operation of a dropped epoch is refused as unknown and never run.
package operation

import (
	"net/http"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Defaults of Options.
const (
	// DefaultEpochLength is how long one epoch's tickets are handed out.
	DefaultEpochLength = 30 * time.Second
	// DefaultEpochsKept is how many epochs are kept, the present one included.
	DefaultEpochsKept = 20
	// DefaultMaxOperations is the most operations kept.
	DefaultMaxOperations = 1 << 18
	// DefaultMaxAnswerBytes is the largest answer kept, header and body.
	DefaultMaxAnswerBytes = 16 << 10
	// DefaultMaxKeptBytes is the most bytes of kept answers.
	DefaultMaxKeptBytes = 24 << 20
)

// tableFullWait is the wait that a caller is asked for when the table is full.
const tableFullWait = 5 * time.Second

// Options configure a Table. Zero fields take the defaults.
type Options struct {
	// Incarnation is this process's random name; empty makes a new one.
	Incarnation string
	// EpochLength is how long one epoch's tickets are handed out.
	EpochLength time.Duration
	// EpochsKept is how many epochs are kept, the present one included.
	EpochsKept int
	// MaxOperations is the most operations kept.
	MaxOperations int
	// MaxAnswerBytes is the largest answer kept, header and body.
	MaxAnswerBytes int
	// MaxKeptBytes is the most bytes of kept answers.
	MaxKeptBytes int64
}

func (o Options) withDefaults() Options {
	if o.Incarnation == "" {
		o.Incarnation = NewIncarnation()
	}
	o.EpochLength = orDefault(o.EpochLength, DefaultEpochLength)
	o.EpochsKept = orDefault(o.EpochsKept, DefaultEpochsKept)
	o.MaxOperations = orDefault(o.MaxOperations, DefaultMaxOperations)
	o.MaxAnswerBytes = orDefault(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.MaxKeptBytes = orDefault(o.MaxKeptBytes, DefaultMaxKeptBytes)
	return o
}

func orDefault[T comparable](v, standard T) T {
	var zero T
	if v == zero {
		return standard
	}
	return v
}

// Table holds the operations of this incarnation. It is safe for concurrent
// use. Its mutex is held for map operations only and no other lock is taken
// under it.
type Table struct {
	opts  Options
	start time.Time

	mu        sync.Mutex
	sealed    bool
	oldest    uint32 // number of epochs[0]
	epochs    []epoch
	count     int
	keptBytes int64
	settled   settledResults
}

// New returns an empty Table of a new incarnation.
func New(opts Options) *Table {
	return &Table{
		opts:    opts.withDefaults(),
		start:   time.Now(),
		epochs:  make([]epoch, 1),
		settled: settledResults{},
	}
}

// Incarnation is this process's random name.
func (t *Table) Incarnation() string { return t.opts.Incarnation }

// Epoch is the present epoch, whose tickets are handed out.
func (t *Table) Epoch() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advance()
}

// Ticket is what callers put in front of their part of an operation id.
func (t *Table) Ticket() string { return NewTicket(t.opts.Incarnation, t.Epoch()) }

// Len is the number of operations kept.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Begin looks the operation up. Where the Handle is the owner's, the caller of
// Begin must run the operation and then call exactly one of Ran, NotRun and
// Unknown; otherwise Wait returns what the first run came to.
func (t *Table) Begin(id ID, caller string, fp Fingerprint) (*Handle, *outcome.Refusal) {
	if id.Incarnation != t.opts.Incarnation {
		return nil, outcome.NewUnknown(outcome.ReasonOwnerUnknown, "the operation belongs to another entry")
	}
	sum := fp.scoped(caller)
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.advance()
	if id.Epoch > current {
		return nil, refuseFuture()
	}
	if id.Epoch < t.oldest {
		return nil, outcome.NewUnknown(outcome.ReasonOperationDropped,
			"the operation is older than this entry remembers; find out from the service whether it ran")
	}
	e := &t.epochs[id.Epoch-t.oldest]
	if r, ok := e.records[id.Nonce]; ok {
		return joinRecord(r, sum)
	}
	return t.add(e, id, sum)
}

// refuseFuture refuses an epoch that has no ticket yet. It does not say not-run,
// as the same id becomes valid later.
func refuseFuture() *outcome.Refusal {
	r := outcome.NewUnknown(outcome.ReasonOperationInvalid, "the ticket was not handed out by this entry")
	r.Status = http.StatusBadRequest
	return r
}

func joinRecord(r record, sum Fingerprint) (*Handle, *outcome.Refusal) {
	if r.sum != sum {
		return nil, mismatch()
	}
	return &Handle{result: r.result}, nil
}

func mismatch() *outcome.Refusal {
	return outcome.NewNotRun(http.StatusUnprocessableEntity, outcome.ReasonOperationMismatch,
		"the operation id was used before with another request; this request was not run")
}

// add records a new operation. Where there is no room, the epoch closes: from
// then on none of its unrecorded operations can run, so that the not-run holds
// without a record for each.
func (t *Table) add(e *epoch, id ID, sum Fingerprint) (*Handle, *outcome.Refusal) {
	if t.sealed {
		return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationSealed,
			"this entry is leaving; send the request with a new operation id to another entry")
	}
	if t.count >= t.opts.MaxOperations {
		e.closed = true
	}
	if e.closed {
		return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationTableFull,
			"this entry remembers as many operations as it can; ask for a new ticket").WithRetryAfter(tableFullWait)
	}
	result := &result{done: make(chan struct{})}
	e.put(id.Nonce, record{sum: sum, result: result})
	t.count++
	return &Handle{table: t, id: id, result: result}, nil
}

// KeptBytes is the memory of the kept answers in bytes.
func (t *Table) KeptBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.keptBytes
}
