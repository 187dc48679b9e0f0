package follow

import (
	"encoding/binary"
	"encoding/hex"

	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// Fingerprint returns the applied offset and the first 8 bytes of the hash of the
// state there; the hash is 0 before the first record.
func (f *Follower) Fingerprint() (offset int64, state uint64) {
	current := f.Current()
	return current.Offset(), fingerprint(current)
}

// CheckDivergence reports a peer whose state differs at the same offset. States
// result from the same records, so a difference means a fault or mixed versions.
func (f *Follower) CheckDivergence(address string, offset int64, state uint64) {
	current := f.Current()
	if offset < 0 || offset != current.Offset() || state == fingerprint(current) {
		return
	}
	f.opts.Scope.Counter("config_divergence").Inc(1)
	if f.diverged.Swap(offset) != offset {
		f.opts.Logger.Error("configuration differs from that of a peer at the same offset",
			"peer", address, "offset", offset)
	}
}

func fingerprint(s *statemachine.State) uint64 {
	if s.Offset() < 0 {
		return 0
	}
	prefix, err := hex.DecodeString(s.Hash()[:16])
	if err != nil {
		return 0 // unreachable: a hash is always hex
	}
	return binary.BigEndian.Uint64(prefix)
}
