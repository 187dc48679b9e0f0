// Package statemachine is a replicated state machine. It computes the active state
// as a pure function of the config stream: the same records in the same order give
// the same State at every entry.
//
// A record that cannot be applied, is malformed or comes from a newer version
// results in a Decision and never in an error, so that no record can stop an entry.
package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"chestnutrouter.example/chestnutrouter/internal/seat"
)

// Version is the newest record version that this program supports.
const Version = 1

// MaxRecordBytes is the size of the largest record that is applied, in bytes.
const MaxRecordBytes = 1 << 20

// Kind is the type of a record.
type Kind string

// Kinds of records on the config stream.
const (
	// KindPublish replaces or removes a branch of the tree.
	KindPublish Kind = "publish"
	// KindSeat claims or gives up a seat, which is a share of the global limits.
	KindSeat Kind = "seat"
)

// Record is one record of the config stream. Only the field of its kind is set.
type Record struct {
	Version int         `json:"version"`
	Kind    Kind        `json:"kind"`
	Publish *Publish    `json:"publish,omitempty"`
	Seat    *seat.Claim `json:"seat,omitempty"`
}

// Publish requests that a branch is replaced or removed.
type Publish struct {
	// Branch is the path of the branch.
	Branch string `json:"branch"`
	// BaseRevision is the branch's revision on which the publish is based; zero if
	// the branch did not exist.
	BaseRevision int64 `json:"base_revision"`
	// Content is the text of the branch's document.
	Content string `json:"content,omitempty"`
	// Remove removes the branch instead.
	Remove bool `json:"remove,omitempty"`
	// Children are further branches of the initial publish, which creates the tree.
	Children []Child `json:"children,omitempty"`
	// Publisher is "member" or "member/person".
	Publisher string `json:"publisher"`
	// PublishID is unique; a later record with the same id is ignored.
	PublishID string `json:"publish_id"`
}

// Child is a further branch of the initial publish.
type Child struct {
	Branch  string `json:"branch"`
	Content string `json:"content"`
}

// NewPublish returns the record of a publish.
func NewPublish(p Publish) Record {
	return Record{Version: Version, Kind: KindPublish, Publish: &p}
}

// NewSeatClaim returns the record of a seat claim.
func NewSeatClaim(c seat.Claim) Record {
	return Record{Version: Version, Kind: KindSeat, Seat: &c}
}

// Encode returns the data to append to the config stream.
func (r Record) Encode() (json.RawMessage, error) { return json.Marshal(r) }

// MalformedError reports that a record does not have the form of its version.
type MalformedError struct{ Detail string }

// Error describes the problem.
func (e *MalformedError) Error() string { return "malformed record: " + e.Detail }

// UnsupportedError reports that a record is of a newer version. Each new kind
// raises the version, so an unknown kind in a supported version is malformed.
type UnsupportedError struct {
	Version int
	Kind    Kind
}

// Error returns the record's version and kind, and the supported version.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("record of version %d and kind %q is not known to version %d", e.Version, e.Kind, Version)
}

// DecodeRecord decodes a record. Its errors are *MalformedError and
// *UnsupportedError.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, &MalformedError{Detail: fmt.Sprintf("%d bytes are more than %d", len(data), MaxRecordBytes)}
	}
	var header struct {
		Version int  `json:"version"`
		Kind    Kind `json:"kind"`
	}
	if err := json.Unmarshal(data, &header); err != nil {
		return Record{}, &MalformedError{Detail: err.Error()}
	}
	if header.Version > Version {
		return Record{}, &UnsupportedError{Version: header.Version, Kind: header.Kind}
	}
	return decodeKnown(data)
}

// decodeKnown decodes a record of a supported version. It rejects unknown fields,
// as one could change the meaning of the record.
func decodeKnown(data []byte) (Record, error) {
	var r Record
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&r); err != nil {
		return Record{}, &MalformedError{Detail: err.Error()}
	}
	if _, err := dec.Token(); err != io.EOF {
		return Record{}, &MalformedError{Detail: "data after the record"}
	}
	switch {
	case r.Version < 1, r.Kind != KindPublish && r.Kind != KindSeat:
		return Record{}, &MalformedError{Detail: fmt.Sprintf("version %d, kind %q", r.Version, r.Kind)}
	case (r.Kind == KindPublish) != (r.Publish != nil), (r.Kind == KindSeat) != (r.Seat != nil):
		return Record{}, &MalformedError{Detail: fmt.Sprintf("fields do not fit kind %q", r.Kind)}
	default:
		return r, nil
	}
}
