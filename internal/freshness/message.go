package freshness

import (
	"encoding/binary"
	"time"
)

// encodedBytes is the length of encoded evidence: revision, digest and age.
const encodedBytes = 3 * 8

// Encode returns the evidence in the form of a reply.
func (e Evidence) Encode() []byte {
	out := make([]byte, 0, encodedBytes)
	out = binary.LittleEndian.AppendUint64(out, uint64(e.Version.Revision))
	out = binary.LittleEndian.AppendUint64(out, e.Version.Digest)
	return binary.LittleEndian.AppendUint64(out, uint64(e.Age))
}

// Decode returns the evidence of a reply, or false if it is malformed.
func Decode(data []byte) (Evidence, bool) {
	if len(data) < encodedBytes {
		return Evidence{}, false
	}
	e := Evidence{
		Version: Version{
			Revision: int64(binary.LittleEndian.Uint64(data)),
			Digest:   binary.LittleEndian.Uint64(data[8:]),
		},
		Age: time.Duration(binary.LittleEndian.Uint64(data[16:])),
	}
	return e, e.Age >= 0 && e.Version.Revision > 0
}
