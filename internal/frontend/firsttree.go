package frontend

import (
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// startHold is how long after its start an entry holds requests that come before its first tree. With a
// store that responds, the tree is there 0.1 to 0.4 s after the start; a refusal sends the caller away
// for longer.
const startHold = time.Second

// currentTree returns the current tree. Before the first one it waits for it, startHold after the start
// and half of the caller's timeout at most, and returns nil if there is none by then.
func (h *Handler) currentTree(r *http.Request) *tree.Tree {
	t := h.Tree.Tree()
	wait := time.Until(h.started.Add(startHold))
	if t != nil || h.FirstTree == nil || wait <= 0 {
		return t
	}
	if timeout, ok := callerTimeout(r); ok {
		wait = min(wait, timeout/2)
	}
	h.stats.scope.Counter("held_for_configuration").Inc(1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-h.FirstTree:
	case <-timer.C:
	case <-r.Context().Done():
	}
	return h.Tree.Tree()
}
