package admission

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// fakePredictivePicker has slots at servers at full speed, where a request
// takes its nominal service time, and at slowed ones, where it takes
// slowedFactor times as long.
type fakePredictivePicker struct {
	fakePicker
	fullSpeed, slowed int
}

const slowedFactor = 5

func (p *fakePredictivePicker) ReportsSlowdown() bool { return true }

func (p *fakePredictivePicker) PickWithin(_ time.Time, _ []string, serviceTime, within time.Duration, _ int64) (*balancer.Reservation, bool) {
	switch {
	case p.fullSpeed > 0 && serviceTime <= within:
		p.fullSpeed--
		return &balancer.Reservation{}, true
	case p.slowed > 0 && slowedFactor*serviceTime <= within:
		p.slowed--
		return &balancer.Reservation{}, true
	default:
		return nil, false
	}
}

// PickSpare picks like PickWithin: it does not model that slots at full speed
// are left to requests that can still meet their target.
func (p *fakePredictivePicker) PickSpare(now time.Time, exclude []string, serviceTime, within, _ time.Duration, body int64) (*balancer.Reservation, bool) {
	return p.PickWithin(now, exclude, serviceTime, within, body)
}

var testRanks = []tree.Rank{
	{Name: "look", Order: 0, Target: 250 * time.Millisecond, QueueLength: 100, QueueBytes: 1 << 20, KeptShare: 0.1},
	{Name: "order", Order: 1, Target: 300 * time.Millisecond, QueueLength: 100, QueueBytes: 1 << 20, KeptShare: 0.1},
	{Name: "upload", Order: 2, Target: 800 * time.Millisecond, QueueLength: 100, QueueBytes: 1 << 20, KeptShare: 0.1},
}

func newTestScheduler(servers Picker) *Scheduler {
	s := NewScheduler(servers)
	s.SetRanks(testRanks)
	return s
}

func mustEnqueue(t *testing.T, s *Scheduler, rank string, now time.Time) *Item {
	t.Helper()
	item := &Item{Request: Request{Rank: rank, Deadline: now.Add(time.Second)}}
	if refusal := s.Enqueue(item, now); refusal != nil {
		t.Fatalf("%s refused: %v", rank, refusal)
	}
	return item
}

// decideAll decides all items that can be decided now.
func decideAll(s *Scheduler, now time.Time) (granted []*Item, refused []Decision) {
	for {
		d, ok := s.Next(now)
		if !ok {
			return granted, refused
		}
		if d.Refusal != nil {
			refused = append(refused, d)
		} else {
			granted = append(granted, d.Item)
		}
	}
}

// Scenario: noisy neighbours slow servers. Only a request whose target allows
// it is sent to a slowed server; the others wait for one at full speed.
func TestSlowedServersGetOnlyRequestsWhoseTargetAllows(t *testing.T) {
	servers := &fakePredictivePicker{slowed: 2}
	s, now := newTestScheduler(servers), time.Now()
	look := mustEnqueue(t, s, "look", now)
	upload := mustEnqueue(t, s, "upload", now)
	// The initial nominal service time of an upload is 0.35 of its target, five
	// times that would be too long.
	s.queue("upload").estimateOf(&upload.Request).update(now, 800*time.Millisecond, 110*time.Millisecond)
	granted, _ := decideAll(s, now)
	if len(granted) != 1 || granted[0] != upload {
		t.Fatalf("granted %v at slowed servers, want the upload only", granted)
	}
	servers.fullSpeed = 1
	granted, _ = decideAll(s, now.Add(10*time.Millisecond))
	if len(granted) != 1 || granted[0] != look {
		t.Fatalf("granted %v at a server at full speed, want the lookup", granted)
	}
}

// Requests that can no longer meet their target are served after all that can.
func TestLateWorkComesLast(t *testing.T) {
	servers := &fakePredictivePicker{}
	s, now := newTestScheduler(servers), time.Now()
	late := mustEnqueue(t, s, "look", now)
	decideAll(s, now)
	now = now.Add(200 * time.Millisecond)
	if granted, refused := decideAll(s, now); len(granted)+len(refused) != 0 {
		t.Fatal("decided a request without a free slot, want no decision")
	}
	fresh := mustEnqueue(t, s, "order", now)
	servers.fullSpeed = 1
	granted, _ := decideAll(s, now)
	if len(granted) != 1 || granted[0] != fresh {
		t.Fatalf("granted %v, want the request that can meet its target", granted)
	}
	servers.fullSpeed = 1
	granted, _ = decideAll(s, now)
	if len(granted) != 1 || granted[0] != late {
		t.Fatalf("granted %v, want the late request", granted)
	}
}

// Scenario: a burst beyond capacity. New requests are refused immediately, with a
// Retry-After, when the expected wait shows that they can't meet their target.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	servers := &fakePredictivePicker{}
	s, now := newTestScheduler(servers), time.Now()
	refusals := 0
	for i := range 400 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if i%20 == 0 {
			servers.fullSpeed = 1
		}
		item := &Item{Request: Request{Rank: "look", Deadline: at.Add(time.Second)}}
		if refusal := s.Enqueue(item, at); refusal != nil {
			refusals++
			if refusal.Outcome != outcome.NotRun || refusal.Reason != outcome.ReasonQueueWait || refusal.RetryAfter <= 0 {
				t.Fatalf("refused with %+v, want not-run, queue_wait and a Retry-After", refusal)
			}
		}
		decideAll(s, at)
	}
	// 20 of 400 can be served and some wait; the others must be refused at
	// once.
	if refusals < 300 {
		t.Errorf("%d of 400 requests refused at once, want at least 300", refusals)
	}
}

// Scenario: a flood of one kind of request. Each rank keeps its guaranteed
// share of the slots.
func TestFloodKeepsTheSharesOfOthers(t *testing.T) {
	servers := &fakePredictivePicker{}
	s, now := newTestScheduler(servers), time.Now()
	counts := map[string]int{}
	for i := range 2000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		for _, rank := range []string{"look", "look", "look", "order", "upload"} {
			_ = s.Enqueue(&Item{Request: Request{Rank: rank, Deadline: at.Add(time.Second)}}, at)
		}
		servers.fullSpeed = 1
		granted, _ := decideAll(s, at)
		for _, item := range granted {
			counts[item.Rank]++
		}
	}
	for _, r := range testRanks {
		if counts[r.Name] < 150 {
			t.Errorf("%s got %d of 2000 slots, want at least 150 with a guaranteed share of 200", r.Name, counts[r.Name])
		}
	}
}

// An item that no server can complete before its deadline is refused, and
// nothing is granted that would only exceed its deadline.
func TestNothingIsSentPastItsDeadline(t *testing.T) {
	servers := &fakePredictivePicker{slowed: 1}
	s, now := newTestScheduler(servers), time.Now()
	item := mustEnqueue(t, s, "order", now)
	granted, refused := decideAll(s, now.Add(700*time.Millisecond))
	if len(granted) != 0 {
		t.Error("granted a request at a server that can't complete it in time, want none granted")
	}
	if len(refused) != 0 {
		t.Errorf("refused %v at 700 of 1000 ms, want none", refused)
	}
	granted, refused = decideAll(s, now.Add(930*time.Millisecond))
	if len(granted) != 0 || len(refused) != 1 || refused[0].Item != item || refused[0].Refusal.Outcome != outcome.NotRun {
		t.Errorf("granted %v, refused %v at 930 of 1000 ms, want the order refused as not-run", granted, refused)
	}
	if s.Waiting() != 0 {
		t.Error("requests still wait, want none")
	}
}

// A late item can be removed, and is refused with the others when its rank is
// removed.
func TestLateItemsAreRemoved(t *testing.T) {
	servers := &fakePredictivePicker{}
	s, now := newTestScheduler(servers), time.Now()
	first, second := mustEnqueue(t, s, "look", now), mustEnqueue(t, s, "look", now)
	decideAll(s, now.Add(220*time.Millisecond))
	if !first.late || !s.Remove(first) || s.Remove(first) || s.Waiting() != 1 {
		t.Error("a late item was not removed exactly once with one other left")
	}
	refused := s.SetRanks(testRanks[1:])
	if len(refused) != 1 || refused[0].Item != second {
		t.Errorf("removing the rank refused %v, want its late item", refused)
	}
}
