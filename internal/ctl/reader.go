package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// maxGapReads is how often a page that skips offsets is read again.
const maxGapReads = 5

// reader folds the config stream and remembers the decisions.
type reader struct {
	log       logservice.Log
	state     *statemachine.State
	decisions []statemachine.Decision
}

func newReader(log logservice.Log) *reader {
	return &reader{log: log, state: statemachine.Empty()}
}

// catchUp applies all records to the present end of the stream. Its errors are
// *UnknownError.
func (r *reader) catchUp(ctx context.Context) error {
	gaps := 0
	for {
		page, err := r.log.Read(ctx, logservice.StreamConfig, r.state.Offset()+1, 0)
		var expired *logservice.ExpiredError
		if errors.As(err, &expired) {
			if err := r.restore(ctx, expired.Oldest); err != nil {
				return err
			}
			continue
		}
		if err != nil {
			return &UnknownError{Detail: "read the config stream", Err: err}
		}
		if len(page.Records) == 0 {
			return nil
		}
		if r.apply(page.Records) {
			gaps = 0
			continue
		}
		gaps++
		if gaps == maxGapReads {
			return &UnknownError{Detail: fmt.Sprintf("the log returns no record at offset %d", r.state.Offset()+1)}
		}
	}
}

// apply applies the records that follow without a gap, in order of offset, and
// reports whether there were any. A page may hold records twice or out of order.
func (r *reader) apply(records []logservice.Record) bool {
	records = slices.Clone(records)
	slices.SortStableFunc(records, func(a, b logservice.Record) int { return cmp.Compare(a.Offset, b.Offset) })
	before := r.state.Offset()
	for _, record := range records {
		if record.Offset != r.state.Offset()+1 {
			continue
		}
		next, decision := r.state.Apply(record.Offset, record.Data)
		r.state = next
		r.decisions = append(r.decisions, decision)
	}
	return r.state.Offset() > before
}

// restore goes on from the newest snapshot that reaches the oldest kept record.
func (r *reader) restore(ctx context.Context, oldest int64) error {
	best := r.state
	err := eachRecord(ctx, r.log, logservice.StreamSnapshots, func(data json.RawMessage) {
		s, err := statemachine.Restore(data)
		if err == nil && s.Offset() > best.Offset() {
			best = s
		}
	})
	if err != nil {
		return err
	}
	if best.Offset()+1 < oldest {
		return &UnknownError{Detail: fmt.Sprintf("records before offset %d have expired and no snapshot reaches it", oldest)}
	}
	r.state = best
	return nil
}

// eachRecord calls f for each record that the stream keeps.
func eachRecord(ctx context.Context, log logservice.Log, stream string, f func(json.RawMessage)) error {
	from := int64(0)
	for {
		page, err := log.Read(ctx, stream, from, 0)
		var expired *logservice.ExpiredError
		if errors.As(err, &expired) && expired.Oldest > from {
			from = expired.Oldest
			continue
		}
		if err != nil {
			return &UnknownError{Detail: "read the stream " + stream, Err: err}
		}
		for _, record := range page.Records {
			f(record.Data)
		}
		if len(page.Records) == 0 || page.Next <= from {
			return nil
		}
		from = page.Next
	}
}

// decision returns what became of the publish, if it was read: of several
// copies the first. Where its record expired meanwhile, the state's receipt
// tells the outcome alone.
func (r *reader) decision(publishID string) (statemachine.Decision, bool) {
	for _, d := range r.decisions {
		if d.PublishID == publishID && d.Outcome != statemachine.Duplicate {
			return d, true
		}
	}
	receipt, known := r.state.Receipt(publishID)
	d := statemachine.Decision{Offset: receipt.Offset, Outcome: receipt.Outcome, Kind: statemachine.KindPublish, PublishID: publishID}
	return d, known
}

// pause waits for the interval or the end of the context.
func pause(ctx context.Context, interval time.Duration) {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
