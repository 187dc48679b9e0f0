// Package statemachine computes the state in force as a pure function of the config
// stream: the same records in the same order give the same State everywhere.
//
// A record that cannot be applied, is malformed or comes from a newer version
// is a Decision and never an error, so that no record can stop an entry.
package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"chestnutrouter.example/chestnutrouter/internal/seat"
)

// Version is the newest version of records that this program understands.
const Version = 1

// MaxRecordBytes is the size of the largest record that is applied.
const MaxRecordBytes = 1 << 20

// Kind says what a record does.
type Kind string

// Kinds of records on the config stream.
const (
	// KindPublish replaces or removes a branch of the tree.
	KindPublish Kind = "publish"
	// KindSeat claims a share of the voted limits.
	KindSeat Kind = "seat"
)

// Record is one record of the config stream. The field of its kind is set.
type Record struct {
	Version int         `json:"version"`
	Kind    Kind        `json:"kind"`
	Publish *Publish    `json:"publish,omitempty"`
	Seat    *seat.Claim `json:"seat,omitempty"`
}

// Publish asks for a branch to be replaced.
type Publish struct {
	// Branch is the path of the branch.
	Branch string `json:"branch"`
	// BaseRevision is the revision that the publisher saw in force, and zero
	// where the branch was not in force.
	BaseRevision int64 `json:"base_revision"`
	// Content is the text of the branch's file.
	Content string `json:"content,omitempty"`
	// Remove takes the branch out instead.
	Remove bool `json:"remove,omitempty"`
	// Children are further branches of a first publish, which founds the tree.
	Children []Child `json:"children,omitempty"`
	// Publisher is "member" or "member/person".
	Publisher string `json:"publisher"`
	// PublishID is unique; a second record with the same id is ignored.
	PublishID string `json:"publish_id"`
}

// Child is a branch that comes with a founding publish.
type Child struct {
	Branch  string `json:"branch"`
	Content string `json:"content"`
}

// NewPublish returns the record of a publish.
func NewPublish(p Publish) Record {
	return Record{Version: Version, Kind: KindPublish, Publish: &p}
}

// NewSeatClaim returns the record of a claim.
func NewSeatClaim(c seat.Claim) Record {
	return Record{Version: Version, Kind: KindSeat, Seat: &c}
}

// Encode returns the data to append to the config stream.
func (r Record) Encode() (json.RawMessage, error) { return json.Marshal(r) }

// MalformedError tells that a record does not have the form of its version.
type MalformedError struct{ Detail string }

// Error says what is wrong.
func (e *MalformedError) Error() string { return "malformed record: " + e.Detail }

// UnsupportedError tells that a record comes from a newer version. A new kind
// comes with a new version, so an unknown kind of a known version is malformed.
type UnsupportedError struct {
	Version int
	Kind    Kind
}

// Error names the version and kind.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("record of version %d and kind %q is not known to version %d", e.Version, e.Kind, Version)
}

// DecodeRecord decodes a record. Its errors are *MalformedError and
// *UnsupportedError.
func DecodeRecord(data []byte) (Record, error) {
	if len(data) > MaxRecordBytes {
		return Record{}, &MalformedError{Detail: fmt.Sprintf("%d bytes are more than %d", len(data), MaxRecordBytes)}
	}
	var head struct {
		Version int  `json:"version"`
		Kind    Kind `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{}, &MalformedError{Detail: err.Error()}
	}
	if head.Version > Version {
		return Record{}, &UnsupportedError{Version: head.Version, Kind: head.Kind}
	}
	return decodeKnown(data)
}

// decodeKnown decodes strictly: a field that this version does not know could
// change the meaning of the record.
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
