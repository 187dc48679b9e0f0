package attempt

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// fakes implements Admitter and Sender: each attempt takes the next result.
type fakes struct {
	results  []any // int: response with that status; *forward.SendError; *outcome.Refusal
	sent     []string
	attempts []string // Chestnut-Attempt of each send
	excluded [][]string
	open     int // grants that were not released
}

type fakeGrant struct {
	f      *fakes
	server fleet.VM
}

func (g fakeGrant) Server() fleet.VM            { return g.server }
func (g fakeGrant) Estimate() balancer.Estimate { return balancer.Estimate{} }
func (g fakeGrant) Slowed() bool                { return false }
func (g fakeGrant) Done(balancer.Result)        { g.f.open-- }

func (f *fakes) Admit(_ context.Context, r Request) (Grant, *outcome.Refusal) {
	if refusal, ok := f.results[0].(*outcome.Refusal); ok {
		return nil, refusal
	}
	f.excluded = append(f.excluded, slices.Clone(r.Exclude))
	f.open++
	return fakeGrant{f, fleet.VM{Name: "server-" + string(rune('a'+len(f.sent)))}}, nil
}

func (f *fakes) ServiceTime(Request) time.Duration { return 0 }

func (f *fakes) HedgeDelay(string, string, time.Duration) (time.Duration, bool) { return 0, false }

func (f *fakes) Send(_ context.Context, server fleet.VM, _ tree.Match, r *http.Request, body io.Reader) (*forward.Response, *forward.SendError) {
	f.sent = append(f.sent, server.Name)
	f.attempts = append(f.attempts, r.Header.Get(wire.HeaderAttempt))
	next := f.results[0]
	f.results = f.results[1:]
	if failure, ok := next.(*forward.SendError); ok {
		return nil, failure
	}
	if body != nil {
		_, _ = io.ReadAll(body)
	}
	return &forward.Response{Status: next.(int), Body: io.NopCloser(strings.NewReader(""))}, nil
}

func failed(o outcome.Outcome, reason outcome.Reason, bodyRead bool) *forward.SendError {
	return &forward.SendError{Outcome: o, Reason: reason, BodyRead: bodyRead, Err: errors.New("broken")}
}

func TestRetries(t *testing.T) {
	notRun := failed(outcome.NotRun, outcome.ReasonDialFailed, false)
	shed := failed(outcome.NotRun, outcome.ReasonShed, true)
	hungUp := failed(outcome.Unknown, outcome.ReasonServerHungUp, true)
	full := outcome.NewNotRun(503, outcome.ReasonQueueFull, "full")
	for _, c := range []struct {
		name          string
		results       []any
		idempotent    bool
		priorAttempts string
		stream        bool
		sends         int
		want          outcome.Outcome // empty: a response
	}{
		{name: "idempotent call after a hang-up", results: []any{hungUp, 200}, idempotent: true, sends: 2},
		{name: "idempotent call after 503", results: []any{503, 200}, idempotent: true, sends: 2},
		{name: "order after a hang-up", results: []any{hungUp, 200}, sends: 1, want: outcome.Unknown},
		{name: "order after 503", results: []any{503, 200}, sends: 1},
		{name: "order after a failed dial", results: []any{notRun, 200}, sends: 2},
		{name: "order after a shed", results: []any{shed, 200}, sends: 2},
		{name: "order shed everywhere", results: []any{shed, shed, shed, 200}, sends: 3, want: outcome.NotRun},
		{name: "order shed, then hung up", results: []any{shed, hungUp, 200}, sends: 2, want: outcome.Unknown},
		{name: "streamed order shed before its body", results: []any{notRun, 200}, stream: true, sends: 2},
		{name: "streamed order shed in its body", results: []any{shed, 200}, stream: true, sends: 1, want: outcome.NotRun},
		{name: "call that is a retry above", results: []any{hungUp, 200}, idempotent: true, priorAttempts: "1", sends: 1, want: outcome.Unknown},
		{name: "hang-up, then refused here", results: []any{hungUp, full}, idempotent: true, sends: 1, want: outcome.Unknown},
		{name: "plain 503, then refused here", results: []any{503, full}, idempotent: true, sends: 1, want: outcome.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakes{results: c.results}
			r := New(f, f, tally.NoopScope)
			req := httptest.NewRequest("POST", "/orders", strings.NewReader("kit"))
			if !c.stream {
				req.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(strings.NewReader("kit")), nil }
			}
			req.Header.Set(wire.HeaderAttempt, c.priorAttempts)
			m := tree.Match{Service: &tree.Service{Budgets: tree.Budgets{RetryShare: 0.1}}, Route: &tree.Route{Idempotent: c.idempotent}}
			response, refusal := r.Do(context.Background(), m, req)
			if response != nil {
				response.Body.Close()
			}
			if len(f.sent) != c.sends {
				t.Errorf("%d sends, want %d", len(f.sent), c.sends)
			}
			if (refusal == nil) != (c.want == "") || (refusal != nil && refusal.Outcome != c.want) {
				t.Errorf("refusal %v, want outcome %q", refusal, c.want)
			}
			if f.open != 0 {
				t.Errorf("%d grants not released, want 0", f.open)
			}
			if c.sends == 2 && (f.attempts[1] != "1" || !slices.Equal(f.excluded[1], []string{"server-a"})) {
				t.Errorf("second attempt is numbered %q and excludes %v, want 1 and server-a", f.attempts[1], f.excluded[1])
			}
		})
	}
}

// Retries are bounded by the burst and then by the share of successes.
func TestRetryBudgetIsAShareOfSuccesses(t *testing.T) {
	svc := &tree.Service{Budgets: tree.Budgets{RetryShare: 0.1}}
	m := tree.Match{Service: svc, Route: &tree.Route{Idempotent: true}}
	f := &fakes{}
	r := New(f, f, tally.NoopScope)
	do := func(results ...any) int {
		f.results, f.sent = results, nil
		response, _ := r.Do(context.Background(), m, httptest.NewRequest("GET", "/", nil))
		if response != nil {
			response.Body.Close()
		}
		return len(f.sent)
	}
	hungUp := failed(outcome.Unknown, outcome.ReasonServerHungUp, false)
	retries := 0
	for range 100 {
		retries += do(hungUp, hungUp, hungUp) - 1
	}
	if retries != burstTokens {
		t.Errorf("%d retries without a success, want the burst of %d", retries, burstTokens)
	}
	for range 100 {
		do(200)
	}
	retries = 0
	for range 100 {
		retries += do(hungUp, hungUp, hungUp) - 1
	}
	if retries < 9 || retries > 10 {
		t.Errorf("%d retries after 100 successes, want 9 or 10", retries)
	}
}

// Every retry and every denied retry is counted by its reason.
func TestReasonsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	f := &fakes{}
	r := New(f, f, scope)
	svc := &tree.Service{Budgets: tree.Budgets{RetryShare: 0.1}}
	shed := failed(outcome.NotRun, outcome.ReasonShed, true)
	for _, c := range []struct {
		results       []any
		idempotent    bool
		priorAttempts string
		stream        bool
	}{
		{results: []any{shed, 200}},
		{results: []any{503, 200}, idempotent: true},
		{results: []any{shed, shed, shed}},
		{results: []any{shed, 200}, priorAttempts: "1"},
		{results: []any{shed, 200}, stream: true},
	} {
		f.results = c.results
		req := httptest.NewRequest("POST", "/orders", nil)
		if c.stream {
			req = httptest.NewRequest("POST", "/orders", strings.NewReader("kit"))
		}
		req.Header.Set(wire.HeaderAttempt, c.priorAttempts)
		response, _ := r.Do(context.Background(), tree.Match{Service: svc, Route: &tree.Route{Idempotent: c.idempotent}}, req)
		if response != nil {
			response.Body.Close()
		}
	}
	got := map[string]int64{}
	for _, counter := range scope.Snapshot().Counters() {
		got[counter.Name()+" "+counter.Tags()["reason"]] = counter.Value()
	}
	want := map[string]int64{
		"retries shed": 3, "retries status_503": 1,
		"retries_denied attempts": 1, "retries_denied nested": 1, "retries_denied body_sent": 1,
	}
	if !maps.Equal(got, want) {
		t.Errorf("counted %v, want %v", got, want)
	}
}
