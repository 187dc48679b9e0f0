package follow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/seat"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// beat is the time between two rounds of offers, which stand for heartbeats.
const beat = time.Second

const (
	// slowRead is the time of a read while the log is slow.
	slowRead = 4 * time.Second
	// readTimeout is when a read that is not answered fails.
	readTimeout = 10 * time.Second
)

// pageFault is how a log distorts its pages.
type pageFault int

const (
	pageWhole pageFault = iota
	pageRepeated
	pageReversed
	pageBehindGap
	pageOld
	pageFaults // the number of faults
)

// world is an in-memory log and the entries that follow it. Its history is the
// oracle: the state at an offset is the fold of all records up to it.
type world struct {
	mu         sync.Mutex
	history    []logservice.Record
	states     []*statemachine.State // states[n] is the state at offset n
	oldest     int64
	snapshots  []logservice.Record
	changed    chan struct{}
	down       map[int]bool // entries that cannot reach the log
	frozen     map[int]bool // entries whose reads of the log are not answered
	slow       bool         // each read of the log takes slowRead
	cut        map[int]bool // entries that cannot reach their peers
	pages      pageFault
	latency    time.Duration // of an answer between peers
	loseAnswer bool          // the next snapshot is appended without an answer
	entries    []*worldEntry
	gone       sync.WaitGroup
}

type worldEntry struct {
	*Follower
	cancel context.CancelFunc
	offset int64 // the highest that was seen
}

func newWorld(entries int) *world {
	w := &world{latency: time.Millisecond, changed: make(chan struct{}), down: map[int]bool{}, frozen: map[int]bool{}, cut: map[int]bool{}}
	w.append(founding())
	w.entries = make([]*worldEntry, entries)
	for n := range entries {
		w.start(n)
	}
	return w
}

func (w *world) stop() {
	for n := range w.entries {
		w.entries[n].cancel()
	}
	w.gone.Wait()
}

// start runs a new process as entry n, in place of the one before.
func (w *world) start(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if old := w.entries[n]; old != nil {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := New(Options{
		Log:      worldLog{w, n},
		Client:   worldClient{w, n},
		Position: func(string) int { return n },
	})
	f.recent.limit = keptRecords
	w.entries[n] = &worldEntry{Follower: f, cancel: cancel, offset: -1}
	w.gone.Go(func() { f.Run(ctx) })
	w.gone.Go(func() { w.offer(ctx, n, f) })
}

// offer does what heartbeats do: it tells the follower of peers that are ahead.
func (w *world) offer(ctx context.Context, n int, f *Follower) {
	for ctx.Err() == nil {
		pause(ctx, beat)
		for m := range w.entries {
			w.mu.Lock()
			isCut := w.cut[n] || w.cut[m]
			other := w.entries[m]
			w.mu.Unlock()
			if m != n && !isCut {
				offset, place := other.Position()
				f.ObservePeerOffset(fmt.Sprint(m), offset)
				f.ObserveSnapshot(place)
			}
		}
	}
}

func (w *world) append(data json.RawMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := int64(len(w.history))
	state := statemachine.Empty()
	if offset > 0 {
		state = w.states[offset-1]
	}
	next, _ := state.Apply(offset, data)
	w.history = append(w.history, logservice.Record{Offset: offset, Data: data})
	w.states = append(w.states, next)
	w.wake()
}

// wake ends the waits of all reads; the caller holds mu.
func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// set changes the world under its lock.
func (w *world) set(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
	w.wake()
}

func (w *world) snapshotCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.snapshots)
}

// expire drops the records that the newest snapshot covers.
func (w *world) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.snapshots) == 0 {
		return
	}
	last := w.snapshots[len(w.snapshots)-1]
	state, _ := statemachine.Restore(last.Data)
	w.oldest = max(w.oldest, state.Offset()+1)
}

// worldLog is the log as entry n sees it.
type worldLog struct {
	w *world
	n int
}

func (l worldLog) Append(_ context.Context, stream string, data json.RawMessage) (int64, error) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[l.n] {
		return 0, &logservice.UnavailableError{}
	}
	if stream != logservice.StreamSnapshots {
		return 0, errors.New("entries append only snapshots here")
	}
	offset := int64(len(w.snapshots))
	w.snapshots = append(w.snapshots, logservice.Record{Offset: offset, Data: data})
	if w.loseAnswer {
		w.loseAnswer = false
		return 0, &logservice.UnavailableError{}
	}
	return offset, nil
}

func (l worldLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Page, error) {
	if !l.arrives(ctx) {
		return logservice.Page{}, &logservice.UnavailableError{}
	}
	deadline := time.Now().Add(wait)
	for {
		page, changed, err := l.page(stream, from)
		if err != nil || len(page.Records) > 0 || time.Now().After(deadline) || wait == 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return page, ctx.Err()
		case <-time.After(time.Until(deadline) + time.Millisecond):
		}
	}
}

// arrives reports whether a read reaches the log before it times out.
func (l worldLog) arrives(ctx context.Context) bool {
	l.w.mu.Lock()
	frozen, slow := l.w.frozen[l.n], l.w.slow
	l.w.mu.Unlock()
	switch {
	case frozen:
		pause(ctx, readTimeout)
	case slow:
		pause(ctx, slowRead)
	}
	return !frozen && ctx.Err() == nil
}

func (l worldLog) page(stream string, from int64) (logservice.Page, chan struct{}, error) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[l.n] {
		return logservice.Page{}, nil, &logservice.UnavailableError{}
	}
	all, oldest := w.history, w.oldest
	if stream == logservice.StreamSnapshots {
		all, oldest = w.snapshots, 0
	}
	if from < oldest {
		return logservice.Page{}, nil, &logservice.ExpiredError{Oldest: oldest}
	}
	records := slices.Clone(all[min(from, int64(len(all))):])
	records = records[:min(len(records), 3)] // small pages
	page := logservice.Page{Records: records, Next: from + int64(len(records))}
	if stream == logservice.StreamConfig {
		page.Records = w.distort(page.Records, from)
	}
	return page, w.changed, nil
}

func (w *world) distort(records []logservice.Record, from int64) []logservice.Record {
	switch {
	case len(records) == 0:
	case w.pages == pageRepeated:
		return append(records, records...)
	case w.pages == pageReversed:
		slices.Reverse(records)
	case w.pages == pageBehindGap:
		return records[1:]
	case w.pages == pageOld:
		return append(records, w.history[max(w.oldest, from-2):from]...)
	}
	return records
}

// worldClient is the network as entry n sees it.
type worldClient struct {
	w *world
	n int
}

func (c worldClient) Call(_ context.Context, address, _ string, args, reply any) error {
	var m int
	fmt.Sscan(address, &m)
	c.w.mu.Lock()
	isCut := c.w.cut[c.n] || c.w.cut[m]
	other, latency := c.w.entries[m], c.w.latency
	c.w.mu.Unlock()
	if isCut {
		return &peer.UnreachableError{Address: address}
	}
	err := other.Receiver().Since(args.(*peer.SinceArgs), reply.(*peer.SinceReply))
	time.Sleep(latency)
	return err
}

// founding returns the record that founds a tree of two members.
func founding() json.RawMessage {
	return encode(statemachine.NewPublish(statemachine.Publish{
		Branch:    "/",
		Publisher: "a",
		PublishID: "founding",
		Content: `{"members": ["a", "b"], "quorum": 1, "seats": 4,
"ranks": [{"name": "pay", "order": 1, "target_ms": 100, "queue_length": 9, "queue_bytes": 99, "kept_share": 0.5}],
"budgets": {"probes_per_second": 10, "retry_share": 0.1, "hedge_share": 0.1}}`,
	}))
}

func claim(seatNumber int, incarnation, previous string) json.RawMessage {
	return encode(statemachine.NewSeatClaim(seat.Claim{
		Seat: seatNumber, Incarnation: incarnation, VM: "vm-" + incarnation, Previous: previous,
	}))
}

func encode(r statemachine.Record) json.RawMessage {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	return data
}
