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
	// sealVersion is the version of the seal's record.
	sealVersion = 1
	// maxSealIDs bounds the operations named in one seal; the oldest epochs that
	// do not fit count as dropped.
	maxSealIDs = 8192
	// sealIDBytes and sealSumBytes are the parts of one operation in a seal: a hash
	// of its id, by which operations are sorted, and the start of its fingerprint.
	sealIDBytes   = 8
	sealSumBytes  = 4
	sealItemBytes = sealIDBytes + sealSumBytes
)

// Seal is what a stopped incarnation knew: the operations that ran or may have
// run. Every other operation of its epochs was not run, and never will be, as
// the incarnation ran nothing after it made the seal.
type Seal struct {
	// Version of the record.
	Version int `json:"version"`
	// Incarnation that stopped.
	Incarnation string `json:"incarnation"`
	// OldestEpoch and NewestEpoch bound what the seal speaks of.
	OldestEpoch uint32 `json:"oldest_epoch"`
	NewestEpoch uint32 `json:"newest_epoch"`
	// Ran and Unknown hold sorted operations of 12 bytes each.
	Ran     []byte `json:"ran"`
	Unknown []byte `json:"unknown"`
}

// SealError is a seal that can't be used.
type SealError struct{ Problem string }

// Error names the problem.
func (e *SealError) Error() string { return "seal of operations: " + e.Problem }

// Seal ends the running of new operations for ever and returns what is known.
// Operations still in progress count as unknown, so it is best called last.
func (t *Table) Seal() Seal {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := t.advance()
	t.sealed = true
	s := Seal{Version: sealVersion, Incarnation: t.opts.Incarnation, OldestEpoch: newest + 1, NewestEpoch: newest}
	var ran, unknown []sealItem
	for i, e := range slices.Backward(t.epochs) {
		epochRan, epochUnknown := e.effects(t.oldest + uint32(i))
		if len(ran)+len(unknown)+len(epochRan)+len(epochUnknown) > maxSealIDs {
			break
		}
		ran = append(ran, epochRan...)
		unknown = append(unknown, epochUnknown...)
		s.OldestEpoch = t.oldest + uint32(i)
	}
	s.Ran, s.Unknown = packItems(ran), packItems(unknown)
	return s
}

// effects returns the epoch's operations that ran, and those that may have run.
func (e *epoch) effects(number uint32) (ran, unknown []sealItem) {
	for id, r := range e.records {
		switch r.result.outcome() {
		case outcome.Ran:
			ran = append(ran, newSealItem(number, id, r.sum))
		case outcome.Unknown:
			unknown = append(unknown, newSealItem(number, id, r.sum))
		}
	}
	return ran, unknown
}

// outcome is Unknown while the operation is in progress.
func (r *result) outcome() outcome.Outcome {
	switch {
	case !r.settled():
		return outcome.Unknown
	case r.refusal == nil:
		return outcome.Ran
	default:
		return r.refusal.Outcome
	}
}

// sealItem is one operation in a seal.
type sealItem [sealItemBytes]byte

func newSealItem(epoch uint32, id Nonce, sum Fingerprint) sealItem {
	var b [4 + callIDBytes]byte
	binary.BigEndian.PutUint32(b[:], epoch)
	copy(b[4:], id[:])
	var item sealItem
	binary.BigEndian.PutUint64(item[:], xxhash.Sum64(b[:]))
	copy(item[sealIDBytes:], sum[:sealSumBytes])
	return item
}

func packItems(items []sealItem) []byte {
	slices.SortFunc(items, func(a, b sealItem) int { return bytes.Compare(a[:], b[:]) })
	out := make([]byte, 0, len(items)*sealItemBytes)
	for _, item := range items {
		out = append(out, item[:]...)
	}
	return out
}

// find returns the operation of the same id, and false where there is none.
func find(packed []byte, want sealItem) (sealItem, bool) {
	count := len(packed) / sealItemBytes
	at := sort.Search(count, func(i int) bool {
		return bytes.Compare(packed[i*sealItemBytes:][:sealIDBytes], want[:sealIDBytes]) >= 0
	})
	if at == count {
		return sealItem{}, false
	}
	got := sealItem(packed[at*sealItemBytes:][:sealItemBytes])
	return got, bytes.Equal(got[:sealIDBytes], want[:sealIDBytes])
}

// Record is the seal as it stands in the log and goes to peers.
func (s Seal) Record() []byte {
	data, _ := json.Marshal(s) // numbers, strings and bytes always marshal
	return data
}

// parseSeal reads and checks a record.
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
	if len(s.Ran)%sealItemBytes != 0 || len(s.Unknown)%sealItemBytes != 0 || len(s.Ran)+len(s.Unknown) > maxSealIDs*sealItemBytes {
		return s, &SealError{"its lists have a wrong size"}
	}
	return s, nil
}

// lookup says what became of an operation of this incarnation. sum is the
// request's fingerprint, scoped by its caller.
func (s Seal) lookup(id ID, sum Fingerprint) *outcome.Refusal {
	if id.Epoch < s.OldestEpoch || id.Epoch > s.NewestEpoch {
		return outcome.NewUnknown(outcome.ReasonOperationDropped,
			"the entry that owned the operation has stopped and left nothing about it; find out from the service whether it ran")
	}
	item := newSealItem(id.Epoch, id.Nonce, sum)
	if got, ok := find(s.Ran, item); ok {
		return matched(got == item, answerNotKept())
	}
	if got, ok := find(s.Unknown, item); ok {
		return matched(got == item, outcome.NewUnknown(outcome.ReasonOperationSealed,
			"the entry that owned the operation has stopped and did not know its outcome; find out from the service whether it ran"))
	}
	return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationSealed,
		"the entry that owned the operation has stopped without running it; send it with a new operation id")
}

// matched returns the refusal of the operation, or that of another request
// under its id.
func matched(same bool, refusal *outcome.Refusal) *outcome.Refusal {
	if same {
		return refusal
	}
	return mismatch()
}
