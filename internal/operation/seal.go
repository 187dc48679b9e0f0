package operation

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

const (
	// sealVersion is the version of the seal's record.
	sealVersion = 1
	// maxSealIDs bounds the operations named in one seal; the oldest epochs that
	// do not fit count as dropped.
	maxSealIDs = 8192
	// sealIDBytes is the size of one operation in a seal.
	sealIDBytes = 8
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
	// Ran and Unknown hold sorted 8-byte hashes of operations.
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
	var ran, unknown []uint64
	for i, e := range slices.Backward(t.epochs) {
		epochRan, epochUnknown := e.effects(t.oldest + uint32(i))
		if len(ran)+len(unknown)+len(epochRan)+len(epochUnknown) > maxSealIDs {
			break
		}
		ran = append(ran, epochRan...)
		unknown = append(unknown, epochUnknown...)
		s.OldestEpoch = t.oldest + uint32(i)
	}
	s.Ran, s.Unknown = packHashes(ran), packHashes(unknown)
	return s
}

// effects returns the epoch's operations that ran, and those that may have run.
func (e *epoch) effects(number uint32) (ran, unknown []uint64) {
	for id, r := range e.records {
		switch r.result.outcome() {
		case outcome.Ran:
			ran = append(ran, sealHash(number, id))
		case outcome.Unknown:
			unknown = append(unknown, sealHash(number, id))
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

func sealHash(epoch uint32, id CallID) uint64 {
	var b [4 + callIDBytes]byte
	binary.BigEndian.PutUint32(b[:], epoch)
	copy(b[4:], id[:])
	return xxhash.Sum64(b[:])
}

func packHashes(hashes []uint64) []byte {
	slices.Sort(hashes)
	out := make([]byte, 0, len(hashes)*sealIDBytes)
	for _, h := range hashes {
		out = binary.BigEndian.AppendUint64(out, h)
	}
	return out
}

func containsHash(packed []byte, hash uint64) bool {
	low, high := 0, len(packed)/sealIDBytes
	for low < high {
		middle := (low + high) / 2
		if binary.BigEndian.Uint64(packed[middle*sealIDBytes:]) < hash {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low < len(packed)/sealIDBytes && binary.BigEndian.Uint64(packed[low*sealIDBytes:]) == hash
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
	if len(s.Ran)%sealIDBytes != 0 || len(s.Unknown)%sealIDBytes != 0 || len(s.Ran)+len(s.Unknown) > maxSealIDs*sealIDBytes {
		return s, &SealError{"its lists have a wrong size"}
	}
	return s, nil
}

// lookup says what became of an operation of this incarnation.
func (s Seal) lookup(id ID) *outcome.Refusal {
	hash := sealHash(id.Epoch, id.Call)
	switch {
	case id.Epoch < s.OldestEpoch || id.Epoch > s.NewestEpoch:
		return outcome.NewUnknown(outcome.ReasonOperationDropped,
			"the entry that owned the operation has stopped and left nothing about it; find out from the service whether it ran")
	case containsHash(s.Ran, hash):
		return answerNotKept()
	case containsHash(s.Unknown, hash):
		return outcome.NewUnknown(outcome.ReasonOperationSealed,
			"the entry that owned the operation has stopped and did not know its outcome; find out from the service whether it ran")
	default:
		return outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonOperationSealed,
			"the entry that owned the operation has stopped without running it; send it with a new operation id")
	}
}
