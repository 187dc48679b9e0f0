package peer

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// signAgeUnit is the resolution of the age of a sign.
const signAgeUnit = 50 * time.Millisecond

// maxSigns bounds the signs of one message.
const maxSigns = 4096

// Liveness is a sign of life of a process. It is kept small, as it makes up most of
// the traffic between entries.
type Liveness struct {
	// ID is the ShortID of the process, below 1<<40.
	ID uint64
	// Counter grows while the process runs.
	Counter uint64
	// Age is how long ago the sender knew the counter.
	Age time.Duration
}

// signIDBytes is the length of an ID. Of 100 processes two share one with a
// chance of 1 in 200 million; the second is then not found until it restarts.
const signIDBytes = 5

// ShortID returns the ID that stands for an incarnation.
func ShortID(incarnation string) uint64 {
	return xxhash.Sum64String(incarnation) >> (64 - 8*signIDBytes)
}

// LivenessList is a list of signs with a compact binary form.
type LivenessList []Liveness

var errSigns = errors.New("malformed signs")

// MarshalBinary returns the compact form.
func (s LivenessList) MarshalBinary() ([]byte, error) {
	out := make([]byte, 0, 10*len(s))
	for _, sign := range s {
		id := binary.BigEndian.AppendUint64(nil, sign.ID)
		out = append(out, id[8-signIDBytes:]...)
		out = binary.AppendUvarint(out, sign.Counter)
		out = binary.AppendUvarint(out, uint64(max(0, sign.Age)/signAgeUnit))
	}
	return out, nil
}

// UnmarshalBinary reads the compact form.
func (s *LivenessList) UnmarshalBinary(data []byte) error {
	*s = nil
	for len(data) > 0 {
		if len(data) < signIDBytes || len(*s) == maxSigns {
			return errSigns
		}
		id := append(make([]byte, 8-signIDBytes, 8), data[:signIDBytes]...)
		sign := Liveness{ID: binary.BigEndian.Uint64(id)}
		data = data[signIDBytes:]
		counter, n := binary.Uvarint(data)
		if n <= 0 {
			return errSigns
		}
		data = data[n:]
		age, n := binary.Uvarint(data)
		if n <= 0 || age > uint64(time.Hour/signAgeUnit) {
			return errSigns
		}
		data = data[n:]
		sign.Counter = counter
		sign.Age = time.Duration(age) * signAgeUnit
		*s = append(*s, sign)
	}
	return nil
}
