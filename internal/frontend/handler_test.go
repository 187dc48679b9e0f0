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

	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

func TestMalformedRequestsAreRefusedAndCounted(t *testing.T) {
	foreignID := operation.NewTicket(operation.NewIncarnation(), 1) + ".00000000000000000000000000000001"
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
		{name: "foreign", method: "POST", path: "/orders", header: []string{wire.HeaderOperation, foreignID}, status: 502, reason: outcome.ReasonOwnerUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			h.ownerRefusal = outcome.NewUnknown(outcome.ReasonOwnerUnreachable, "no answer")
			w := h.send(c.method, c.path, c.body, c.header...)
			if w.Code != c.status || w.Header().Get(wire.HeaderReason) != string(c.reason) {
				t.Errorf("status %d, reason %q, want %d, %q", w.Code, w.Header().Get(wire.HeaderReason), c.status, c.reason)
			}
			if h.refusals(c.reason) != 1 || h.runs.Load() != 0 {
				t.Errorf("counted %d refusals and %d runs, want 1 and 0", h.refusals(c.reason), h.runs.Load())
			}
		})
	}
}

// A request with an escaped slash is not run by the service of another prefix (review, case 5).
func TestEscapedSlashSelectsNoOtherRoute(t *testing.T) {
	for path, want := range map[string]string{"/orders/x": "payments", "/orders%2Fx": "lookups"} {
		h := newHarness(t)
		h.tree.Services[0].Routes[1].Methods = nil
		h.send("POST", path, "", wire.HeaderOperation, h.newID("1"))
		if h.lastRank != want {
			t.Errorf("%s ran with rank %q, want %q", path, h.lastRank, want)
		}
	}
}

func TestRetryGetsTheStoredResponseAndDoesNotRun(t *testing.T) {
	h := newHarness(t)
	id := h.newID("1")
	first := h.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	second := h.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	if first.Body.String() != "ok" || second.Body.String() != "ok" {
		t.Errorf("response bodies %q and %q, want \"ok\" twice", first.Body, second.Body)
	}
	if second.Header().Get(wire.HeaderOutcome) != string(outcome.Ran) || h.runs.Load() != 1 {
		t.Errorf("retry: outcome %q, %d runs, want ran, 1 run", second.Header().Get(wire.HeaderOutcome), h.runs.Load())
	}
	if other := h.send("POST", "/orders", "kit 8", wire.HeaderOperation, id); other.Code != http.StatusUnprocessableEntity {
		t.Errorf("another request with the same id: status %d, want 422", other.Code)
	}
}

func TestNotRunSettlesTheOperation(t *testing.T) {
	h := newHarness(t)
	id := h.newID("1")
	h.limitRefusal = outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonLimitRate, "limit spent")
	h.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	h.limitRefusal = nil
	retry := h.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
	if retry.Header().Get(wire.HeaderOutcome) != string(outcome.NotRun) || h.runs.Load() != 0 {
		t.Errorf("retry of a refused operation: outcome %q, %d runs, want not-run, 0 runs", retry.Header().Get(wire.HeaderOutcome), h.runs.Load())
	}
}

// A refusal that is decided before the operation is looked up must not report not-run
// for an operation that ran. If it reports not-run, the operation must not run later.
func TestEarlyRefusalsAreTrueForTheWholeOperation(t *testing.T) {
	h := newHarness(t)
	ranID, freshID := h.newID("1"), h.newID("2")
	h.send("POST", "/orders", "kit 7", wire.HeaderOperation, ranID)
	savedTree := h.tree
	h.tree = nil
	if w := h.send("POST", "/orders", "kit 7", wire.HeaderOperation, ranID); w.Header().Get(wire.HeaderOutcome) != string(outcome.Unknown) {
		t.Errorf("refusal of an operation that ran: outcome %q, want unknown", w.Header().Get(wire.HeaderOutcome))
	}
	if w := h.send("POST", "/orders", "kit 8", wire.HeaderOperation, freshID); w.Header().Get(wire.HeaderOutcome) != string(outcome.NotRun) {
		t.Errorf("refusal of a new operation: outcome %q, want not-run", w.Header().Get(wire.HeaderOutcome))
	}
	h.tree = savedTree
	h.send("POST", "/orders", "kit 8", wire.HeaderOperation, freshID)
	if h.runs.Load() != 1 {
		t.Errorf("%d runs, want 1: the second operation ran although it was reported as not-run", h.runs.Load())
	}
}

func TestRunGoesOnWhenTheCallerHangsUp(t *testing.T) {
	h := newHarness(t)
	h.respond = func(ctx context.Context, _ *http.Request) (*forward.Response, *outcome.Refusal) {
		if ctx.Err() != nil {
			return nil, outcome.NewUnknown(outcome.ReasonCallerGone, "cancelled")
		}
		return completeResponse("ok"), nil
	}
	r := httptest.NewRequest("POST", "http://"+testHost+"/orders", nil)
	r.Header.Set(wire.HeaderOperation, h.newID("1"))
	cancelledCtx, cancel := context.WithCancel(r.Context())
	cancel()
	h.ServeHTTP(httptest.NewRecorder(), r.WithContext(cancelledCtx))
	if w := h.send("POST", "/orders", "", wire.HeaderOperation, h.newID("1")); w.Body.String() != "ok" {
		t.Errorf("retry: status %d, body %q, want body \"ok\"", w.Code, w.Body)
	}
}

func TestAnswerThatBreaksOffIsNeverAWholeOne(t *testing.T) {
	h := newHarness(t)
	prefix := "start"
	h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		return truncatedResponse(prefix), nil
	}
	if w := h.send("POST", "/orders", "", wire.HeaderOperation, h.newID("1")); w.Code != http.StatusBadGateway {
		t.Errorf("short truncated response of an operation: status %d, want 502", w.Code)
	}
	server := httptest.NewServer(h)
	defer server.Close()
	prefix = strings.Repeat("x", 2*operation.DefaultMaxResponseBytes)
	r, _ := http.NewRequest("GET", server.URL+"/kits", nil)
	r.Host = testHost
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return // Aborted before the header, which the caller detects too.
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("the caller read a truncated response without an error")
	}
}

func TestLargeResponseReachesItsCallerAndIsNotStored(t *testing.T) {
	h := newHarness(t)
	body := strings.Repeat("x", 3*operation.DefaultMaxResponseBytes)
	h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
		return completeResponse(body), nil
	}
	if w := h.send("POST", "/orders", "", wire.HeaderOperation, h.newID("1")); w.Body.String() != body {
		t.Errorf("the caller got a body of %d bytes, want the server's body of %d bytes", w.Body.Len(), len(body))
	}
	w := h.send("POST", "/orders", "", wire.HeaderOperation, h.newID("1"))
	if w.Header().Get(wire.HeaderReason) != string(outcome.ReasonAnswerNotKept) || w.Header().Get(wire.HeaderOutcome) != string(outcome.Ran) {
		t.Errorf("retry: header %v, want reason answer_not_kept and outcome ran", w.Header())
	}
}

func TestCallerMayOnlyShortenTheTimeout(t *testing.T) {
	h := newHarness(t)
	var remaining time.Duration
	h.respond = func(ctx context.Context, _ *http.Request) (*forward.Response, *outcome.Refusal) {
		deadline, _ := ctx.Deadline()
		remaining = time.Until(deadline)
		return completeResponse("ok"), nil
	}
	h.send("GET", "/", "", wire.HeaderTimeoutMs, "60000")
	if remaining > time.Second {
		t.Errorf("%v until the deadline, want at most the route's 1s", remaining)
	}
	h.send("GET", "/", "", wire.HeaderTimeoutMs, "200")
	if remaining > 200*time.Millisecond {
		t.Errorf("%v until the deadline, want at most the caller's 200ms", remaining)
	}
}

func TestLeavingEntryAsksCallersToCloseTheirConnections(t *testing.T) {
	h := newHarness(t)
	h.Drainer.Start(drain.Plan{CloseAfter: time.Minute})
	if w := h.send("GET", "/", ""); w.Header().Get("Connection") != "close" || w.Code != http.StatusOK {
		t.Errorf("status %d, Connection %q, want 200, \"close\"", w.Code, w.Header().Get("Connection"))
	}
	if h.Drainer.InFlight() != 0 {
		t.Errorf("%d requests in flight after the last response, want 0", h.Drainer.InFlight())
	}
}

// A caller asks again for the result of an operation while its entry stops. It must get the result,
// not a refusal, while a request that would have to run is refused.
func TestStoppingEntryReturnsTheResultsOfOperations(t *testing.T) {
	h := newHarness(t)
	id := h.newID("1")
	h.send("POST", "/orders", "kit", wire.HeaderOperation, id)
	h.Drainer.Start(drain.Plan{})
	if w := h.send("POST", "/orders", "kit", wire.HeaderOperation, id); w.Code != http.StatusOK || h.runs.Load() != 1 {
		t.Errorf("asked again: status %d after %d runs, want 200 after 1", w.Code, h.runs.Load())
	}
	if w := h.send("GET", "/", ""); w.Code != http.StatusServiceUnavailable || h.refusals(outcome.ReasonStopping) != 1 || h.runs.Load() != 1 {
		t.Errorf("new request: status %d after %d runs, want 503 after 1", w.Code, h.runs.Load())
	}
}

// The HTTP server does not count operations forwarded by other entries, so the drain
// must wait for them itself.
func TestDrainWaitsForOperationsOfOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		ended := false
		h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
			time.Sleep(time.Minute)
			ended = true
			return completeResponse("ok"), nil
		}
		go h.RunForwarded(context.Background(), "caller", httptest.NewRequest("GET", "http://"+testHost+"/", nil), nil)
		synctest.Wait()
		if err := h.Drainer.Wait(context.Background()); err != nil || !ended {
			t.Errorf("Wait: error %v, operation ended %v, want no error, true", err, ended)
		}
	})
}

func TestCallsAreCountedByServiceRankAndOutcome(t *testing.T) {
	h := newHarness(t)
	h.send("GET", "/", "")
	h.limitRefusal = outcome.NewNotRun(http.StatusTooManyRequests, outcome.ReasonLimitRate, "limit spent")
	h.send("GET", "/", "")
	counters := h.scope.Snapshot().Counters()
	for _, o := range []outcome.Outcome{outcome.Ran, outcome.NotRun} {
		name := "calls+outcome=" + string(o) + ",rank=lookups,service=glazenpot/shop"
		if counters[name] == nil || counters[name].Value() != 1 {
			t.Errorf("counter %s is missing or not 1", name)
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
		h := newHarness(t)
		h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
			return nil, outcome.NewNotRun(http.StatusServiceUnavailable, reason, "refused by a stage")
		}
		w := h.send("GET", "/kits", "")
		if h.refusals(reason) != 1 || w.Header().Get(wire.HeaderReason) != string(reason) {
			t.Errorf("%s: counted %d refusals, reason header %q, want 1 and the reason", reason, h.refusals(reason), w.Header().Get(wire.HeaderReason))
		}
	}
	h := newHarness(t)
	h.tree = nil
	h.send("GET", "/kits", "")
	if h.refusals(outcome.ReasonNoConfiguration) != 1 {
		t.Error("the refusals with reason no_configuration are not 1")
	}
}

// An entry that knows of a newer configuration must not deny that a route exists: the
// route may be new. The request is refused as not run, and its caller may try again.
func TestMissingRouteWhileBehind(t *testing.T) {
	for _, behind := range []bool{false, true} {
		h := newHarness(t)
		h.IsBehind = func() bool { return behind }
		w := h.send("PUT", "/", "")
		wantStatus, wantReason := http.StatusNotFound, outcome.ReasonNoRoute
		if behind {
			wantStatus, wantReason = http.StatusServiceUnavailable, outcome.ReasonConfigurationBehind
		}
		if w.Code != wantStatus || h.refusals(wantReason) != 1 || (w.Header().Get("Retry-After") != "") != behind {
			t.Errorf("behind %v: status %d, headers %v, want %d with reason %s", behind, w.Code, w.Header(), wantStatus, wantReason)
		}
	}
}
