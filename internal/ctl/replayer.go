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

// maxGapReads is the number of consecutive reads without the next offset after
// which catchUp gives up.
const maxGapReads = 5

// logReplayer applies the records of the config stream to a state and keeps the
// decisions.
type logReplayer struct {
	log       logservice.Log
	state     *statemachine.State
	decisions []statemachine.Decision
}

func newLogReplayer(log logservice.Log) *logReplayer {
	return &logReplayer{log: log, state: statemachine.Empty()}
}

// catchUp applies all records up to the current end of the stream. Its errors are
// of type *UnknownError.
func (r *logReplayer) catchUp(ctx context.Context) error {
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

// apply applies the records that follow the state without a gap, in order of
// offset, and reports whether there were any. A page may contain duplicate records
// or records out of order.
func (r *logReplayer) apply(records []logservice.Record) bool {
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

// restore replaces the state by the newest snapshot, unless the state is newer. It
// fails if the records from there to the oldest retained one have expired.
func (r *logReplayer) restore(ctx context.Context, oldest int64) error {
	best := r.state
	err := forEachRecord(ctx, r.log, logservice.StreamSnapshots, func(data json.RawMessage) {
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

// forEachRecord calls f for each record that the stream still retains.
func forEachRecord(ctx context.Context, log logservice.Log, stream string, f func(json.RawMessage)) error {
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

// decision returns the decision on the publish, if its record was read. If there
// are several copies of the record, the first one counts. If the record has expired
// meanwhile, the decision holds only what the state's receipt contains.
func (r *logReplayer) decision(publishID string) (statemachine.Decision, bool) {
	for _, d := range r.decisions {
		if d.PublishID == publishID && d.Outcome != statemachine.Duplicate {
			return d, true
		}
	}
	receipt, known := r.state.Receipt(publishID)
	d := statemachine.Decision{Offset: receipt.Offset, Outcome: receipt.Outcome, Kind: statemachine.KindPublish, PublishID: publishID}
	return d, known
}

// sleep waits until the interval has passed or the context is done.
func sleep(ctx context.Context, interval time.Duration) {
	t := time.NewTimer(interval)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
