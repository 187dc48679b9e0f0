package attempt

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// fullServers is an Admitter without a free server.
type fullServers struct{ fakes }

func (f *fullServers) Admit(ctx context.Context, _ Request) (Grant, *outcome.Refusal) {
	<-ctx.Done()
	return nil, outcome.NewNotRun(http.StatusServiceUnavailable, outcome.ReasonCallerGone, "gone")
}

// A request that waits in the queue of a stopping entry is refused, and its caller told, as soon
// as it could not be completed. It must not wait until the entry closes its connection.
func TestWaitingRequestIsRefusedBeforeTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drainer := drain.New()
		f := &fullServers{}
		r := New(f, &f.fakes, tally.NoopScope).WithDrainer(drainer)
		m := tree.Match{Service: &tree.Service{}, Route: &tree.Route{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		began := time.Now()
		time.AfterFunc(time.Second, func() { drainer.Start(drain.Plan{CloseAfter: 6 * time.Second}) })
		_, refusal := r.Do(ctx, m, httptest.NewRequest("POST", "/orders", nil))
		if refusal == nil || refusal.Reason != outcome.ReasonStopping || refusal.Outcome != outcome.NotRun {
			t.Errorf("got %v, want not run as the entry stops", refusal)
		}
		if waited := time.Since(began); waited != 4*time.Second {
			t.Errorf("refused after %v, want 4s", waited)
		}
	})
}

// An attempt that failed without running is not repeated if the retry could not end before the
// entry stops; the caller gets the promise that it may repeat the request elsewhere.
func TestNoRetryThatCannotBeCompleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		drainer := drain.New()
		drainer.Start(drain.Plan{CloseAfter: 6 * time.Second})
		f := &fakes{results: []any{failed(outcome.NotRun, outcome.ReasonDialFailed, false), 200}}
		s := laterSender{f, 4 * time.Second}
		r := New(f, s, tally.NoopScope).WithDrainer(drainer)
		m := tree.Match{Service: &tree.Service{Budgets: tree.Budgets{RetryShare: 1}}, Route: &tree.Route{}}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, refusal := r.Do(ctx, m, httptest.NewRequest("POST", "/orders", nil))
		if refusal == nil || refusal.Outcome != outcome.NotRun || len(f.sent) != 1 {
			t.Errorf("got %v after %d sends, want not run after 1", refusal, len(f.sent))
		}
	})
}

// laterSender sends each attempt after a delay.
type laterSender struct {
	*fakes
	delay time.Duration
}

func (s laterSender) Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*forward.Response, *forward.SendError) {
	time.Sleep(s.delay)
	return s.fakes.Send(ctx, server, m, r, body)
}
