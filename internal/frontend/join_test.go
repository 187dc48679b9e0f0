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

// A retry that joins a running operation waits no longer than its own timeout.
func TestJoinedCallKeepsItsOwnDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		release := make(chan struct{})
		h.respond = func(context.Context, *http.Request) (*forward.Response, *outcome.Refusal) {
			<-release
			return completeResponse("ok"), nil
		}
		id := h.newID("1")
		go h.send("POST", "/orders", "kit 7", wire.HeaderOperation, id)
		synctest.Wait()
		w := h.send("POST", "/orders", "kit 7", wire.HeaderOperation, id, wire.HeaderTimeoutMs, "50")
		if w.Code != http.StatusGatewayTimeout || w.Header().Get(wire.HeaderOutcome) != string(outcome.Unknown) {
			t.Errorf("status %d, outcome %q, want 504, unknown", w.Code, w.Header().Get(wire.HeaderOutcome))
		}
		close(release)
		synctest.Wait()
	})
}
