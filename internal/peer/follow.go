package peer

import "encoding/json"

const (
	// ReceiverFollow is the name to register the follower's receiver under.
	ReceiverFollow = "Follow"
	// MethodSince takes SinceArgs and returns a SinceReply.
	MethodSince = ReceiverFollow + ".Since"
)

// SinceArgs asks for the configuration after an offset.
type SinceArgs struct {
	// Offset is the applied offset of the config stream, -1 before the first.
	Offset int64
}

// ConfigRecord is one record of the config stream.
type ConfigRecord struct {
	// Offset is the record's offset in the stream.
	Offset int64
	// Data is the record as it was appended.
	Data json.RawMessage
}

// SinceReply carries records or, if the peer no longer has them, its state.
type SinceReply struct {
	// Offset is the peer's applied offset.
	Offset int64
	// Hash is the hash of the peer's state.
	Hash string
	// Records are the records after the requested offset, without a gap.
	Records []ConfigRecord
	// State is the peer's state as JSON; empty if Records are given.
	State []byte
}
