package operation

import "time"

// record is one operation in the table.
type record struct {
	fingerprint Fingerprint
	result      *result
}

// epoch holds the operations whose tickets were issued within one time interval
// of length Options.EpochLength.
type epoch struct {
	records     map[Nonce]record
	closed      bool // operations without a record are refused as not-run from now on
	storedBytes int64
}

func (e *epoch) put(nonce Nonce, r record) {
	if e.records == nil {
		e.records = map[Nonce]record{}
	}
	e.records[nonce] = r
}

// advance adds the epochs that have begun, drops the expired ones, and returns
// the number of the current epoch. The caller holds mu.
func (t *Table) advance() uint32 {
	current := uint32(time.Since(t.start) / t.opts.EpochLength)
	newest := t.oldest + uint32(len(t.epochs)) - 1
	if current <= newest {
		return newest
	}
	oldest := uint32(max(0, int64(current)-int64(t.opts.RetainedEpochs)+1))
	t.drop(oldest)
	for t.oldest+uint32(len(t.epochs)) <= current {
		t.epochs = append(t.epochs, epoch{})
	}
	return current
}

// drop removes the epochs before the given number. An operation that is still
// running continues; its result reaches only the requests that already wait.
func (t *Table) drop(oldest uint32) {
	if oldest <= t.oldest {
		return
	}
	n := min(int(oldest-t.oldest), len(t.epochs))
	for _, e := range t.epochs[:n] {
		t.count -= len(e.records)
		t.storedBytes -= e.storedBytes
	}
	// Copy into a new slice, so that the memory of the dropped epochs is freed.
	t.epochs = append(make([]epoch, 0, t.opts.RetainedEpochs), t.epochs[n:]...)
	t.oldest = oldest
}
