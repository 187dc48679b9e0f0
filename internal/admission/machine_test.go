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

// fixedSeed makes the runs of the machine the same each time, unless the
// command line names another seed.
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

// places is servers with a number of free places and no other judgement. It has
// fewer than firstLimit, so that no window fills.
type places struct{ free int }

func (p *places) PickBelow(time.Time, []string, float64) (*balancer.Reservation, bool) {
	if p.free == 0 {
		return nil, false
	}
	p.free--
	return &balancer.Reservation{}, true
}
func (p *places) Slots() int                 { return 3 }
func (p *places) Len() int                   { return 3 }
func (p *places) TailLatency() time.Duration { return 0 }

// machine drives a Scheduler and keeps the oracle: plain lists of what waits,
// what runs and who was granted.
type machine struct {
	scheduler *Scheduler
	places    places
	now       time.Time
	ranks     []tree.Rank
	waiting   map[string][]*Item // by rank, oldest first
	running   []*Item
	decided   map[*Item]bool
	granted   []string       // ranks in order of grant
	starved   map[string]int // grants to any rank since the rank last did not wait
	sinceIdle map[string]int // grants to the rank in the same time
}

func newMachine() *machine {
	m := &machine{
		places: places{free: 4}, now: time.Unix(1_700_000_000, 0),
		ranks: []tree.Rank{
			{Name: "payments", Target: 3 * time.Second, QueueLength: 30, QueueBytes: 1000},
			{Name: "lookups", Target: 2 * time.Second, QueueLength: 30, QueueBytes: 500, KeptShare: 0.3},
			{Name: "uploads", Target: 60 * time.Second, QueueLength: 10, QueueBytes: 1000, KeptShare: 0.1, Streams: 2},
		},
		waiting: map[string][]*Item{}, decided: map[*Item]bool{},
		starved: map[string]int{}, sinceIdle: map[string]int{},
	}
	m.scheduler = NewScheduler(&m.places)
	m.scheduler.SetRanks(m.ranks)
	return m
}

// offer adds requests of a rank.
func (m *machine) offer(t *rapid.T) {
	rank := rapid.SampledFrom(m.ranks).Draw(t, "rank")
	for range rapid.IntRange(1, 30).Draw(t, "count") {
		m.offerOne(t, rank)
	}
}

// offerOne adds a request and checks the bounds of the queue.
func (m *machine) offerOne(t *rapid.T, rank tree.Rank) {
	i := &Item{Request: Request{Rank: rank.Name, Upload: rank.Streams > 0}}
	i.Bytes = rapid.Int64Range(0, 60).Draw(t, "bytes")
	if rapid.Bool().Draw(t, "hurried") {
		i.Deadline = m.now.Add(time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left ms")) * time.Millisecond)
	}
	before := m.waiting[rank.Name]
	bytes := i.Bytes
	for _, other := range before {
		bytes += other.Bytes
	}
	full := len(before) >= rank.QueueLength || bytes > rank.QueueBytes
	refusal := m.scheduler.Enqueue(i, m.now)
	if refusal == nil {
		if full {
			t.Fatalf("%s took more than its length or bytes", rank.Name)
		}
		m.waiting[rank.Name] = append(before, i)
		return
	}
	if refusal.Outcome != outcome.NotRun {
		t.Fatalf("refused as %s", refusal.Outcome)
	}
	if len(before) == 0 && !full && refusal.Reason != outcome.ReasonDeadline && refusal.Reason != outcome.ReasonQueueWait {
		t.Fatalf("an empty queue refused with %s", refusal.Reason)
	}
}

// serve lets time pass, ends some running requests and decides what can be decided.
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
			m.check(t, d)
		}
	}
}

func (m *machine) finish(t *rapid.T) {
	n := rapid.IntRange(0, len(m.running)-1).Draw(t, "finished")
	m.scheduler.Finish(m.running[n], balancer.Result{})
	m.running = append(m.running[:n:n], m.running[n+1:]...)
	m.places.free++
}

// remove takes out a request whose caller has gone.
func (m *machine) remove(t *rapid.T) {
	rank := rapid.SampledFrom(m.ranks).Draw(t, "rank").Name
	if len(m.waiting[rank]) == 0 {
		t.Skip("nothing waits")
	}
	n := rapid.IntRange(0, len(m.waiting[rank])-1).Draw(t, "index")
	i := m.waiting[rank][n]
	if !m.scheduler.Remove(i) || m.scheduler.Remove(i) {
		t.Fatal("a waiting request was not removed exactly once")
	}
	m.forget(i, n)
}

func (m *machine) forget(i *Item, n int) {
	list := m.waiting[i.Rank]
	m.waiting[i.Rank] = append(list[:n:n], list[n+1:]...)
	m.decided[i] = true
}

// check compares a decision with the oracle.
func (m *machine) check(t *rapid.T, d Decision) {
	i := d.Item
	if m.decided[i] {
		t.Fatal("a request was decided twice")
	}
	if len(m.waiting[i.Rank]) == 0 || m.waiting[i.Rank][0] != i {
		t.Fatalf("%s: not the oldest one", i.Rank)
	}
	if d.Refusal != nil {
		m.forget(i, 0)
		return
	}
	if !i.Deadline.IsZero() && !m.now.Before(i.Deadline) {
		t.Fatal("granted after its deadline")
	}
	m.checkOrder(t, i.Rank)
	m.forget(i, 0)
	m.running = append(m.running, i)
	m.count(t, i.Rank)
}

// checkOrder fails when a more urgent rank waited, unless this one was owed a
// part of its kept share.
func (m *machine) checkOrder(t *rapid.T, rank string) {
	for _, r := range m.ranks {
		if r.Name == rank {
			return
		}
		if len(m.waiting[r.Name]) == 0 {
			continue
		}
		if m.shareOf(rank) > m.kept(rank)+1.0/shareWindow {
			t.Fatalf("%s went before %s with a share of %.3f", rank, r.Name, m.shareOf(rank))
		}
	}
}

func (m *machine) kept(rank string) float64 {
	for _, r := range m.ranks {
		if r.Name == rank {
			return r.KeptShare
		}
	}
	return 0
}

// shareOf is the decayed share of the grants that went to the rank.
func (m *machine) shareOf(rank string) float64 {
	share := m.kept(rank)
	for _, g := range m.granted {
		share -= share / shareWindow
		if g == rank {
			share = math.Min(share+1.0/shareWindow, mostShare*m.kept(rank))
		}
	}
	return share
}

// count checks that a rank that waits all the time gets its kept share.
func (m *machine) count(t *rapid.T, rank string) {
	m.granted = append(m.granted, rank)
	for _, r := range m.ranks {
		if len(m.waiting[r.Name]) == 0 || r.Streams > 0 {
			m.starved[r.Name], m.sinceIdle[r.Name] = 0, 0
			continue
		}
		m.starved[r.Name]++
		if r.Name == rank {
			m.sinceIdle[r.Name]++
		}
		// The memory of an earlier surplus is at most a quarter of the share.
		late := (mostShare - 1) * r.KeptShare * shareWindow
		owed := r.KeptShare*float64(m.starved[r.Name]) - late - 1
		if float64(m.sinceIdle[r.Name]) < owed {
			t.Fatalf("%s got %d of %d grants", r.Name, m.sinceIdle[r.Name], m.starved[r.Name])
		}
	}
}

// invariant holds between all actions.
func (m *machine) invariant(t *rapid.T) {
	total, uploads := 0, 0
	for _, list := range m.waiting {
		total += len(list)
	}
	if total != m.scheduler.Waiting() {
		t.Fatalf("%d wait, the oracle has %d", m.scheduler.Waiting(), total)
	}
	for _, i := range m.running {
		if i.Upload {
			uploads++
		}
	}
	if uploads > 2 {
		t.Fatalf("%d uploads run, at most 2 may", uploads)
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
