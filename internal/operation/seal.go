package operation

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

const (
	// sealVersion is the format version of a seal.
	sealVersion = 1
	// maxSealItems bounds the operations in one seal. The oldest epochs that do
	// not fit count as dropped.
	maxSealItems = 8192
	// sealIDBytes and sealFingerprintBytes are the sizes of the two parts of one
	// operation in a seal: a hash of its id, by which the operations are sorted,
	// and a prefix of its fingerprint.
	sealIDBytes          = 8
	sealFingerprintBytes = 4
	sealItemBytes        = sealIDBytes + sealFingerprintBytes
)

// Seal is the final record of a stopped incarnation: the operations that ran or
// may have run. Every other operation of its epochs did not run and never will,
// as the incarnation starts no operation after it created the seal.
type Seal struct {
	// Version is the format version.
	Version int `json:"version"`
	// Incarnation is the random id of the stopped process.
	Incarnation string `json:"incarnation"`
	// OldestEpoch and NewestEpoch are the range of epochs, both included, that
	// the seal covers.
	OldestEpoch uint32 `json:"oldest_epoch"`
	NewestEpoch uint32 `json:"newest_epoch"`
	// Ran and Unknown hold sorted items of 12 bytes, one for each operation.
	Ran     []byte `json:"ran"`
	Unknown []byte `json:"unknown"`
}

// SealError reports an invalid seal.
type SealError struct{ Problem string }

// Error returns the problem.
func (e *SealError) Error() string { return "seal of operations: " + e.Problem }

// Seal permanently stops the table from beginning new operations and returns the
// final record. Operations in progress count as unknown, so call it as late as
// possible during shutdown.
func (t *Table) Seal() Seal {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.advance()
	t.sealed = true
	s := Seal{Version: sealVersion, Incarnation: t.opts.Incarnation, OldestEpoch: newest + 1, NewestEpoch: newest}
	var ran, unknown []sealItem
	for i, e := range slices.Backward(t.epochs) {
		epochRan, epochUnknown := e.executed(t.oldest + uint32(i))
		if len(ran)+len(unknown)+len(epochRan)+len(epochUnknown) > maxSealItems {
			break
		}
		ran = append(ran, epochRan...)
		unknown = append(unknown, epochUnknown...)
		s.OldestEpoch = t.oldest + uint32(i)
	}
	s.Ran, s.Unknown = encodeItems(ran), encodeItems(unknown)
	return s
}

// executed returns the epoch's operations that ran, and those that may have run.
func (e *epoch) executed(number uint32) (ran, unknown []sealItem) {
	for id, r := range e.records {
		switch r.result.outcome() {
		case outcome.Ran:
			ran = append(ran, newSealItem(number, id, r.fingerprint))
		case outcome.Unknown:
			unknown = append(unknown, newSealItem(number, id, r.fingerprint))
		}
	}
	return ran, unknown
}

// outcome returns the operation's outcome, Unknown while it is in progress.
func (r *result) outcome() outcome.Outcome {
	switch {
	case !r.isDone():
		return outcome.Unknown
	case r.refusal == nil:
		return outcome.Ran
	default:
		return r.refusal.Outcome
	}
}

// sealItem is one operation in a seal: a hash of its epoch and nonce, and a
// prefix of its fingerprint.
type sealItem [sealItemBytes]byte

func newSealItem(epoch uint32, id Nonce, fingerprint Fingerprint) sealItem {
	var b [4 + nonceBytes]byte
	binary.BigEndian.PutUint32(b[:], epoch)
	copy(b[4:], id[:])
	var item sealItem
	binary.BigEndian.PutUint64(item[:], xxhash.Sum64(b[:]))
	copy(item[sealIDBytes:], fingerprint[:sealFingerprintBytes])
	return item
}

func encodeItems(items []sealItem) []byte {
	slices.SortFunc(items, func(a, b sealItem) int { return bytes.Compare(a[:], b[:]) })
	out := make([]byte, 0, len(items)*sealItemBytes)
	for _, item := range items {
		out = append(out, item[:]...)
	}
	return out
}

// findItem returns the item with the same id hash, and false if there is none.
func findItem(items []byte, want sealItem) (sealItem, bool) {
	count := len(items) / sealItemBytes
	pos := sort.Search(count, func(i int) bool {
		return bytes.Compare(items[i*sealItemBytes:][:sealIDBytes], want[:sealIDBytes]) >= 0
	})
	if pos == count {
		return sealItem{}, false
	}
	got := sealItem(items[pos*sealItemBytes:][:sealItemBytes])
	return got, bytes.Equal(got[:sealIDBytes], want[:sealIDBytes])
}

// Record returns the JSON form of the seal that is written to the log and sent to
// peers.
func (s Seal) Record() []byte {
	data, _ := json.Marshal(s) // never fails for numbers, strings and bytes
	return data
}

// parseSeal decodes and validates a record. The error is a *SealError.
func parseSeal(record []byte) (Seal, error) {
	var s Seal
	if err := json.Unmarshal(record, &s); err != nil {
		return s, &SealError{err.Error()}
	}
	if s.Version != sealVersion {
		return s, &SealError{fmt.Sprintf("version %d is not known", s.Version)}
	}
	if !isHex(s.Incarnation, incarnationBytes) {
		return s, &SealError{"has no incarnation"}
	}
	if len(s.Ran)%sealItemBytes != 0 || len(s.Unknown)%sealItemBytes != 0 || len(s.Ran)+len(s.Unknown) > maxSealItems*sealItemBytes {
		return s, &SealError{"its lists have a wrong size"}
	}
	return s, nil
}

// lookup returns the outcome of an operation of this incarnation as a refusal.
// The fingerprint is that of the request, scoped to its caller.
func (s Seal) lookup(id ID, fingerprint Fingerprint) *outcome.Refusal {
	if id.Epoch < s.OldestEpoch || id.Epoch > s.NewestEpoch {
		return outcome.NewUnknown(outcome.ReasonOperationDropped,
			"the entry that owned the operation has stopped and left nothing about it; find out from the service whether it ran")
	}
	item := newSealItem(id.Epoch, id.Nonce, fingerprint)
	if got, ok := findItem(s.Ran, item); ok {
		return matched(got == item, responseNotStored())
	}
	if got, ok := findItem(s.Unknown, item); ok {
		return matched(got == item, outcome.NewUnknown(outcome.ReasonOperationSealed,
			"the entry that owned the operation has stopped and did not know its outcome; find out from the service whether it ran"))
	}
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationSealed,
		"the entry that owned the operation has stopped without running it; send it with a new operation id")
}

// matched returns the given refusal if the request is the same, and a mismatch
// refusal if another request used its id.
func matched(same bool, refusal *outcome.Refusal) *outcome.Refusal {
	if same {
		return refusal
	}
	return mismatch()
}
