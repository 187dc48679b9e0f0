package follow

import (
	"encoding/binary"
	"encoding/hex"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// Fingerprint returns the applied offset and the first bytes of the hash of its
// state, 0 before the first record.
func (f *Follower) Fingerprint() (offset int64, state uint64) {
	current := f.Current()
	return current.Offset(), fingerprint(current)
}

// CheckDivergence reports a peer that holds another state at the same offset. States
// are folds of the same records, so this shows a fault or mixed versions.
func (f *Follower) CheckDivergence(address string, offset int64, state uint64) {
	current := f.Current()
	if offset < 0 || offset != current.Offset() || state == fingerprint(current) {
		return
	}
	f.opts.Scope.Counter("config_divergence").Inc(1)
	if f.diverged.Swap(offset) != offset {
		f.opts.Logger.Error("peer holds another configuration at the same offset",
			"peer", address, "offset", offset)
	}
}

func fingerprint(s *statemachine.State) uint64 {
	if s.Offset() < 0 {
		return 0
	}
	prefix, err := hex.DecodeString(s.Hash()[:16])
	if err != nil {
		return 0 // a hash is always hex
	}
	return binary.BigEndian.Uint64(prefix)
}
