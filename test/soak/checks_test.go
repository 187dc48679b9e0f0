package soak

import (
	"fmt"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

// sent is one request of a caller with what it got.
type sent struct {
	id       string
	once     bool
	entry    *entry
	from, to time.Time
	status   int // zero where no answer came
	read     bool
}

// checks collects what breaks a promise.
type checks struct {
	mu     sync.Mutex // guards the fields below
	broken []string
	sent   []sent
	served int
}

func newChecks() *checks { return &checks{} }

func (c *checks) breaks(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *checks) note(s sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
	if s.status == 200 {
		c.served++
	}
}

// promised reports whether the status says that the request never runs.
func promised(status int) bool {
	return status == 503 || status == 429 || status == 408 || status == 421
}

// atEnd checks what callers were told against what servers have run.
func (c *checks) atEnd(servers []*server) {
	runs := map[string][]usersplatform.Run{}
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	c.mu.Lock()
	all := append([]sent(nil), c.sent...)
	c.mu.Unlock()
	known := map[string]bool{}
	for _, s := range all {
		known[s.id] = true
		n := len(runs[s.id])
		if s.once && n > 1 {
			c.breaks("at most once: %s ran %d times: %+v", s.id, n, runs[s.id])
		}
		if s.once && n > 0 && promised(s.status) {
			c.breaks("not run: %s got %d and ran at %s", s.id, s.status, runs[s.id][0].Server)
		}
		if s.status == 200 && n == 0 {
			c.breaks("answer: %s got 200 and never ran", s.id)
		}
		if s.status == 0 && s.read && !s.entry.isDisturbed(s.from.Add(-time.Second), s.to.Add(time.Second)) {
			c.breaks("lost: %s at calm %s from %s to %s has no answer", s.id, s.entry.name,
				s.from.Format(time.StampMilli), s.to.Format(time.StampMilli))
		}
	}
	for id, r := range runs {
		if !known[id] {
			c.breaks("unasked: %q ran %d times and no caller sent it: %+v", id, len(r), r[0])
		}
	}
}
