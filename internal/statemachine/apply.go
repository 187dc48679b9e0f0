package statemachine

import (
	"encoding/json"
	"errors"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/finding"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// Apply returns the state after the record at the offset and the decision on the
// record. An offset that was applied before changes nothing. Apply never fails and
// never panics: a record that cannot be applied only advances the offset.
func (s *State) Apply(offset int64, data json.RawMessage) (next *State, d Decision) {
	if offset <= s.offset {
		return s, Decision{Offset: offset, Outcome: Stale, Message: fmt.Sprintf("offset %d is applied", s.offset)}
	}
	defer func() {
		// All entries apply the same records, so a panic would stop every one of
		// them, again after each restart.
		if cause := recover(); cause != nil {
			next = s.clone(offset)
			d = Decision{Offset: offset, Outcome: Malformed, Message: fmt.Sprintf("panic: %v", cause)}
		}
	}()
	return s.apply(offset, data)
}

func (s *State) apply(offset int64, data json.RawMessage) (*State, Decision) {
	next := s.clone(offset)
	record, err := DecodeRecord(data)
	if err != nil {
		return next, next.skipRecord(offset, err)
	}
	if record.Kind == KindSeat {
		return next, next.applySeat(offset, *record.Seat)
	}
	return next, next.applyPublish(offset, *record.Publish)
}

// skipRecord returns the decision on a record that could not be decoded. For a
// record of a newer version, it marks the state as incomplete.
func (s *State) skipRecord(offset int64, err error) Decision {
	d := Decision{Offset: offset, Outcome: Malformed, Message: err.Error()}
	var unsupported *UnsupportedError
	if !errors.As(err, &unsupported) {
		return d
	}
	d.Outcome = Unsupported
	if s.skipped == nil || unsupported.Version < s.skipped.Version {
		s.skipped = &SkippedVersion{Version: unsupported.Version, Offset: offset}
	}
	return d
}

func (s *State) applySeat(offset int64, c seat.Claim) Decision {
	d := Decision{Offset: offset, Kind: KindSeat, Outcome: Accepted}
	seats := 0
	if s.tree != nil {
		seats = s.tree.Seats
	}
	table, err := s.seats.Apply(offset, c, seats)
	if err == nil {
		s.seats = table
		d.Message = seatMessage(c)
		return d
	}
	d.Outcome = Invalid
	d.Message = err.Error()
	var conflict *seat.ConflictError
	if errors.As(err, &conflict) {
		d.Outcome = Conflict
	}
	return d
}

// seatMessage describes an accepted claim in one line.
func seatMessage(c seat.Claim) string {
	if c.Incarnation == "" {
		return fmt.Sprintf("seat %d given up by %s", c.Seat, c.VM)
	}
	return fmt.Sprintf("seat %d taken by %s", c.Seat, c.VM)
}

// applyPublish decides on one publish and applies it to s, which is the copy that
// becomes the next state.
func (s *State) applyPublish(offset int64, p Publish) Decision {
	d := Decision{Offset: offset, Kind: KindPublish, Publisher: p.Publisher, PublishID: p.PublishID}
	branch, err := checkEnvelope(p)
	if err != nil {
		d.Outcome = Malformed
		d.Message = err.Error()
		return d
	}
	d.Branch = branch
	if first, known := s.Receipt(p.PublishID); known {
		d.Outcome = Duplicate
		d.First = &first
		d.Message = fmt.Sprintf("publish %s was decided at offset %d: %s", p.PublishID, first.Offset, first.Outcome)
		return d
	}
	s.decide(&d, p)
	s.receipts = appendBounded(maxReceipts, s.receipts, Receipt{PublishID: p.PublishID, Offset: offset, Outcome: d.Outcome})
	return d
}

// decide fills in the decision and changes the state accordingly.
func (s *State) decide(d *Decision, p Publish) {
	current := s.branches[d.Branch]
	if p.BaseRevision != current.Revision {
		d.Outcome = Conflict
		d.Winner = s.winner(d.Branch)
		d.Message = conflictMessage(p.BaseRevision, current.Revision)
		return
	}
	c, findings := s.candidate(d.Branch, p)
	if len(findings) > 0 {
		d.reject(findings)
		return
	}
	if message := s.checkOwner(d.Branch, p, c.tree); message != "" {
		d.Outcome = NotAllowed
		d.Message = message
		return
	}
	d.Changes = changeLines(s.docs[d.Branch], c.docs[d.Branch])
	if s.tree != nil && tree.NeedsVote(s.docs[d.Branch], c.docs[d.Branch]) {
		s.propose(d, p)
		return
	}
	d.Outcome = Accepted
	d.Revision = s.accept(d.Offset, c)
	d.Closed = s.closeProposals(d.Offset)
}

func (d *Decision) reject(findings finding.List) {
	d.Outcome = Invalid
	d.Findings = findings
	d.Message = fmt.Sprintf("%d findings", len(findings))
}

func conflictMessage(base, current int64) string {
	if current == 0 {
		return fmt.Sprintf("based on revision %d, but the branch is not in force", base)
	}
	return fmt.Sprintf("based on revision %d, but revision %d is in force", base, current)
}

// winner describes the active content of the branch.
func (s *State) winner(b tree.Branch) *Winner {
	active, ok := s.branches[b]
	if !ok {
		return &Winner{Removed: true}
	}
	return &Winner{
		Revision:  active.Revision,
		Offset:    active.Offset,
		Publisher: active.Publisher,
		PublishID: active.PublishID,
		Changes:   active.Changes,
	}
}
