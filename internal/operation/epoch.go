package operation

import "time"

// record is one operation in the table.
type record struct {
	sum    Fingerprint
	result *result
}

// epoch holds the operations whose tickets were handed out in one stretch of time.
type epoch struct {
	records   map[Nonce]record
	closed    bool // operations that are not recorded are not run, for ever
	keptBytes int64
}

func (e *epoch) put(id Nonce, r record) {
	if e.records == nil {
		e.records = map[Nonce]record{}
	}
	e.records[id] = r
}

// advance opens the epochs that have begun, drops those past their age, and
// returns the present one. The caller holds mu.
func (t *Table) advance() uint32 {
	current := uint32(time.Since(t.start) / t.opts.EpochLength)
	last := t.oldest + uint32(len(t.epochs)) - 1
	if current <= last {
		return last
	}
	oldest := uint32(max(0, int64(current)-int64(t.opts.EpochsKept)+1))
	t.drop(oldest)
	for t.oldest+uint32(len(t.epochs)) <= current {
		t.epochs = append(t.epochs, epoch{})
	}
	return current
}

// drop forgets the epochs before that number. An operation that still runs keeps
// running; its result reaches those who wait for it and nobody later.
func (t *Table) drop(oldest uint32) {
	if oldest <= t.oldest {
		return
	}
	n := min(int(oldest-t.oldest), len(t.epochs))
	for _, e := range t.epochs[:n] {
		t.count -= len(e.records)
		t.keptBytes -= e.keptBytes
	}
	// A new slice, so that the dropped epochs' memory is freed.
	t.epochs = append(make([]epoch, 0, t.opts.EpochsKept), t.epochs[n:]...)
	t.oldest = oldest
}
