package frontend

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// A repeat waits for the run as long as its own timeout says, and no longer.
func TestJoinedCallKeepsItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		release := make(chan struct{})
		b.run = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
			<-release
			return wholeAnswer("ok"), nil
		}
		id := b.newID("1")
		go b.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
		synctest.Wait()
		w := b.send("POST", "/orders", "kit 7", wire.HeaderOperation, id, wire.HeaderTimeoutMs, "50")
		if w.Code != http.StatusGatewayTimeout || w.Header().Get(wire.HeaderOutcome) != string(outcome.Unknown) {
			t.Errorf("status %d, outcome %q", w.Code, w.Header().Get(wire.HeaderOutcome))
		}
		close(release)
		synctest.Wait()
	})
}
