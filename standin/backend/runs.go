package backend

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// Runs counts what a server has run.
type Runs struct {
	// Total is the number of requests run, with and without an operation id.
	Total int64 `json:"total"`
	// WhileDraining is how many of them started while the server was draining.
	WhileDraining int64 `json:"while_draining"`
	// Shed is the number of requests refused as not run.
	Shed int64 `json:"shed"`
	// Operations counts the runs of each operation id.
	Operations map[string]int `json:"operations"`
}

type runs struct {
	mu   sync.Mutex
	runs Runs
}

func newRuns() *runs {
	return &runs{runs: Runs{Operations: make(map[string]int)}}
}

// start counts one run and returns how often its operation has now run.
func (r *runs) start(operation string, draining bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.Total++
	if draining {
		r.runs.WhileDraining++
	}
	if operation == "" {
		return 1
	}
	r.runs.Operations[operation]++
	return r.runs.Operations[operation]
}

func (r *runs) shed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs.Shed++
}

func (r *runs) snapshot() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.runs
	c.Operations = maps.Clone(c.Operations)
	return c
}

// serveRuns answers with the counts as JSON.
func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The status is already on its way, so a failed write has no other answer.
	_ = json.NewEncoder(w).Encode(s.Runs())
}
