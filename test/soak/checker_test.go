package soak

import (
	"fmt"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

// requestRecord is one request of a caller and its result.
type requestRecord struct {
	id         string
	atMostOnce bool
	entry      *entry
	from, to   time.Time
	key        *tenantKey
	public     bool
	status     int // zero if there was no complete response
	// sent is when the whole request was sent to a process that accepted the connection, zero if
	// that is not certain.
	sent time.Time
}

// lossSlack is how long after a request was sent a process that stops may still close its
// connection without having read it. A connection that the kernel has accepted, but the process
// has not, is reset when the process closes its listener.
const lossSlack = 200 * time.Millisecond

// isLost reports whether the entry lost the response of a request that ran that many times,
// although no fault excuses that.
func (s *requestRecord) isLost(runs int) bool {
	if s.status != 0 || s.sent.IsZero() && runs == 0 || s.entry.wasDisrupted(s.from.Add(-time.Second), s.to.Add(time.Second)) {
		return false
	}
	if !s.entry.wasStopping(s.from, s.to) {
		return true
	}
	unread := runs == 0 && (s.sent.IsZero() || s.to.Sub(s.sent) <= lossSlack)
	return !unread && !s.entry.mayCut(s.from, s.to)
}

// checker records the requests of all callers and the violations of guarantees.
type checker struct {
	mu         sync.Mutex // guards the fields below
	violations []string
	requests   []requestRecord
	served     int
}

func newChecker() *checker { return &checker{} }

func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) record(s requestRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, s)
	if s.status == 200 {
		c.served++
	}
}

// meansNotRun reports whether the status guarantees that the request never runs.
func meansNotRun(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421 || status == 401
}

// checkFinal compares the outcomes that callers received with the requests that servers ran.
func (c *checker) checkFinal(servers []*server) {
	runs := map[string][]usersplatform.Run{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	c.mu.Lock()
	all := append([]requestRecord(nil), c.requests...)
	c.mu.Unlock()
	known := map[string]bool{}
	for _, s := range all {
		known[s.id] = true
		n := len(runs[s.id])
		if s.atMostOnce && n > 1 {
			c.addViolation("at most once: %s ran %d times, want at most once: %+v", s.id, n, runs[s.id])
		}
		if n > 0 && meansNotRun(s.status) {
			c.addViolation("not run: %s got status %d, but ran at %s", s.id, s.status, runs[s.id][0].Server)
		}
		if s.status == 200 && n == 0 {
			c.addViolation("answer: %s got status 200, but never ran", s.id)
		}
		if s.isLost(n) {
			c.addViolation("lost: %s at the undisturbed %s ran %d times and got no response from %s to %s", s.id, s.entry.name, n,
				s.from.Format(time.StampMilli), s.to.Format(time.StampMilli))
		}
	}
	for id, r := range runs {
		if !known[id] {
			c.addViolation("unasked: %q ran %d times, but no caller sent it: %+v", id, len(r), r[0])
		}
	}
}
