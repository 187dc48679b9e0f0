package attempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// slowServers respond immediately, except to the first attempt after slow was set,
// which takes a second.
type slowServers struct {
	slow, slowed    atomic.Bool
	cancelled, open atomic.Int32
}

func (s *slowServers) Server() fleet.VM            { return fleet.VM{Name: "server"} }
func (s *slowServers) Estimate() balancer.Estimate { return balancer.Estimate{} }
func (s *slowServers) Slowed() bool                { return s.slowed.Load() }
func (s *slowServers) Done(balancer.Result)        { s.open.Add(-1) }
func (s *slowServers) Admit(context.Context, Request) (Grant, *outcome.Refusal) {
	s.open.Add(1)
	return s, nil
}

func (s *slowServers) ServiceTime(Request) time.Duration { return 0 }

func (s *slowServers) HedgeDelay(string, string, time.Duration) (time.Duration, bool) {
	return 50 * time.Millisecond, true
}

func (s *slowServers) Send(ctx context.Context, _ fleet.VM, _ tree.Match, _ *http.Request, _ io.Reader) (*forward.Response, *forward.SendError) {
	if s.slow.CompareAndSwap(true, false) {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			s.cancelled.Add(1)
			return nil, failed(outcome.Unknown, outcome.ReasonCallerGone, false)
		}
	}
	return &forward.Response{Status: 200, Body: io.NopCloser(strings.NewReader(""))}, nil
}

func TestHedge(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		share      float64
		before     int // calls that earn hedges
		hedges     int32
	}{
		{"idempotent call with a token", true, 0.5, 1, 1},
		{"idempotent call without a token", true, 0.5, 0, 0},
		{"hedges turned off", true, 0, 9, 0},
		{"order", false, 0.5, 9, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &slowServers{}
				r := New(s, s, tally.NoopScope)
				svc := &tree.Service{Budgets: tree.Budgets{HedgeShare: c.share}}
				m := tree.Match{Service: svc, Route: &tree.Route{Idempotent: c.idempotent}}
				for n := range c.before + 1 {
					s.slow.Store(n == c.before)
					response, refusal := r.Do(t.Context(), m, httptest.NewRequest("GET", "/", nil))
					if refusal != nil {
						t.Fatal(refusal)
					}
					response.Body.Close()
				}
				synctest.Wait()
				if s.open.Load() != 0 || s.cancelled.Load() != c.hedges {
					t.Errorf("%d grants left open, %d slow attempts cancelled, want 0 and %d",
						s.open.Load(), s.cancelled.Load(), c.hedges)
				}
			})
		})
	}
}

// Both servers that a hedged call was sent to are in its trace, so that the log accounts for
// each run of a request. Without the attempt that lost, a second run of a lookup has no
// visible cause.
func TestBothAttemptsOfAHedgedCallAreTraced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowServers{}
		s.slow.Store(true)
		r := New(s, s, tally.NoopScope)
		svc := &tree.Service{Budgets: tree.Budgets{RetryShare: 1, HedgeShare: 1, RetryBurst: 2}}
		m := tree.Match{Service: svc, Route: &tree.Route{Idempotent: true, MaxAttempts: 2}}
		trace := &Trace{}
		response, refusal := r.Do(WithTrace(t.Context(), trace), m, httptest.NewRequest("GET", "/", nil))
		if refusal != nil {
			t.Fatal(refusal)
		}
		synctest.Wait() // also the attempt that lost has ended
		response.Body.Close()
		var got []string
		for _, s := range trace.Steps() {
			got = append(got, fmt.Sprintf("%s %s %v", s.Server, s.Result, s.Took))
		}
		if want := []string{"server 200 0s", "server abandoned 50ms"}; !slices.Equal(got, want) {
			t.Errorf("traced %q, want %q", got, want)
		}
	})
}

// If a server is reported slow after the request was sent, the second attempt
// starts before the hedging delay.
func TestHedgeWhenTheServerTurnsSlow(t *testing.T) {
	for _, slowed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &slowServers{}
			r := New(s, s, tally.NoopScope)
			svc := &tree.Service{Budgets: tree.Budgets{RetryShare: 1, HedgeShare: 1, RetryBurst: 2}}
			m := tree.Match{Service: svc, Route: &tree.Route{Idempotent: true, MaxAttempts: 2}}
			s.slow.Store(true)
			s.slowed.Store(slowed)
			began := time.Now()
			response, refusal := r.Do(t.Context(), m, httptest.NewRequest("GET", "/", nil))
			if refusal != nil {
				t.Fatal(refusal)
			}
			response.Body.Close()
			want := 50 * time.Millisecond
			if slowed {
				want = slowdownCheckDelay
			}
			if took := time.Since(began); took != want {
				t.Errorf("slowed %v: response after %v, want %v", slowed, took, want)
			}
			synctest.Wait()
		})
	}
}
