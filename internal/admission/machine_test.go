package admission

import (
	"flag"
	"math"
	"os"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"pgregory.net/rapid"
)

// fixedSeed makes the runs of the model test reproducible, unless the command
// line sets another seed.
const fixedSeed = "20261204"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", fixedSeed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// fakePicker is a Picker with a number of free slots that ignores load and
// excluded servers. It has fewer slots than initialLimit, so that no window
// fills.
type fakePicker struct{ free int }

func (p *fakePicker) PickBelow(time.Time, []string, float64) (*balancer.Reservation, bool) {
	if p.free == 0 {
		return nil, false
	}
	p.free--
	return &balancer.Reservation{}, true
}
func (p *fakePicker) Slots() int                 { return 3 }
func (p *fakePicker) Len() int                   { return 3 }
func (p *fakePicker) TailLatency() time.Duration { return 0 }

// machine is a rapid state machine that drives a Scheduler and compares it with
// a reference model: plain lists of the waiting and running requests and of the
// grants.
type machine struct {
	scheduler             *Scheduler
	picker                fakePicker
	now                   time.Time
	ranks                 []tree.Rank
	waiting               map[string][]*Item // by rank, oldest first
	running               []*Item
	decided               map[*Item]bool
	granted               []string       // ranks in order of grant
	grantsWhileWaiting    map[string]int // grants to any rank since this rank last had none waiting
	ownGrantsWhileWaiting map[string]int // grants to this rank in the same time
}

func newMachine() *machine {
	m := &machine{
		picker: fakePicker{free: 4}, now: time.Unix(1_700_000_000, 0),
		ranks: []tree.Rank{
			{Name: "payments", Target: 3 * time.Second, QueueLength: 30, QueueBytes: 1000},
			{Name: "lookups", Target: 2 * time.Second, QueueLength: 30, QueueBytes: 500, KeptShare: 0.3},
			{Name: "uploads", Target: 60 * time.Second, QueueLength: 10, QueueBytes: 1000, KeptShare: 0.1, Streams: 2},
		},
		waiting: map[string][]*Item{}, decided: map[*Item]bool{},
		grantsWhileWaiting: map[string]int{}, ownGrantsWhileWaiting: map[string]int{},
	}
	m.scheduler = NewScheduler(&m.picker)
	m.scheduler.SetRanks(m.ranks)
	return m
}

// offer enqueues requests of a rank.
func (m *machine) offer(t *rapid.T) {
	rank := rapid.SampledFrom(m.ranks).Draw(t, "rank")
	for range rapid.IntRange(1, 30).Draw(t, "count") {
		m.offerOne(t, rank)
	}
}

// offerOne enqueues a request and checks the bounds of the queue.
func (m *machine) offerOne(t *rapid.T, rank tree.Rank) {
	item := &Item{Request: Request{Rank: rank.Name, Upload: rank.Streams > 0}}
	item.Bytes = rapid.Int64Range(0, 60).Draw(t, "bytes")
	if rapid.Bool().Draw(t, "hurried") {
		item.Deadline = m.now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left ms")) * time.Millisecond)
	}
	before := m.waiting[rank.Name]
	bytes := item.Bytes
	for _, other := range before {
		bytes += other.Bytes
	}
	full := len(before) >= rank.QueueLength || bytes > rank.QueueBytes
	refusal := m.scheduler.Enqueue(item, m.now)
	if refusal == nil {
		if full {
			t.Fatalf("%s: enqueued a request past the queue's length or bytes, want a refusal", rank.Name)
		}
		m.waiting[rank.Name] = append(before, item)
		return
	}
	if refusal.Outcome != outcome.NotRun {
		t.Fatalf("refused with outcome %s, want not-run", refusal.Outcome)
	}
	if len(before) == 0 && !full && refusal.Reason != outcome.ReasonDeadline && refusal.Reason != outcome.ReasonQueueWait {
		t.Fatalf("empty queue refused with %s, want admission", refusal.Reason)
	}
}

// serve advances the time, ends some running requests and decides all items
// that can be decided.
func (m *machine) serve(t *rapid.T) {
	for range rapid.IntRange(1, 40).Draw(t, "rounds") {
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "ms")) * time.Millisecond)
		if len(m.running) > 0 {
			m.finish(t)
		}
		for {
			d, ok := m.scheduler.Next(m.now)
			if !ok {
				break
			}
			m.checkDecision(t, d)
		}
	}
}

func (m *machine) finish(t *rapid.T) {
	n := rapid.IntRange(0, len(m.running)-1).Draw(t, "finished")
	m.scheduler.Finish(m.running[n], balancer.Result{}, m.now)
	m.running = append(m.running[:n:n], m.running[n+1:]...)
	m.picker.free++
}

// remove removes a waiting request, as when its caller disconnects.
func (m *machine) remove(t *rapid.T) {
	rank := rapid.SampledFrom(m.ranks).Draw(t, "rank").Name
	if len(m.waiting[rank]) == 0 {
		t.Skip("nothing waits")
	}
	n := rapid.IntRange(0, len(m.waiting[rank])-1).Draw(t, "index")
	item := m.waiting[rank][n]
	if !m.scheduler.Remove(item) || m.scheduler.Remove(item) {
		t.Fatal("a waiting request was not removed exactly once")
	}
	m.forget(item, n)
}

func (m *machine) forget(item *Item, n int) {
	list := m.waiting[item.Rank]
	m.waiting[item.Rank] = append(list[:n:n], list[n+1:]...)
	m.decided[item] = true
}

// checkDecision compares a decision with the reference model.
func (m *machine) checkDecision(t *rapid.T, d Decision) {
	item := d.Item
	if m.decided[item] {
		t.Fatal("a request was decided twice")
	}
	if len(m.waiting[item.Rank]) == 0 || m.waiting[item.Rank][0] != item {
		t.Fatalf("%s: decided a request that is not the oldest of its rank", item.Rank)
	}
	if d.Refusal != nil {
		m.forget(item, 0)
		return
	}
	if !item.Deadline.IsZero() && !m.now.Before(item.Deadline) {
		t.Fatal("a request was granted after its deadline")
	}
	m.checkOrder(t, item.Rank)
	m.forget(item, 0)
	m.running = append(m.running, item)
	m.checkShares(t, item.Rank)
}

// checkOrder fails if a higher rank has waiting requests, unless this rank is
// still below its guaranteed share.
func (m *machine) checkOrder(t *rapid.T, rank string) {
	for _, r := range m.ranks {
		if r.Name == rank {
			return
		}
		if len(m.waiting[r.Name]) == 0 {
			continue
		}
		if m.shareOf(rank) > m.guaranteedShare(rank)+1.0/shareWindow {
			t.Fatalf("%s dispatched before the higher rank %s with a share of %.3f, above its guaranteed share", rank, r.Name, m.shareOf(rank))
		}
	}
}

func (m *machine) guaranteedShare(rank string) float64 {
	for _, r := range m.ranks {
		if r.Name == rank {
			return r.KeptShare
		}
	}
	return 0
}

// shareOf returns the decayed share of the grants that went to the rank.
func (m *machine) shareOf(rank string) float64 {
	share := m.guaranteedShare(rank)
	for _, g := range m.granted {
		share -= share / shareWindow
		if g == rank {
			share = math.Min(share+1.0/shareWindow, maxRememberedShare*m.guaranteedShare(rank))
		}
	}
	return share
}

// checkShares checks that a rank whose requests wait all the time gets its
// guaranteed share.
func (m *machine) checkShares(t *rapid.T, rank string) {
	m.granted = append(m.granted, rank)
	for _, r := range m.ranks {
		if len(m.waiting[r.Name]) == 0 || r.Streams > 0 {
			m.grantsWhileWaiting[r.Name], m.ownGrantsWhileWaiting[r.Name] = 0, 0
			continue
		}
		m.grantsWhileWaiting[r.Name]++
		if r.Name == rank {
			m.ownGrantsWhileWaiting[r.Name]++
		}
		// An earlier surplus is remembered up to a quarter of the share.
		surplus := (maxRememberedShare - 1) * r.KeptShare * shareWindow
		owed := r.KeptShare*float64(m.grantsWhileWaiting[r.Name]) - surplus - 1
		if float64(m.ownGrantsWhileWaiting[r.Name]) < owed {
			t.Fatalf("%s got %d of %d grants, less than its guaranteed share", r.Name, m.ownGrantsWhileWaiting[r.Name], m.grantsWhileWaiting[r.Name])
		}
	}
}

// invariant is checked between all actions.
func (m *machine) invariant(t *rapid.T) {
	total, uploads := 0, 0
	for _, list := range m.waiting {
		total += len(list)
	}
	if total != m.scheduler.Waiting() {
		t.Fatalf("%d requests waiting, the reference model has %d", m.scheduler.Waiting(), total)
	}
	for _, item := range m.running {
		if item.Upload {
			uploads++
		}
	}
	if uploads > 2 {
		t.Fatalf("%d uploads running, want at most 2", uploads)
	}
}

func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"offer": m.offer, "offer again": m.offer,
			"serve": m.serve, "remove": m.remove, "": m.invariant,
		})
	})
}
