package statemachine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshot is the JSON form of a State.
type snapshot struct {
	Version int    `json:"version"`
	Hash    string `json:"hash"`
	State   body   `json:"state"`
}

// body is the part of a snapshot that the hash covers.
type body struct {
	Offset    int64            `json:"offset"`
	Revision  int64            `json:"revision"`
	Branches  []ActiveBranch   `json:"branches,omitempty"`
	Proposals []Proposal       `json:"proposals,omitempty"`
	Closed    []ProposalResult `json:"settled,omitempty"`
	Receipts  []Receipt        `json:"receipts,omitempty"`
	Seats     seat.Table       `json:"seats"`
	Skipped   *SkippedVersion  `json:"lacks,omitempty"`
}

// SnapshotError reports why a snapshot cannot be restored.
type SnapshotError struct{ Detail string }

// Error describes the problem.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Detail }

// Hash returns the SHA-256 of the state in hex. States at the same offset of
// the same stream have the same hash.
func (s *State) Hash() string {
	s.hash.once.Do(func() {
		data, err := json.Marshal(s.body())
		if err != nil {
			panic(fmt.Sprintf("statemachine: state does not marshal: %v", err))
		}
		sum := sha256.Sum256(data)
		s.hash.hex = hex.EncodeToString(sum[:])
	})
	return s.hash.hex
}

// MarshalJSON returns a snapshot, from which Restore returns an equal state.
func (s *State) MarshalJSON() ([]byte, error) {
	return json.Marshal(snapshot{Version: snapshotVersion, Hash: s.Hash(), State: s.body()})
}

func (s *State) body() body {
	return body{
		Offset:    s.offset,
		Revision:  s.revision,
		Branches:  s.Branches(),
		Proposals: s.proposals,
		Closed:    s.closed,
		Receipts:  s.receipts,
		Seats:     s.seats,
		Skipped:   s.skipped,
	}
}

// Restore returns the state of a snapshot. It fails with a *SnapshotError if the
// snapshot is damaged, has another version or holds a tree that is not valid. It
// also fails if an older program skipped records that this program supports:
// restoring that state would revert changes that are active.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, &SnapshotError{Detail: err.Error()}
	}
	if snap.Version != snapshotVersion {
		return nil, &SnapshotError{Detail: fmt.Sprintf("version %d is not known", snap.Version)}
	}
	if skipped := snap.State.Skipped; skipped != nil && skipped.Version <= Version {
		return nil, &SnapshotError{Detail: fmt.Sprintf("leaves out records of version %d from offset %d on", skipped.Version, skipped.Offset)}
	}
	s := snap.State.state()
	if err := s.rebuild(); err != nil {
		return nil, err
	}
	if s.Hash() != snap.Hash {
		return nil, &SnapshotError{Detail: fmt.Sprintf("hash of offset %d does not match", s.offset)}
	}
	return s, nil
}

func (b body) state() *State {
	s := &State{
		offset:    b.Offset,
		revision:  b.Revision,
		proposals: b.Proposals,
		closed:    b.Closed,
		receipts:  b.Receipts,
		seats:     b.Seats,
		skipped:   b.Skipped,
		hash:      &lazyHash{},
	}
	if len(b.Branches) > 0 {
		s.branches = make(map[tree.Branch]ActiveBranch, len(b.Branches))
	}
	for _, active := range b.Branches {
		s.branches[active.Branch] = active
	}
	return s
}

// rebuild parses the documents of the branches and builds the tree.
func (s *State) rebuild() error {
	docs := make(tree.Documents, len(s.branches))
	for branch, active := range s.branches {
		if _, err := tree.ParseBranch(string(branch)); err != nil {
			return &SnapshotError{Detail: err.Error()}
		}
		d, findings := tree.ParseDocument(branch, branch.File(), []byte(active.Content))
		if len(findings) > 0 {
			return &SnapshotError{Detail: findings.Error()}
		}
		docs[branch] = d
	}
	if len(docs) == 0 {
		return nil
	}
	t, findings := tree.Build(docs)
	if len(findings) > 0 {
		return &SnapshotError{Detail: findings.Error()}
	}
	s.docs = docs
	s.tree = t
	return nil
}
