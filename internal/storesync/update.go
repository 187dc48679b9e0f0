package storesync

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"github.com/klauspost/compress/s2"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// maxUpdateBytes bounds the size of an update from another member, compressed and decompressed. It
// is that of all records that may be read from the store at once.
const maxUpdateBytes = 16 << 20

// update holds the changes since a member's versions.
type update struct {
	// Config is the active configuration, empty if it is not newer.
	Config logservice.KeyedRecord
	// ConfigNext is the position from which to continue reading the configuration.
	ConfigNext logservice.Position
	// Evacuations is what the sender knows of evacuated availability zones. It is nil from
	// programs that know nothing of them.
	Evacuations *evacuationState
	// Servers are the records that changed.
	Servers []logservice.KeyedRecord
	// ServersComplete is set if Servers are all records: any server without one whose
	// record is before that position has been removed.
	ServersComplete logservice.Position
	// RemovedNumbers are the last numbers of the servers whose records are removals.
	RemovedNumbers map[string]recordNumbers
	// ServersVersion is the version of the list that includes these records.
	ServersVersion logservice.Position
	// ServersNext is the position from which to continue reading the servers, zero if the
	// sender has read records that it has not applied yet.
	ServersNext logservice.Position
}

// configNext returns the position from which the receiver continues to read the configuration's
// stream, zero if the sender knows nothing of the evacuations before it.
func (u *update) configNext() logservice.Position {
	if u.Evacuations == nil {
		return 0
	}
	return u.ConfigNext
}

// UpdateError reports an update from another member that cannot be used.
type UpdateError struct {
	// Cause says what is wrong with it.
	Cause string
}

// Error returns the cause.
func (e *UpdateError) Error() string { return "malformed update: " + e.Cause }

// encode returns the update in compressed form: configurations and server records repeat
// the same words, and the links of small VMs are narrow.
func (u *update) encode() ([]byte, error) {
	var plain bytes.Buffer
	if err := gob.NewEncoder(&plain).Encode(u); err != nil {
		return nil, fmt.Errorf("encode update: %w", err)
	}
	return s2.EncodeBetter(nil, plain.Bytes()), nil
}

func decodeUpdate(data []byte) (*update, error) {
	size, err := s2.DecodedLen(data)
	if err != nil {
		return nil, &UpdateError{Cause: err.Error()}
	}
	if size > maxUpdateBytes {
		return nil, &UpdateError{Cause: fmt.Sprintf("%d bytes, more than %d", size, maxUpdateBytes)}
	}
	plain, err := s2.Decode(nil, data)
	if err != nil {
		return nil, &UpdateError{Cause: err.Error()}
	}
	u := &update{}
	if err := gob.NewDecoder(bytes.NewReader(plain)).Decode(u); err != nil {
		return nil, &UpdateError{Cause: err.Error()}
	}
	return u, nil
}
