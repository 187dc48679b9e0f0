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

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/quarantine"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// hedgingFakes allows a second attempt after a long time.
type hedgingFakes struct{ *fakes }

func (f hedgingFakes) HedgeDelay(string, string, time.Duration) (time.Duration, bool) {
	return time.Hour, true
}

// newTestGuard returns a guard of one entry whose servers have all ended when they are checked.
func newTestGuard() *quarantine.Guard {
	return quarantine.NewGuard(quarantine.Options{
		Check:      func(context.Context, fleet.VM) quarantine.ServerCheck { return quarantine.Ended },
		InUse:      func(fleet.VM) bool { return true },
		LastReport: func(fleet.VM) time.Time { return time.Time{} },
		View:       func() *cluster.View { return &cluster.View{} },
		Flush:      func() {},
	})
}

// An idempotent request under which a server has ended is not sent again within its call once it
// has ended a second one, and no second attempt runs beside the first one.
func TestSuspectIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hungUp := failed(outcome.Unknown, outcome.ReasonServerHungUp, true)
		f := &fakes{results: []any{hungUp, hungUp, 200, hungUp, 200}}
		r := New(hedgingFakes{f}, delayedSender{f}, tally.NoopScope).WithGuard(newTestGuard())
		m := tree.Match{Service: &tree.Service{Budgets: tree.Budgets{RetryShare: 1}}, Route: &tree.Route{Idempotent: true, MaxAttempts: 5}}
		_, refusal := r.Do(t.Context(), m, httptest.NewRequest("GET", "/look/a", nil))
		if len(f.sent) != 2 || refusal == nil || refusal.Outcome != outcome.Unknown {
			t.Errorf("sent %d times with refusal %v, want 2 times and an unknown outcome", len(f.sent), refusal)
		}
		synctest.Wait()
		_, refusal = r.Do(t.Context(), m, httptest.NewRequest("GET", "/look/a", nil))
		if len(f.sent) != 2 || refusal == nil || refusal.Reason != outcome.ReasonQuarantined || refusal.Outcome != outcome.NotRun {
			t.Errorf("sent %d times with refusal %v, want no further time and not run", len(f.sent), refusal)
		}
		if response, refusal := r.Do(t.Context(), m, httptest.NewRequest("GET", "/look/b", nil)); refusal != nil {
			t.Errorf("another request is refused: %v", refusal)
		} else {
			response.Body.Close()
		}
		if _, ok := (&call{runner: r, match: m, req: httptest.NewRequest("GET", "/look/b", nil)}).hedgeDelay(); !ok {
			t.Error("a request without a suspicion is not hedged")
		}
		tracked, refusal := r.guard.Begin(httptest.NewRequest("GET", "/look/c", nil))
		if refusal != nil {
			t.Fatal(refusal)
		}
		tracked.ConnectionEnded(fleet.VM{Name: "server-x"})
		synctest.Wait()
		if _, ok := (&call{runner: r, match: m, req: httptest.NewRequest("GET", "/look/c", nil), tracked: tracked}).hedgeDelay(); ok {
			t.Error("a suspect is hedged")
		}
	})
}

// delayedSender lets a millisecond pass before each result, as the check of a server takes time.
type delayedSender struct{ *fakes }

func (s delayedSender) Send(ctx context.Context, server fleet.VM, m tree.Match, r *http.Request, body io.Reader) (*forward.Response, *forward.SendError) {
	time.Sleep(30 * time.Millisecond)
	return s.fakes.Send(ctx, server, m, r, body)
}
