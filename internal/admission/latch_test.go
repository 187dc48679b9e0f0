package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// servedAt is the result of a request that began at an idle server at full speed.
func servedAt(latency time.Duration) balancer.Result {
	return balancer.Result{Kind: balancer.OK, Latency: latency, Estimate: balancer.Estimate{Stretch: 1, Speed: 1}}
}

// Pattern: a rank first has only routes with a long target, whose requests take a few
// milliseconds; then a configuration sends a route with a short target to the service.
// Its requests must be admitted by their own target and estimate. Before, the estimate of
// the rank was still above the new target (0.35 of the long one), so every request was
// refused while no request waited, no sample came, and it stayed so.
func TestRouteWithAShorterTargetIsAdmitted(t *testing.T) {
	const long, short = time.Second, 250 * time.Millisecond
	servers := &fakePredictivePicker{fullSpeed: 100}
	s, now := NewScheduler(servers), time.Now()
	rank := tree.Rank{Name: "urgent", Target: long, QueueLength: 64, QueueBytes: 1 << 20, KeptShare: 0.1}
	s.SetRanks([]tree.Rank{rank})
	for range 3 {
		item := &Item{Request: Request{Rank: "urgent", Target: long, Deadline: now.Add(time.Second)}}
		if refusal := s.Enqueue(item, now); refusal != nil {
			t.Fatalf("request with the long target refused: %v", refusal)
		}
		decideAll(s, now)
		now = now.Add(3 * time.Millisecond)
		s.Finish(item, servedAt(3*time.Millisecond), now)
	}
	rank.Target = short
	s.SetRanks([]tree.Rank{rank})
	for i := range 20 {
		item := &Item{Request: Request{Rank: "urgent", Target: short, Deadline: now.Add(1100 * time.Millisecond)}}
		if refusal := s.Enqueue(item, now); refusal != nil {
			t.Fatalf("request %d with the short target refused: %v", i, refusal)
		}
		if granted, _ := decideAll(s, now); len(granted) != 1 {
			t.Fatalf("request %d with the short target not sent to an idle server", i)
		}
		now = now.Add(110 * time.Millisecond)
		s.Finish(item, servedAt(110*time.Millisecond), now)
	}
}

// A request that can't meet its target but can end before its deadline is served where
// slots are free: an answer that is late is worth more than none.
func TestRequestThatIsOnlyLateIsServed(t *testing.T) {
	servers := &fakePredictivePicker{fullSpeed: 1}
	s, now := newTestScheduler(servers), time.Now()
	rq := s.queue("look")
	rq.estimate(serviceClass{target: rq.rank.Target}).update(now, rq.rank.Target, 240*time.Millisecond)
	rq.estimate(serviceClass{target: rq.rank.Target}).mean = 240 * time.Millisecond
	item := mustEnqueue(t, s, "look", now)
	if granted, _ := decideAll(s, now); len(granted) != 1 || granted[0] != item {
		t.Error("a request that is only late was not sent to a free server")
	}
	// Without a free slot, more of them wait only as long as they can still be served.
	refused := 0
	for range rq.rank.QueueLength / 2 {
		now = now.Add(10 * time.Millisecond)
		if s.Enqueue(&Item{Request: Request{Rank: "look", Deadline: now.Add(time.Second)}}, now) != nil {
			refused++
		}
		decideAll(s, now)
	}
	if refused == 0 {
		t.Error("no request was refused though none could be served before its deadline")
	}
}

// Whatever the service times were before, an idle and healthy service serves a request
// again within a stated time: no estimate may keep requests away that would correct it.
func TestEstimatesDoNotLatch(t *testing.T) {
	const recovery = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		servers := &fakePredictivePicker{fullSpeed: 1 << 20}
		s, now := newTestScheduler(servers), time.Now()
		classes := []Request{{Rank: "look"}, {Rank: "look", Target: 2 * time.Second}, {Rank: "order", Target: 100 * time.Millisecond}, {Rank: "upload", Upload: true}}
		for range rapid.IntRange(0, 200).Draw(t, "history") {
			request := rapid.SampledFrom(classes).Draw(t, "class")
			request.Deadline = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "deadline_ms")) * time.Millisecond)
			item := &Item{Request: request}
			latency := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "latency_ms")) * time.Millisecond
			if s.Enqueue(item, now) == nil {
				granted, _ := decideAll(s, now)
				for _, g := range granted {
					s.Finish(g, servedAt(latency), now)
				}
			}
			if rapid.Bool().Draw(t, "targets change") {
				ranks := append([]tree.Rank(nil), testRanks...)
				for i := range ranks {
					ranks[i].Target = time.Duration(rapid.IntRange(50, 3000).Draw(t, "target_ms")) * time.Millisecond
				}
				s.SetRanks(ranks)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause_ms")) * time.Millisecond)
		}
		s.SetRanks(testRanks)
		for _, request := range classes {
			served := false
			for began := now; !served && now.Sub(began) <= recovery; now = now.Add(100 * time.Millisecond) {
				request.Deadline = now.Add(time.Second)
				item := &Item{Request: request}
				if s.Enqueue(item, now) != nil {
					continue
				}
				granted, _ := decideAll(s, now)
				for _, g := range granted {
					served = served || g == item
					s.Finish(g, servedAt(40*time.Millisecond), now)
				}
			}
			if !served {
				t.Fatalf("%+v: no request was sent to an idle service within %v", request, recovery)
			}
		}
	})
}
