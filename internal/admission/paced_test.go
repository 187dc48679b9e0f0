package admission

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// pacedPlaces is servers that tell their pace: quick ones, at which a request
// takes its usual work, and slowed ones, at which it takes five times as long.
type pacedPlaces struct {
	places
	quick, slowed int
}

const slowedFactor = 5

func (p *pacedPlaces) ReportsSlowdown() bool { return true }

func (p *pacedPlaces) PickWithin(_ time.Time, _ []string, work, within time.Duration, _ int64) (*balancer.Reservation, bool) {
	switch {
	case p.quick > 0 && work <= within:
		p.quick--
		return &balancer.Reservation{}, true
	case p.slowed > 0 && slowedFactor*work <= within:
		p.slowed--
		return &balancer.Reservation{}, true
	default:
		return nil, false
	}
}

// PickSpare leaves the quick places to others while any is wanted.
func (p *pacedPlaces) PickSpare(now time.Time, exclude []string, work, within, _ time.Duration, body int64) (*balancer.Reservation, bool) {
	return p.PickWithin(now, exclude, work, within, body)
}

var pacedRanks = []tree.Rank{
	{Name: "look", Order: 0, Target: 250 * time.Millisecond, QueueLength: 100, QueueBytes: 1 << 20, KeptShare: 0.1},
	{Name: "order", Order: 1, Target: 300 * time.Millisecond, QueueLength: 100, QueueBytes: 1 << 20, KeptShare: 0.1},
	{Name: "upload", Order: 2, Target: 800 * time.Millisecond, QueueLength: 100, QueueBytes: 1 << 20, KeptShare: 0.1},
}

func pacedScheduler(servers Picker) *Scheduler {
	s := NewScheduler(servers)
	s.SetRanks(pacedRanks)
	return s
}

func offer(t *testing.T, s *Scheduler, rank string, now time.Time) *Item {
	t.Helper()
	i := &Item{Request: Request{Rank: rank, Deadline: now.Add(time.Second)}}
	if refusal := s.Enqueue(i, now); refusal != nil {
		t.Fatalf("%s refused: %v", rank, refusal)
	}
	return i
}

// decideAll decides what can be decided now.
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

// Pattern: neighbours slow servers. Only a request whose target allows it takes a
// slowed server; the others wait for a quick one.
func TestOnlyPatientWorkTakesSlowedServers(t *testing.T) {
	servers := &pacedPlaces{slowed: 2}
	s, now := pacedScheduler(servers), time.Now()
	look := offer(t, s, "look", now)
	upload := offer(t, s, "upload", now)
	// An upload of usual work takes 0.35 of its target: 5 times that is too long.
	s.queue("upload").work = 110 * time.Millisecond
	granted, _ := decideAll(s, now)
	if len(granted) != 1 || granted[0] != upload {
		t.Fatalf("granted %v, want the upload only", granted)
	}
	servers.quick = 1
	granted, _ = decideAll(s, now.Add(10*time.Millisecond))
	if len(granted) != 1 || granted[0] != look {
		t.Fatalf("granted %v, want the lookup", granted)
	}
}

// What can no longer meet its target comes after all that can.
func TestLateWorkComesLast(t *testing.T) {
	servers := &pacedPlaces{}
	s, now := pacedScheduler(servers), time.Now()
	late := offer(t, s, "look", now)
	decideAll(s, now)
	now = now.Add(200 * time.Millisecond)
	if granted, refused := decideAll(s, now); len(granted)+len(refused) != 0 {
		t.Fatal("decided without a server")
	}
	fresh := offer(t, s, "order", now)
	servers.quick = 1
	granted, _ := decideAll(s, now)
	if len(granted) != 1 || granted[0] != fresh {
		t.Fatalf("granted %v, want the one that can meet its target", granted)
	}
	servers.quick = 1
	granted, _ = decideAll(s, now)
	if len(granted) != 1 || granted[0] != late {
		t.Fatalf("granted %v, want the late one now", granted)
	}
}

// Pattern: a burst past capacity. New work is refused at once, with a time to
// come back, when the wait shows that its target can't be met.
func TestBurstIsRefusedAtOnce(t *testing.T) {
	servers := &pacedPlaces{}
	s, now := pacedScheduler(servers), time.Now()
	refusals := 0
	for i := range 400 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		if i%20 == 0 {
			servers.quick = 1
		}
		item := &Item{Request: Request{Rank: "look", Deadline: at.Add(time.Second)}}
		if refusal := s.Enqueue(item, at); refusal != nil {
			refusals++
			if refusal.Outcome != outcome.NotRun || refusal.Reason != outcome.ReasonQueueWait || refusal.RetryAfter <= 0 {
				t.Fatalf("refused with %+v", refusal)
			}
		}
		decideAll(s, at)
	}
	// 20 of 400 can be served; some wait; the others must not be held.
	if refusals < 300 {
		t.Errorf("%d of 400 refused at once", refusals)
	}
}

// Pattern: a flood of one kind. Each rank keeps its share of the places.
func TestFloodKeepsTheSharesOfOthers(t *testing.T) {
	servers := &pacedPlaces{}
	s, now := pacedScheduler(servers), time.Now()
	counts := map[string]int{}
	for i := range 2000 {
		at := now.Add(time.Duration(i) * time.Millisecond)
		for _, rank := range []string{"look", "look", "look", "order", "upload"} {
			_ = s.Enqueue(&Item{Request: Request{Rank: rank, Deadline: at.Add(time.Second)}}, at)
		}
		servers.quick = 1
		granted, _ := decideAll(s, at)
		for _, item := range granted {
			counts[item.Rank]++
		}
	}
	for _, r := range pacedRanks {
		if counts[r.Name] < 150 {
			t.Errorf("%s got %d of 2000 places, its kept share is 200", r.Name, counts[r.Name])
		}
	}
}

// An item that no server can answer before its deadline any more is refused, and
// nothing is granted that would only pass its deadline.
func TestNothingIsSentPastItsDeadline(t *testing.T) {
	servers := &pacedPlaces{slowed: 1}
	s, now := pacedScheduler(servers), time.Now()
	item := offer(t, s, "order", now)
	granted, refused := decideAll(s, now.Add(700*time.Millisecond))
	if len(granted) != 0 {
		t.Error("a request was sent to a server that can't answer in time")
	}
	if len(refused) != 0 {
		t.Errorf("refused at 700 of 1000 ms: %v", refused)
	}
	granted, refused = decideAll(s, now.Add(930*time.Millisecond))
	if len(granted) != 0 || len(refused) != 1 || refused[0].Item != item || refused[0].Refusal.Outcome != outcome.NotRun {
		t.Errorf("granted %v, refused %v", granted, refused)
	}
	if s.Waiting() != 0 {
		t.Error("something still waits")
	}
}

// A late item can be taken out, and comes back into line when its rank goes.
func TestLateItemsAreTakenOut(t *testing.T) {
	servers := &pacedPlaces{}
	s, now := pacedScheduler(servers), time.Now()
	first, second := offer(t, s, "look", now), offer(t, s, "look", now)
	decideAll(s, now.Add(220*time.Millisecond))
	if !first.late || !s.Remove(first) || s.Remove(first) || s.Waiting() != 1 {
		t.Error("a late item was not taken out once")
	}
	refused := s.SetRanks(pacedRanks[1:])
	if len(refused) != 1 || refused[0].Item != second {
		t.Errorf("a rank that goes left %v", refused)
	}
}
