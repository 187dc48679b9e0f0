// Package account keeps the account of what the accepted connections of a process and their requests
// hold, and sheds holders when memory or descriptors are used up.
//
// Every listener of the process is wrapped by Account.Listen, which returns connections that count what they hold.
// HTTP servers are prepared by Account.Prepare, other protocols use Conn.BeginMessage. A request that waits for a backend
// server is never shed, since it may run.
package account

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// Metrics of connections. The counters are tagged with the side, shed also with a reason.
const (
	metricShed    = "connections_shed"
	metricRefused = "connections_refused"
	metricOpen    = "connections_open"
	metricBytes   = "connection_bytes"
)

// logInterval is the least time between two lines about shed connections.
const logInterval = time.Second

// reason is why a connection was shed.
type reason string

const (
	reasonConnections reason = "connections"  // the listener is full
	reasonDescriptors reason = "descriptors"  // the process has no descriptor left
	reasonMemory      reason = "memory"       // the account is full
	reasonBodies      reason = "body_memory"  // the body budget is full
	reasonFields      reason = "header_lines" // too many lines in a head
	reasonPipelined   reason = "pipelined"    // too many requests in a row that did not wait for responses
	reasonMessage     reason = "message"      // a message between entries is too large
)

// Log writes a log line with fields.
type Log func(msg string, fields ...any)

// Account is the account of one process. It is safe for concurrent use. Its lock is taken before that
// of a Conn, and no other lock while it is held.
type Account struct {
	limits Limits
	log    Log
	scope  tally.Scope
	bytes  tally.Gauge
	held   atomic.Int64 // bytes
	// leaving is the part of held that belongs to shed connections, whose requests have not ended yet.
	leaving atomic.Int64

	mu    sync.Mutex // guards the fields below and the connections of the sides
	sides []*side

	logMu    sync.Mutex // guards the fields below
	lastLine time.Time
	unlogged int // connections that were shed or refused since the last line
}

// side is one listener with its connections.
type side struct {
	name    string
	max     int
	open    tally.Gauge
	refused tally.Counter
	conns   map[*Conn]struct{} // guarded by the account's lock
}

// New returns an account without connections.
func New(limits Limits, log Log, scope tally.Scope) *Account {
	return &Account{limits: limits, log: log, scope: scope, bytes: scope.Gauge(metricBytes)}
}

// newSide adds a listener that may have that many connections; zero means any number.
func (a *Account) newSide(name string, most int) *side {
	scope := a.scope.Tagged(map[string]string{"side": name})
	s := &side{name: name, max: most, conns: map[*Conn]struct{}{}, open: scope.Gauge(metricOpen), refused: scope.Counter(metricRefused)}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sides = append(a.sides, s)
	return s
}

// remove takes a closed connection out of its side.
func (a *Account) remove(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(c.side.conns, c)
	c.side.open.Update(float64(len(c.side.conns)))
	a.bytes.Update(float64(a.held.Load()))
}

// report counts a connection that was shed or refused, and writes at most one line in logInterval.
func (a *Account) report(s *side, why reason) {
	a.scope.Tagged(map[string]string{"side": s.name, "reason": string(why)}).Counter(metricShed).Inc(1)
	a.logShed(s, string(why))
}

func (a *Account) reportRefused(s *side) {
	s.refused.Inc(1)
	a.logShed(s, "refused")
}

func (a *Account) logShed(s *side, why string) {
	a.logMu.Lock()
	defer a.logMu.Unlock()
	a.unlogged++
	now := time.Now()
	if now.Sub(a.lastLine) < logInterval {
		return
	}
	a.log("connections shed", "side", s.name, "reason", why, "count", a.unlogged, "max_connections", s.max,
		"held_bytes", a.held.Load(), "memory_bytes", a.limits.MemoryBytes)
	a.lastLine, a.unlogged = now, 0
}

// start is the origin of the times in this package.
var start = time.Now()

// clock returns the time since start, never zero.
func clock() time.Duration { return cmp.Or(time.Since(start), 1) }

// HeldBytes returns the memory that connections and requests hold together.
func (a *Account) HeldBytes() int64 { return a.held.Load() }
