package peer

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// livenessAgeUnit is the resolution of Liveness.Age in the binary form.
const livenessAgeUnit = 50 * time.Millisecond

// maxLivenessItems bounds the length of one LivenessList.
const maxLivenessItems = 4096

// Liveness is the liveness counter of a process with its age. It is kept small, as
// it makes up most of the traffic between entries.
type Liveness struct {
	// ID is the ShortID of the process, below 1<<40.
	ID uint64
	// Counter grows while the process runs.
	Counter uint64
	// Age is how long ago the sender received the counter.
	Age time.Duration
}

// shortIDBytes is the length of an ID. Among 100 processes, two have the same ID
// with a probability of 1 in 200 million; the second is then not discovered until
// it restarts.
const shortIDBytes = 5

// ShortID returns the short hash that identifies an incarnation.
func ShortID(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation) >> (64 - 8*shortIDBytes)
}

// LivenessList is a list of liveness counters with a compact binary form.
type LivenessList []Liveness

var errMalformedLiveness = errors.New("malformed signs")

// MarshalBinary implements encoding.BinaryMarshaler.
func (l LivenessList) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, 10*len(l))
	for _, liveness := range l {
		id := binary.BigEndian.AppendUint64(nil, liveness.ID)
		out = append(out, id[8-shortIDBytes:]...)
		out = binary.AppendUvarint(out, liveness.Counter)
		out = binary.AppendUvarint(out, uint64(max(0, liveness.Age)/livenessAgeUnit))
	}
	return out, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler.
func (l *LivenessList) UnmarshalBinary(data []byte) error {
	*l = nil
	for len(data) > 0 {
		if len(data) < shortIDBytes || len(*l) == maxLivenessItems {
			return errMalformedLiveness
		}
		id := append(make([]byte, 8-shortIDBytes, 8), data[:shortIDBytes]...)
		liveness := Liveness{ID: binary.BigEndian.Uint64(id)}
		data = data[shortIDBytes:]
		counter, n := binary.Uvarint(data)
		if n <= 0 {
			return errMalformedLiveness
		}
		data = data[n:]
		age, n := binary.Uvarint(data)
		if n <= 0 || age > uint64(time.Hour/livenessAgeUnit) {
			return errMalformedLiveness
		}
		data = data[n:]
		liveness.Counter = counter
		liveness.Age = time.Duration(age) * livenessAgeUnit
		*l = append(*l, liveness)
	}
	return nil
}
