package frontend

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// laterTree has a tree once it is told so.
type laterTree struct {
	tree  *tree.Tree
	first chan struct{}
}

func (l *laterTree) Tree() *tree.Tree {
	select {
	case <-l.first:
		return l.tree
	default:
		return nil
	}
}

// Load: callers come back to an entry that has just started, 0.1 to 0.4 s before it has a configuration.
// They must be served once it has; each was sent away for a second. Without a store they are refused
// when the hold ends, which is never long after the start, and a caller in a hurry earlier.
func TestRequestsBeforeTheFirstTreeAreHeld(t *testing.T) {
	const soon, notSoon = 300 * time.Millisecond, 3 * time.Second
	for name, c := range map[string]struct {
		treeAfter, sendAfter time.Duration
		timeoutMs            string
		status               int
		took                 time.Duration
	}{
		"soon":              {soon, 0, "", http.StatusOK, soon},
		"never":             {notSoon, 0, "", http.StatusServiceUnavailable, startHold},
		"short timeout":     {soon, 0, "200", http.StatusServiceUnavailable, 100 * time.Millisecond},
		"late in the start": {notSoon, 900 * time.Millisecond, "", http.StatusServiceUnavailable, 100 * time.Millisecond},
		"after the start":   {notSoon, startHold, "", http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				source := &laterTree{tree: h.tree, first: make(chan struct{})}
				options := h.Options
				options.Tree, options.FirstTree = source, source.first
				h.Handler = NewHandler(options)
				time.AfterFunc(c.treeAfter, func() { close(source.first) })
				time.Sleep(c.sendAfter)
				began := time.Now()
				var header []string
				if c.timeoutMs != "" {
					header = []string{wire.HeaderTimeoutMs, c.timeoutMs}
				}
				w := h.send("GET", "/", "", header...)
				if w.Code != c.status {
					t.Errorf("got status %d, want %d", w.Code, c.status)
				}
				if took := time.Since(began); took != c.took {
					t.Errorf("answered after %v, want %v", took, c.took)
				}
				if c.status != http.StatusOK && (h.runs.Load() != 0 || h.refusals(outcome.ReasonNoConfiguration) != 1) {
					t.Errorf("%d runs and %d refusals for want of a configuration", h.runs.Load(), h.refusals(outcome.ReasonNoConfiguration))
				}
			})
		})
	}
}
