package backend

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
)

// Runs counts the requests of a server.
type Runs struct {
	// Total is the number of requests run, with and without an operation id.
	Total int64 `json:"total"`
	// WhileDraining is how many of them started while the server was draining.
	WhileDraining int64 `json:"while_draining"`
	// Shed is the number of requests refused without running them.
	Shed int64 `json:"shed"`
	// Operations counts the runs of each operation id.
	Operations map[string]int `json:"operations"`
}

type runCounter struct {
	mu     sync.Mutex
	counts Runs
}

func newRunCounter() *runCounter {
	return &runCounter{counts: Runs{Operations: make(map[string]int)}}
}

// recordRun counts one run and returns how often its operation has run so far,
// which is 1 without an operation id.
func (r *runCounter) recordRun(operation string, draining bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Total++
	if draining {
		r.counts.WhileDraining++
	}
	if operation == "" {
		return 1
	}
	r.counts.Operations[operation]++
	return r.counts.Operations[operation]
}

func (r *runCounter) recordShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Shed++
}

func (r *runCounter) snapshot() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Operations = maps.Clone(c.Operations)
	return c
}

// serveRuns responds with the counts as JSON.
func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// The status has already been sent, so a failed write cannot be reported.
	_ = json.NewEncoder(w).Encode(s.Runs())
}
