package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"github.com/uber-go/tally/v4"
)

// refusalCount returns the value of the refusal counter of a reason.
func refusalCount(scope tally.TestScope, reason outcome.Reason) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "queue_refusals" && c.Tags()["reason"] == string(reason) {
			return c.Value()
		}
	}
	return 0
}

// enqueueWaiting sends n requests that wait in the queue until the test ends.
func enqueueWaiting(t *testing.T, q *Queue, n int, r Request) {
	for range n {
		go func() {
			if g, refusal := q.Admit(t.Context(), r); refusal == nil {
				g.Done(balancer.Result{Kind: balancer.Cancelled})
			}
		}()
	}
	synctest.Wait()
}

// TestEachRefusalIsCounted provokes each refusal reason at a server whose only
// slot is held all the time.
func TestEachRefusalIsCounted(t *testing.T) {
	shortWait := 5 * time.Millisecond
	for _, c := range []struct {
		reason     outcome.Reason
		before     func(t *testing.T, q *Queue)
		request    Request
		timeout    time.Duration
		retryAfter bool
	}{
		{reason: outcome.ReasonConfigurationChanged, request: Request{Rank: "unknown"}, retryAfter: true},
		{reason: outcome.ReasonNoServer, request: Request{Rank: "lookups", Exclude: []string{"s1"}}, retryAfter: true},
		{
			reason:  outcome.ReasonQueueFull,
			before:  func(t *testing.T, q *Queue) { enqueueWaiting(t, q, 10, Request{Rank: "lookups"}) },
			request: Request{Rank: "lookups"}, retryAfter: true,
		},
		{reason: outcome.ReasonQueueBytes, request: Request{Rank: "uploads", Bytes: 1<<10 + 1}, retryAfter: true},
		{
			reason: outcome.ReasonQueueWait,
			before: func(t *testing.T, q *Queue) {
				enqueueWaiting(t, q, 3, Request{Rank: "lookups"})
				time.Sleep(300 * time.Millisecond) // three requests wait without a dispatch
			},
			request: Request{Rank: "lookups"}, retryAfter: true,
		},
		{reason: outcome.ReasonQueueWait, request: Request{Rank: "lookups"}, timeout: time.Minute, retryAfter: true},
		{reason: outcome.ReasonDeadline, request: Request{Rank: "lookups", Deadline: time.Unix(1, 0)}, retryAfter: true},
		{reason: outcome.ReasonDeadline, request: Request{Rank: "lookups"}, timeout: shortWait, retryAfter: true},
		{
			reason:  outcome.ReasonCallerGone,
			request: Request{Rank: "lookups"},
		},
	} {
		t.Run(string(c.reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scope := tally.NewTestScope("", nil)
				q := newQueue(t, scope, "s1")
				held, _ := q.Admit(t.Context(), Request{Rank: "lookups"})
				defer held.Done(balancer.Result{})
				if c.before != nil {
					c.before(t, q)
				}
				ctx, cancel := context.WithCancel(t.Context())
				if c.timeout > 0 {
					ctx, cancel = context.WithTimeout(t.Context(), c.timeout)
				} else if c.reason == outcome.ReasonCallerGone {
					time.AfterFunc(shortWait, cancel)
				}
				defer cancel()
				_, refusal := q.Admit(ctx, c.request)
				if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.Reason != c.reason {
					t.Fatalf("refusal %v, want not-run %s", refusal, c.reason)
				}
				if (refusal.RetryAfter > 0) != c.retryAfter {
					t.Errorf("Retry-After is %v, want it positive only where retryAfter is set", refusal.RetryAfter)
				}
				if n := refusalCount(scope, c.reason); n < 1 {
					t.Errorf("refusal counter is %d, want at least 1", n)
				}
			})
		})
	}
}

func TestUploadsPastTheirStreamsAreRefusedAndTheBookingPathIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := tally.NewTestScope("", nil)
		q := newQueue(t, scope, "s1", "s2", "s3")
		upload := Request{Rank: "uploads", Upload: true}
		first, refusal := q.Admit(t.Context(), upload)
		if refusal != nil {
			t.Fatal(refusal)
		}
		defer first.Done(balancer.Result{})
		enqueueWaiting(t, q, 2, upload)
		_, refusal = q.Admit(t.Context(), upload)
		if refusal == nil || refusal.Reason != outcome.ReasonStreams {
			t.Fatalf("refusal %v, want reason streams", refusal)
		}
		if n := refusalCount(scope, outcome.ReasonStreams); n != 1 {
			t.Errorf("refusal counter is %d, want 1", n)
		}
		booking, refusal := q.Admit(t.Context(), Request{Rank: "payments"})
		if refusal != nil {
			t.Fatalf("payment refused while the upload streams are used up: %v", refusal)
		}
		booking.Done(balancer.Result{})
	})
}

// Scenario: all servers of a service name a limit. A request that the limits leave no room
// for is refused at once, with the time until there is room, instead of waiting until its
// deadline; one that fits into its target waits.
func TestRequestsBeyondAllServerLimitsAreRefusedAtOnce(t *testing.T) {
	now := time.Now()
	b := balancer.New(balancer.Options{})
	b.UpdateAt(now, []fleet.VM{{Name: "s1", Address: "a", Slots: 3}}, &tree.Service{Member: "m", Name: "s"})
	b.AddReport("s1", now, balancer.Report{Slots: 3, Slowdown: 100})
	s := newTestScheduler(b)
	b.AddPeerLimit("s1", now, balancer.NamedLimit{PerSecond: 10}) // one request in 100 ms
	first := mustEnqueue(t, s, "look", now)                       // has 142 ms until it is late
	if granted, _ := decideAll(s, now); len(granted) != 0 {
		t.Fatal("a request was sent although the share is used up")
	}
	refusal := s.Enqueue(&Item{Request: Request{Rank: "look", Deadline: now.Add(time.Second)}}, now)
	if refusal == nil || refusal.Reason != outcome.ReasonServerLimit || refusal.Outcome != outcome.NotRun {
		t.Fatalf("second request: got %v, want it refused for the servers' limits, not run", refusal)
	}
	if refusal.RetryAfter != 100*time.Millisecond {
		t.Errorf("Retry-After %v, want the 100 ms between two requests", refusal.RetryAfter)
	}
	if granted, _ := decideAll(s, now.Add(100*time.Millisecond)); len(granted) != 1 || granted[0] != first {
		t.Errorf("granted %v after 100 ms, want the first request", granted)
	}
	now = now.Add(time.Second)
	b.AddPeerLimit("s1", now, balancer.NamedLimit{PerSecond: 0.01})
	mustEnqueue(t, s, "look", now)
	if granted, _ := decideAll(s, now); len(granted) != 1 {
		t.Fatal("the request that the share allows was not sent")
	}
	refusal = s.Enqueue(&Item{Request: Request{Rank: "upload", Deadline: now.Add(2 * time.Second)}}, now)
	if refusal == nil || refusal.RetryAfter != maxLimitRetryAfter {
		t.Errorf("limit of 0.01: got %v, want a Retry-After of %v", refusal, maxLimitRetryAfter)
	}
}
