// Package operation runs each non-idempotent operation at most once.
//
// The ticket in its id, issued by one process of the entry daemon, permanently
// assigns an operation to that process, its owner. Only the owner ever sends it
// to a backend server, and only if its Table has no record of the id. Any other
// entry forwards the request to the owner, and reports the outcome as unknown if
// the owner is unreachable.
//
// The table groups operations by epoch and drops whole epochs by age. An
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
	// DefaultEpochLength is how long tickets of one epoch are issued.
	DefaultEpochLength = 30 * time.Second
	// DefaultRetainedEpochs is the number of retained epochs, including the current one.
	DefaultRetainedEpochs = 20
	// DefaultMaxOperations bounds the retained operations.
	DefaultMaxOperations = 1 << 18
	// DefaultMaxResponseBytes bounds one stored response, header and body.
	DefaultMaxResponseBytes = 16 << 10
	// DefaultMaxStoredBytes bounds the memory of all stored responses.
	DefaultMaxStoredBytes = 24 << 20
)

// tableFullRetryAfter is the Retry-After of a refusal because the table is full.
const tableFullRetryAfter = 5 * time.Second

// Options configure a Table. Zero fields take the defaults.
type Options struct {
	// Incarnation is this process's random id; if empty, a new one is generated.
	Incarnation string
	// EpochLength is how long tickets of one epoch are issued.
	EpochLength time.Duration
	// RetainedEpochs is the number of retained epochs, including the current one.
	RetainedEpochs int
	// MaxOperations bounds the retained operations.
	MaxOperations int
	// MaxResponseBytes bounds one stored response, header and body.
	MaxResponseBytes int
	// MaxStoredBytes bounds the memory of all stored responses.
	MaxStoredBytes int64
}

func (o Options) withDefaults() Options {
	if o.Incarnation == "" {
		o.Incarnation = NewIncarnation()
	}
	o.EpochLength = orDefault(o.EpochLength, DefaultEpochLength)
	o.RetainedEpochs = orDefault(o.RetainedEpochs, DefaultRetainedEpochs)
	o.MaxOperations = orDefault(o.MaxOperations, DefaultMaxOperations)
	o.MaxResponseBytes = orDefault(o.MaxResponseBytes, DefaultMaxResponseBytes)
	o.MaxStoredBytes = orDefault(o.MaxStoredBytes, DefaultMaxStoredBytes)
	return o
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Table holds the operations of this incarnation. It is safe for concurrent
// use. Its mutex is held only for operations on maps, and no other lock is
// acquired while it is held.
type Table struct {
	opts  Options
	start time.Time

	mu          sync.Mutex
	sealed      bool
	oldest      uint32 // number of epochs[0]
	epochs      []epoch
	count       int
	storedBytes int64
	refusals    sharedRefusals
}

// New returns an empty Table of a new incarnation.
func New(opts Options) *Table {
	return &Table{
		opts:     opts.withDefaults(),
		start:    time.Now(),
		epochs:   make([]epoch, 1),
		refusals: sharedRefusals{},
	}
}

// Incarnation returns this process's random id.
func (t *Table) Incarnation() string { return t.opts.Incarnation }

// Epoch returns the number of the current epoch, whose tickets are being issued.
func (t *Table) Epoch() uint32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.advance()
}

// Ticket returns the current prefix of operation ids, to which callers append a
// dot and a nonce.
func (t *Table) Ticket() string { return NewTicket(t.opts.Incarnation, t.Epoch()) }

// Len returns the number of retained operations.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count
}

// Begin looks up the operation and records it if it is new. If MustRun reports
// true, the caller of Begin must run the operation and then call one of Ran,
// NotRun, Unknown and Complete. Otherwise Wait returns the outcome of the first
// run.
func (t *Table) Begin(id ID, caller string, fp Fingerprint) (*Handle, *outcome.Refusal) {
	if id.Incarnation != t.opts.Incarnation {
		return nil, outcome.NewUnknown(outcome.ReasonOwnerUnknown, "the operation belongs to another entry")
	}
	scoped := fp.Scoped(caller)
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
		return joinRecord(r, scoped)
	}
	return t.add(e, id, scoped)
}

// refuseFuture refuses an operation of an epoch that has not begun. The outcome
// is not NotRun, as the same id becomes valid later.
func refuseFuture() *outcome.Refusal {
	r := outcome.NewUnknown(outcome.ReasonOperationInvalid, "the ticket was not handed out by this entry")
	r.Status = http.StatusBadRequest
	return r
}

func joinRecord(r record, fingerprint Fingerprint) (*Handle, *outcome.Refusal) {
	if r.fingerprint != fingerprint {
		return nil, mismatch()
	}
	return &Handle{result: r.result}, nil
}

func mismatch() *outcome.Refusal {
	return outcome.NewNotRun(http.StatusUnprocessableEntity, outcome.ReasonOperationMismatch,
		"the operation id was used before with another request; this request was not run")
}

// add records a new operation. If the table is full, the epoch is closed: from
// then on none of its unrecorded operations can run, so that the outcome not-run
// stays true without a record for each refused operation.
func (t *Table) add(e *epoch, id ID, fingerprint Fingerprint) (*Handle, *outcome.Refusal) {
	if t.sealed {
		return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationSealed,
			"this entry is leaving; send the request with a new operation id to another entry")
	}
	if t.count >= t.opts.MaxOperations {
		e.closed = true
	}
	if e.closed {
		return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationTableFull,
			"this entry remembers as many operations as it can; ask for a new ticket").WithRetryAfter(tableFullRetryAfter)
	}
	result := &result{done: make(chan struct{})}
	e.put(id.Nonce, record{fingerprint: fingerprint, result: result})
	t.count++
	return &Handle{table: t, id: id, result: result}, nil
}

// StoredBytes returns the memory of the stored responses in bytes.
func (t *Table) StoredBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.storedBytes
}
