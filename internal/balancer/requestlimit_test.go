package balancer

import (
	"errors"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func TestParseRequestLimit(t *testing.T) {
	for value, want := range map[string]float64{"2.7": 2.7, "0": 0, "12": 12, "1e2": 100} {
		if got, err := ParseRequestLimit(value); err != nil || got != want {
			t.Errorf("%q: got %v, %v, want %v", value, got, err, want)
		}
	}
	for _, value := range []string{"", "-1", "NaN", "Inf", "2,7", "2.7/s", "1e999", "0000000000000000000000000000000002.7"} {
		_, err := ParseRequestLimit(value)
		var limitError *RequestLimitError
		if !errors.As(err, &limitError) {
			t.Errorf("%q: got error %v, want a RequestLimitError", value, err)
		}
	}
}

// An entry has to tell its log when a server names, changes and ends its limit, and when
// and from where it learned that: an incident could not be explained without.
func TestRequestLimitsAreReported(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 1)
	var changes []RequestLimitChange
	b.options.OnRequestLimit = func(c RequestLimitChange) { changes = append(changes, c) }
	pickAt := now
	respond := func(at time.Duration, kind ResultKind, limit string) {
		pickAt = pickAt.Add(time.Minute) // no limit holds a request back for so long
		r, ok := b.Pick(pickAt, nil)
		if !ok {
			t.Fatal("no server")
		}
		b.Done(r, now.Add(at), Result{Kind: kind, RequestLimit: limit})
	}
	respond(1, OK, "")        // nothing named
	respond(2, OK, "2.7")     // named
	respond(3, OK, "2.8")     // no change worth a report
	respond(4, Shed, "")      // a refusal does not end it
	respond(5, Error, "none") // malformed: ignored
	b.ObserveProbe("s0", now.Add(6), Report{})
	respond(7, OK, "9")
	respond(1, OK, "") // older than the last one
	if status := b.Status(now.Add(7))[0]; status.RequestLimit == nil || *status.RequestLimit != 9 {
		t.Errorf("status %+v, want the limit 9", status)
	}
	respond(8, OK, "")
	respond(9, OK, "")
	b.ObserveProbe("s0", now.Add(10), Report{RequestLimit: "1"})
	want := []struct {
		perSecond float64
		ended     bool
		source    LimitSource
	}{{2.7, false, LimitFromResponse}, {9, false, LimitFromResponse}, {0, true, LimitFromResponse}, {1, false, LimitFromProbe}}
	if len(changes) != len(want) {
		t.Fatalf("%d changes %+v, want %d", len(changes), changes, len(want))
	}
	for i, w := range want {
		if c := changes[i]; c.Server != "s0" || c.PerSecond != w.perSecond || c.Ended != w.ended || c.Source != w.source {
			t.Errorf("change %d: got %+v, want %+v", i, c, w)
		}
	}
}

// limitedEntries returns the balancers of that many entries for one server that names the
// limit, with the order of the server's senders.
func limitedEntries(now time.Time, entries, missing int, limit float64) []*Balancer {
	balancers := make([]*Balancer, entries)
	for i := range balancers {
		b := newSlowdownBalancer(now, 1)
		b.SetSenderOrder(SenderOrder{
			Position: func(string, string) int { return i },
			Entries:  entries, Live: entries, Missing: missing,
		})
		b.AddPeerLimit("s0", now, NamedLimit{PerSecond: limit})
		balancers[i] = b
	}
	return balancers
}

// trySend sends a request to the server if the entry's share allows it, and ends it at once.
func trySend(b *Balancer, now time.Time) bool {
	r, ok := b.Pick(now, nil)
	if ok {
		b.Done(r, now, Result{Kind: Cancelled})
	}
	return ok
}

// Whatever the limit and the number of entries, and whenever the entries have requests, the
// sum over all entries must stay within what the limit allows: a share of a low limit that
// each entry may save up would exceed it when all of them send.
func TestSharesOfALimitAddUpToIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		limit := rapid.Float64Range(0.1, 60).Draw(t, "limit")
		entries := rapid.IntRange(1, 60).Draw(t, "entries")
		missing := rapid.IntRange(0, 60).Draw(t, "missing")
		// In a partition the entries of the other side send the rest.
		allowed := limit * float64(entries) / float64(entries+missing)
		balancers := limitedEntries(now, entries, missing, limit)
		var sent []time.Time
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause ms")) * time.Millisecond)
			for _, b := range balancers {
				b.AddPeerLimit("s0", now, NamedLimit{PerSecond: limit})
				if rapid.IntRange(0, 3).Draw(t, "demand") > 0 && trySend(b, now) {
					sent = append(sent, now)
				}
			}
		}
		const window = 4 * time.Second
		// Each sender may send one request at any time, and there are no more senders than
		// whole requests a second.
		most := int(allowed*window.Seconds() + max(allowed, 1) + 1)
		for i, first := range sent {
			n, _ := slices.BinarySearchFunc(sent[i:], first.Add(window), time.Time.Compare)
			if n > most {
				t.Fatalf("%d requests in %v by a limit of %v a second for these entries, want at most %d", n, window, allowed, most)
			}
		}
	})
}

// The whole limit is usable by entries that have enough requests.
func TestLimitIsUsed(t *testing.T) {
	for _, limit := range []float64{0.5, 1.7, 2.7, 12, 55} {
		now := time.Now()
		balancers := limitedEntries(now, 19, 0, limit)
		const length = 20 * time.Second
		sent := 0
		for range int(length / (5 * time.Millisecond)) {
			now = now.Add(5 * time.Millisecond)
			for _, b := range balancers {
				b.AddPeerLimit("s0", now, NamedLimit{PerSecond: limit})
				if trySend(b, now) {
					sent++
				}
			}
		}
		if want := 0.85 * limit * length.Seconds(); float64(sent) < want {
			t.Errorf("limit %v: %d requests in %v, want at least %.0f", limit, sent, length, want)
		}
	}
}

// After the end of a limit the server is idle and attracts all entries at once, so the sum
// over them rises step by step; within rampStep*rampSteps no limit is left.
func TestRequestsReturnGraduallyAfterALimit(t *testing.T) {
	now := time.Now()
	balancers := limitedEntries(now, 19, 0, 2)
	now = now.Add(time.Second)
	for _, b := range balancers {
		b.AddPeerLimit("s0", now, NamedLimit{Ended: true})
	}
	sent := 0
	for range int(rampStep / time.Millisecond) {
		now = now.Add(time.Millisecond)
		for _, b := range balancers {
			if trySend(b, now) {
				sent++
			}
		}
	}
	if most := 6; sent > most {
		t.Errorf("%d requests in the first %v after a limit of 2 a second, want at most %d", sent, rampStep, most)
	}
	now = now.Add(rampSteps * rampStep)
	for i, b := range balancers {
		for range 20 {
			if !trySend(b, now) {
				t.Fatalf("entry %d is still limited %v after the end", i, rampSteps*rampStep)
			}
		}
	}
}

// A limit that no response renews must not keep a server idle for good: its senders may
// have no callers. The entries send one request after the other until one is answered.
func TestUnrenewedLimitIsTried(t *testing.T) {
	for _, limit := range []float64{0, 0.01, 1.7} {
		now := time.Now()
		balancers := limitedEntries(now, 19, 0, limit)
		withCallers := balancers[18:] // the last one in the order
		began, tried := now, 0
		for now.Sub(began) < time.Minute {
			now = now.Add(10 * time.Millisecond)
			for _, b := range withCallers {
				if trySend(b, now) {
					tried++
				}
			}
		}
		if tried < 2 || tried > 6 {
			t.Errorf("limit %v: %d requests in a minute by an entry without a share, want 2 to 6", limit, tried)
		}
	}
}

// A server that is listed again, or whose record changed, still has its limit; a restarted
// one has none until it names one.
func TestLimitOutlivesAChangeOfTheList(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 2)
	servers := []fleet.VM{b.snapshot.Load().backends[0].vm, b.snapshot.Load().backends[1].vm}
	b.SetSenderOrder(SenderOrder{Position: func(string, string) int { return 5 }, Entries: 19, Live: 19})
	b.AddPeerLimit("s0", now, NamedLimit{PerSecond: 1})
	limited := func() bool {
		for _, s := range b.Status(now) {
			if s.Server == "s0" {
				return s.RequestLimit != nil
			}
		}
		return false
	}
	b.UpdateAt(now, servers[1:], slowdownService)
	b.UpdateAt(now.Add(time.Second), servers, slowdownService)
	if !limited() {
		t.Error("the server has no limit after it was listed again, want the one that it named")
	}
	slots := *slowdownService
	slots.SlotsPerServer = 7
	b.UpdateAt(now.Add(2*time.Second), servers, &slots)
	if !limited() {
		t.Error("the server has no limit after a change of its service, want the one that it named")
	}
	restarted := slices.Clone(servers)
	restarted[0].Incarnation++
	b.UpdateAt(now.Add(3*time.Second), restarted, slowdownService)
	if limited() {
		t.Error("the restarted server has a limit, want none")
	}
}

// The wait is known only if limits are all that keeps a request from being sent.
func TestLimitWait(t *testing.T) {
	now := time.Now()
	b := newSlowdownBalancer(now, 2)
	b.SetSenderOrder(SenderOrder{Position: func(server, _ string) int { return map[string]int{"s0": 0, "s1": 9}[server] }, Entries: 10, Live: 10})
	b.AddPeerLimit("s0", now, NamedLimit{PerSecond: 1})
	if _, ok := b.LimitWait(now, nil, 0); ok {
		t.Error("got a wait although a server has no limit")
	}
	b.AddPeerLimit("s1", now, NamedLimit{PerSecond: 4})
	got, ok := b.LimitWait(now, nil, 2)
	if want := (LimitWait{Wait: 3 * time.Second, Interval: 2 * time.Second}); !ok || got != want {
		t.Errorf("got %+v, %v, want %+v: one request a second by the share of s0, and 5 a second for 10 entries", got, ok, want)
	}
	got, ok = b.LimitWait(now, []string{"s0"}, 0)
	if !ok || got.Wait != math.MaxInt64 {
		t.Errorf("got %+v, %v, want no end of the wait: this entry has no share of s1", got, ok)
	}
	if _, ok := b.LimitWait(now.Add(time.Second), nil, 0); ok {
		t.Error("got a wait although this entry may send to s0")
	}
}
