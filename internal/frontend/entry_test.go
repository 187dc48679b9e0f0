package frontend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

func TestMalformedRequestsAreRefusedAndCounted(t *testing.T) {
	foreign := operation.NewTicket(operation.NewIncarnation(), 1) + ".00000000000000000000000000000001"
	for _, c := range []struct {
		name, method, path, body string
		header                   []string
		status                   int
		reason                   outcome.Reason
	}{
		{name: "no route", method: "PUT", path: "/", status: 404, reason: outcome.ReasonNoRoute},
		{name: "timeout", method: "GET", path: "/", header: []string{wire.HeaderTimeoutMs, "soon"}, status: 400, reason: outcome.ReasonMalformed},
		{name: "negative timeout", method: "GET", path: "/", header: []string{wire.HeaderTimeoutMs, "-1"}, status: 400, reason: outcome.ReasonMalformed},
		{name: "attempt", method: "GET", path: "/", header: []string{wire.HeaderAttempt, "x"}, status: 400, reason: outcome.ReasonMalformed},
		{name: "caller", method: "GET", path: "/", header: []string{wire.HeaderCaller, strings.Repeat("c", 129)}, status: 400, reason: outcome.ReasonMalformed},
		{name: "too large", method: "POST", path: "/orders", body: strings.Repeat("b", 65), status: 413, reason: outcome.ReasonTooLarge},
		{name: "no operation", method: "POST", path: "/orders", status: 400, reason: outcome.ReasonOperationMissing},
		{name: "bad operation", method: "POST", path: "/orders", header: []string{wire.HeaderOperation, "7"}, status: 400, reason: outcome.ReasonOperationInvalid},
		{name: "foreign", method: "POST", path: "/orders", header: []string{wire.HeaderOperation, foreign}, status: 502, reason: outcome.ReasonOwnerUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.asked = outcome.NewUnknown(outcome.ReasonOwnerUnreachable, "no answer")
			w := b.send(c.method, c.path, c.body, c.header...)
			if w.Code != c.status || w.Header().Get(wire.HeaderReason) != string(c.reason) {
				t.Errorf("status %d reason %q, want %d %q", w.Code, w.Header().Get(wire.HeaderReason), c.status, c.reason)
			}
			if b.refusals(c.reason) != 1 || b.runs.Load() != 0 {
				t.Errorf("counted %d refusals and %d runs", b.refusals(c.reason), b.runs.Load())
			}
		})
	}
}

func TestRepeatGetsTheKeptAnswerAndDoesNotRun(t *testing.T) {
	b := newBench(t)
	id := b.newID("1")
	first := b.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	second := b.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	if first.Body.String() != "ok" || second.Body.String() != "ok" {
		t.Errorf("answers %q and %q", first.Body, second.Body)
	}
	if second.Header().Get(wire.HeaderOutcome) != string(outcome.Ran) || b.runs.Load() != 1 {
		t.Errorf("outcome %q after %d runs", second.Header().Get(wire.HeaderOutcome), b.runs.Load())
	}
	if other := b.send("POST", "/orders", "kit 8", wire.HeaderOperation, id); other.Code != http.StatusUnprocessableEntity {
		t.Errorf("another request with the same id: status %d", other.Code)
	}
}

func TestNotRunSettlesTheOperation(t *testing.T) {
	b := newBench(t)
	id := b.newID("1")
	b.limited = outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonLimitRate, "limit spent")
	b.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	b.limited = nil
	repeat := b.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	if repeat.Header().Get(wire.HeaderOutcome) != string(outcome.NotRun) || b.runs.Load() != 0 {
		t.Errorf("outcome %q after %d runs", repeat.Header().Get(wire.HeaderOutcome), b.runs.Load())
	}
}

// A refusal that does not look the operation up must not say not-run of an
// operation that ran, and must not be followed by a run where it said not-run.
func TestEarlyRefusalsAreTrueForTheWholeOperation(t *testing.T) {
	b := newBench(t)
	ran, fresh := b.newID("1"), b.newID("2")
	b.send("POST", "/orders", "kit 7", wire.HeaderOperation, ran)
	routes := b.tree
	b.tree = nil
	if w := b.send("POST", "/orders", "kit 7", wire.HeaderOperation, ran); w.Header().Get(wire.HeaderOutcome) != string(outcome.Unknown) {
		t.Errorf("refusal of an operation that ran says %q", w.Header().Get(wire.HeaderOutcome))
	}
	if w := b.send("POST", "/orders", "kit 8", wire.HeaderOperation, fresh); w.Header().Get(wire.HeaderOutcome) != string(outcome.NotRun) {
		t.Errorf("refusal of a new operation says %q", w.Header().Get(wire.HeaderOutcome))
	}
	b.tree = routes
	b.send("POST", "/orders", "kit 8", wire.HeaderOperation, fresh)
	if b.runs.Load() != 1 {
		t.Errorf("%d runs after a not-run, want the first operation's only", b.runs.Load())
	}
}

func TestRunGoesOnWhenTheCallerHangsUp(t *testing.T) {
	b := newBench(t)
	b.run = func(ctx context.Context, _ *http.Request) (*forward.Response, *outcome.Refusal) {
		if ctx.Err() != nil {
			return nil, outcome.NewUnknown(outcome.ReasonCallerGone, "cancelled")
		}
		return wholeAnswer("ok"), nil
	}
	r := httptest.NewRequest("POST", "http://"+testHost+"/orders", nil)
	r.Header.Set(wire.HeaderOperation, b.newID("1"))
	gone, cancel := context.WithCancel(r.Context())
	cancel()
	b.ServeHTTP(httptest.NewRecorder(), r.WithContext(gone))
	if w := b.send("POST", "/orders", "", wire.HeaderOperation, b.newID("1")); w.Body.String() != "ok" {
		t.Errorf("the repeat got %d %q", w.Code, w.Body)
	}
}

func TestAnswerThatBreaksOffIsNeverAWholeOne(t *testing.T) {
	b := newBench(t)
	start := "start"
	b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		return brokenAnswer(start), nil
	}
	if w := b.send("POST", "/orders", "", wire.HeaderOperation, b.newID("1")); w.Code != http.StatusBadGateway {
		t.Errorf("short broken answer of an operation: status %d", w.Code)
	}
	server := httptest.NewServer(b)
	defer server.Close()
	start = strings.Repeat("x", 2*operation.DefaultMaxAnswerBytes)
	r, _ := http.NewRequest("GET", server.URL+"/kits", nil)
	r.Host = testHost
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return // Broken off before the header: visible too.
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("a broken answer looked whole to the caller")
	}
}

func TestLargeAnswerReachesItsCallerAndIsNotKept(t *testing.T) {
	b := newBench(t)
	body := strings.Repeat("x", 3*operation.DefaultMaxAnswerBytes)
	b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		return wholeAnswer(body), nil
	}
	if w := b.send("POST", "/orders", "", wire.HeaderOperation, b.newID("1")); w.Body.String() != body {
		t.Errorf("the caller got %d of %d bytes", w.Body.Len(), len(body))
	}
	w := b.send("POST", "/orders", "", wire.HeaderOperation, b.newID("1"))
	if w.Header().Get(wire.HeaderReason) != string(outcome.ReasonAnswerNotKept) || w.Header().Get(wire.HeaderOutcome) != string(outcome.Ran) {
		t.Errorf("repeat: %v", w.Header())
	}
}

func TestCallerMayOnlyShortenTheTimeout(t *testing.T) {
	b := newBench(t)
	var left time.Duration
	b.run = func(ctx context.Context, _ *http.Request) (*forward.Response, *outcome.Refusal) {
		deadline, _ := ctx.Deadline()
		left = time.Until(deadline)
		return wholeAnswer("ok"), nil
	}
	b.send("GET", "/", "", wire.HeaderTimeoutMs, "60000")
	if left > time.Second {
		t.Errorf("%v left, the route allows 1s", left)
	}
	b.send("GET", "/", "", wire.HeaderTimeoutMs, "200")
	if left > 200*time.Millisecond {
		t.Errorf("%v left, the caller allows 200ms", left)
	}
}

func TestLeavingEntryAsksCallersToCloseTheirConnections(t *testing.T) {
	b := newBench(t)
	b.Drain.Start()
	if w := b.send("GET", "/", ""); w.Header().Get("Connection") != "close" || w.Code != http.StatusOK {
		t.Errorf("status %d, Connection %q", w.Code, w.Header().Get("Connection"))
	}
	if b.Drain.InFlight() != 0 {
		t.Errorf("%d requests in flight after the last answer", b.Drain.InFlight())
	}
}

// An operation that another entry passed on is in no HTTP server's count.
func TestDrainWaitsForOperationsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		ended := false
		b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
			time.Sleep(time.Minute)
			ended = true
			return wholeAnswer("ok"), nil
		}
		go b.RunForwarded(context.Background(), "caller", httptest.NewRequest("GET", "http://"+testHost+"/", nil), nil)
		synctest.Wait()
		if err := b.Drain.Wait(context.Background()); err != nil || !ended {
			t.Errorf("wait: %v, operation ended: %v", err, ended)
		}
	})
}

func TestCallsAreCountedByServiceRankAndOutcome(t *testing.T) {
	b := newBench(t)
	b.send("GET", "/", "")
	b.limited = outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonLimitRate, "limit spent")
	b.send("GET", "/", "")
	counters := b.scope.Snapshot().Counters()
	for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun} {
		name := "calls+outcome=" + string(o) + ",rank=lookups,service=glazenpot/shop"
		if counters[name] == nil || counters[name].Value() != 1 {
			t.Errorf("%s is not 1", name)
		}
	}
}

func TestEveryReasonHasItsCounter(t *testing.T) {
	for _, reason := range []outcome.Reason{
		outcome.ReasonOperationDropped, outcome.ReasonOperationSealed, outcome.ReasonOwnerUnreachable,
		outcome.ReasonOwnerUnknown, outcome.ReasonOperationTableFull, outcome.ReasonLimitRate,
		outcome.ReasonLimitConcurrent, outcome.ReasonQueueFull, outcome.ReasonQueueBytes,
		outcome.ReasonQueueWait, outcome.ReasonStreams, outcome.ReasonNoServer, outcome.ReasonShed,
		outcome.ReasonDialFailed, outcome.ReasonServerHungUp, outcome.ReasonDeadline,
		outcome.ReasonCallerGone, outcome.ReasonAnswerNotKept, outcome.ReasonInternal,
	} {
		b := newBench(t)
		b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
			return nil, outcome.NewNotRun(http.StatusServiceUnavailable, reason, "refused by a stage")
		}
		w := b.send("GET", "/kits", "")
		if b.refusals(reason) != 1 || w.Header().Get(wire.HeaderReason) != string(reason) {
			t.Errorf("%s: counted %d, answered %q", reason, b.refusals(reason), w.Header().Get(wire.HeaderReason))
		}
	}
	b := newBench(t)
	b.tree = nil
	b.send("GET", "/kits", "")
	if b.refusals(outcome.ReasonNoConfiguration) != 1 {
		t.Error("no_configuration is not counted")
	}
}
