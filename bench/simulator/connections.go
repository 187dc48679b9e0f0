package simulator

import "time"

// Connections describes how entries keep connections to servers.
type Connections struct {
	// Idle is how long an idle connection is kept; zero counts no connections.
	Idle time.Duration
	// NonIdempotentIdle is the idle time up to which a call that is not idempotent, which is
	// any but a lookup, uses a connection; zero means Idle.
	NonIdempotentIdle time.Duration
	// Shared keeps the connections of all calls in one pool. Otherwise those of
	// non-idempotent calls are in a pool of their own.
	Shared bool
}

// ConnectionFigures counts the connections that attempts used, in the measured time.
type ConnectionFigures struct {
	// Attempts is the number of attempts sent.
	Attempts int64
	// Reused attempts found an idle connection.
	Reused int64
	// First opened a connection to a server that the entry had no connection to before.
	First int64
	// Overlapping opened one as all connections to the server were in use.
	Overlapping int64
	// Expired opened one as the idle ones were closed, or too old for the call.
	Expired int64
	// Kept is the sum over all entries of the idle connections at the end.
	Kept int64
}

// Opened is the number of new connections.
func (f ConnectionFigures) Opened() int64 { return f.First + f.Overlapping + f.Expired }

// connectionKey identifies a pool of connections of an entry.
type connectionKey struct {
	server        *server
	nonIdempotent bool
}

// connections are an entry's connections to a server.
type connections struct {
	idleSince []time.Duration // the most recently used last
	inUse     int
}

// connectionPool holds the connections of an entry.
type connectionPool map[connectionKey]*connections

func (r *run) connectionKey(a *attempt) connectionKey {
	return connectionKey{server: a.server, nonIdempotent: a.call.rank != Lookups && !r.scenario.Connections.Shared}
}

// take takes a connection for the attempt, and counts how it was found.
func (p connectionPool) take(r *run, a *attempt) {
	settings := r.scenario.Connections
	if settings.Idle == 0 {
		return
	}
	var figures ConnectionFigures
	figures.Attempts = 1
	key := r.connectionKey(a)
	c := p[key]
	switch {
	case c == nil:
		c = &connections{}
		p[key] = c
		figures.First = 1
	case c.takeIdle(r.clock.now, settings.limit(a.call)):
		figures.Reused = 1
	case c.inUse > 0:
		figures.Overlapping = 1
	default:
		figures.Expired = 1
	}
	c.inUse++
	if r.inMeasuredTime() {
		r.result.Connections.add(figures)
	}
}

// limit returns the idle time up to which a connection serves the call.
func (c Connections) limit(call *call) time.Duration {
	if call.rank != Lookups && c.NonIdempotentIdle > 0 {
		return c.NonIdempotentIdle
	}
	return c.Idle
}

// takeIdle takes the most recently used connection, unless it was idle for too long. Such
// a connection is closed: the new one takes its place.
func (c *connections) takeIdle(now, limit time.Duration) bool {
	if len(c.idleSince) == 0 {
		return false
	}
	last := len(c.idleSince) - 1
	fresh := now-c.idleSince[last] < limit
	c.idleSince = c.idleSince[:last]
	return fresh
}

// put returns the connection of an attempt. One of a cancelled attempt is closed.
func (p connectionPool) put(r *run, a *attempt, reusable bool) {
	c := p[r.connectionKey(a)]
	if c == nil {
		return
	}
	c.inUse--
	if reusable {
		c.idleSince = append(c.idleSince, r.clock.now)
	}
}

// kept returns the number of idle connections.
func (p connectionPool) kept(now, limit time.Duration) int64 {
	var kept int64
	for _, c := range p {
		for _, since := range c.idleSince {
			if now-since < limit {
				kept++
			}
		}
	}
	return kept
}

func (f *ConnectionFigures) add(other ConnectionFigures) {
	f.Attempts += other.Attempts
	f.Reused += other.Reused
	f.First += other.First
	f.Overlapping += other.Overlapping
	f.Expired += other.Expired
	f.Kept += other.Kept
}
