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

// heartbeatInterval is the time between simulated heartbeats, which carry the
// positions of peers.
const heartbeatInterval = time.Second

const (
	// slowReadTime is the duration of a read while the log is slow.
	slowReadTime = 4 * time.Second
	// readTimeout is the time after which a read fails if the log doesn't respond.
	readTimeout = 10 * time.Second
)

// pageFault is a fault in the pages that the log returns.
type pageFault int

const (
	pageIntact pageFault = iota
	pageRepeated
	pageReversed
	pageBehindGap
	pageWithOldRecords
	pageFaultCount // the number of pageFault values above
)

// world is a simulated cluster: an in-memory log and the entries that follow it.
// It is also the reference model: the state at an offset results from applying all
// records up to it.
type world struct {
	mu           sync.Mutex
	records      []logservice.Record
	states       []*statemachine.State // states[n] is the state at offset n
	oldest       int64                 // oldest offset that has not expired
	snapshots    []logservice.Record
	changed      chan struct{} // closed and replaced at each change
	logDown      map[int]bool  // entries that cannot reach the log
	logHangs     map[int]bool  // entries whose reads of the log get no response
	logSlow      bool          // each read of the log takes slowReadTime
	partitioned  map[int]bool  // entries that cannot reach their peers
	pageFault    pageFault
	latency      time.Duration // of a reply between peers
	loseResponse bool          // the response to the next append of a snapshot is lost
	entries      []*worldEntry
	running      sync.WaitGroup
}

type worldEntry struct {
	*Follower
	cancel context.CancelFunc
	offset int64 // applied offset at the last check
}

func newWorld(entries int) *world {
	w := &world{latency: time.Millisecond, changed: make(chan struct{}), logDown: map[int]bool{}, logHangs: map[int]bool{}, partitioned: map[int]bool{}}
	w.append(initialRecord())
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
	w.running.Wait()
}

// start runs a new process as entry n and stops the previous one.
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
	f.recent.maxRecords = recentRecordsKept
	w.entries[n] = &worldEntry{Follower: f, cancel: cancel, offset: -1}
	w.running.Go(func() { f.Run(ctx) })
	w.running.Go(func() { w.exchangeHeartbeats(ctx, n, f) })
}

// exchangeHeartbeats passes the positions of the other entries to the follower, as
// heartbeats do.
func (w *world) exchangeHeartbeats(ctx context.Context, n int, f *Follower) {
	for ctx.Err() == nil {
		pause(ctx, heartbeatInterval)
		for m := range w.entries {
			w.mu.Lock()
			partitioned := w.partitioned[n] || w.partitioned[m]
			other := w.entries[m]
			w.mu.Unlock()
			if m != n && !partitioned {
				offset, snapshot := other.Offsets()
				f.ObservePeerOffset(fmt.Sprint(m), offset)
				f.ObserveSnapshot(snapshot)
			}
		}
	}
}

// append adds a record to the log and computes the expected state at its offset.
func (w *world) append(data json.RawMessage) {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset := int64(len(w.records))
	state := statemachine.Empty()
	if offset > 0 {
		state = w.states[offset-1]
	}
	next, _ := state.Apply(offset, data)
	w.records = append(w.records, logservice.Record{Offset: offset, Data: data})
	w.states = append(w.states, next)
	w.wake()
}

// wake ends the waits of all reads; the caller holds mu.
func (w *world) wake() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// set changes the world under its lock and wakes all reads.
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

// expire marks the records that the newest snapshot covers as expired.
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

// worldLog is the log service as seen by entry n.
type worldLog struct {
	w *world
	n int
}

func (l worldLog) Append(_ context.Context, stream string, data json.RawMessage) (int64, error) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logDown[l.n] {
		return 0, &logservice.UnavailableError{}
	}
	if stream != logservice.StreamSnapshots {
		return 0, errors.New("entries append only snapshots in this test")
	}
	offset := int64(len(w.snapshots))
	w.snapshots = append(w.snapshots, logservice.Record{Offset: offset, Data: data})
	if w.loseResponse {
		w.loseResponse = false
		return 0, &logservice.UnavailableError{}
	}
	return offset, nil
}

func (l worldLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Page, error) {
	if !l.awaitLog(ctx) {
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

// awaitLog simulates a slow or hanging log. It reports whether a read reaches the
// log before it times out.
func (l worldLog) awaitLog(ctx context.Context) bool {
	l.w.mu.Lock()
	hangs, slow := l.w.logHangs[l.n], l.w.logSlow
	l.w.mu.Unlock()
	switch {
	case hangs:
		pause(ctx, readTimeout)
	case slow:
		pause(ctx, slowReadTime)
	}
	return !hangs && ctx.Err() == nil
}

func (l worldLog) page(stream string, from int64) (logservice.Page, chan struct{}, error) {
	w := l.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logDown[l.n] {
		return logservice.Page{}, nil, &logservice.UnavailableError{}
	}
	all, oldest := w.records, w.oldest
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

// distort applies the page fault to the records of a page.
func (w *world) distort(records []logservice.Record, from int64) []logservice.Record {
	switch {
	case len(records) == 0:
	case w.pageFault == pageRepeated:
		return append(records, records...)
	case w.pageFault == pageReversed:
		slices.Reverse(records)
	case w.pageFault == pageBehindGap:
		return records[1:]
	case w.pageFault == pageWithOldRecords:
		return append(records, w.records[max(w.oldest, from-2):from]...)
	}
	return records
}

// worldClient is the network between entries as seen by entry n.
type worldClient struct {
	w *world
	n int
}

func (c worldClient) Call(_ context.Context, address, _ string, args, reply any) error {
	var m int
	fmt.Sscan(address, &m)
	c.w.mu.Lock()
	partitioned := c.w.partitioned[c.n] || c.w.partitioned[m]
	other, latency := c.w.entries[m], c.w.latency
	c.w.mu.Unlock()
	if partitioned {
		return &peer.UnreachableError{Address: address}
	}
	err := other.Receiver().Since(args.(*peer.SinceArgs), reply.(*peer.SinceReply))
	time.Sleep(latency)
	return err
}

// initialRecord returns the record that publishes the initial tree, of two members.
func initialRecord() json.RawMessage {
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
