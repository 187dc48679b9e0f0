package forward

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

const (
	// announcedIdleMargin is how much earlier than it announced a server may close an idle
	// connection, or half of the announced time if that is less.
	announcedIdleMargin = time.Second
	// idleCloseDelay is the time from the last moment at which an idle connection may be used
	// until it is closed, so that it is never closed under a request.
	idleCloseDelay = 100 * time.Millisecond
)

// errOldConnection is the error of a connection that was idle for too long for its request, or
// that the server has closed. Nothing of the request was written.
var errOldConnection = errors.New("idle connection is closed or too old for the request")

// announcedIdleTimeout returns how long the server says that it keeps the connection open
// while it is idle, by the timeout in seconds of the Keep-Alive header, less a margin. It
// returns zero if the server says nothing.
func announcedIdleTimeout(h http.Header) time.Duration {
	const maxSeconds = 24 * 60 * 60
	for _, line := range h["Keep-Alive"] {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			seconds, err := strconv.Atoi(strings.Trim(strings.TrimSpace(value), `"`))
			if err != nil || seconds <= 0 {
				continue
			}
			announced := time.Duration(min(seconds, maxSeconds)) * time.Second
			return max(announced-announcedIdleMargin, announced/2)
		}
	}
	return 0
}

// idleTimeout returns how long a connection may be idle after a response with that header.
func (o *Options) idleTimeout(h http.Header) time.Duration {
	if announced := announcedIdleTimeout(h); announced > 0 && o.MaxAnnouncedIdleTimeout > 0 {
		return min(announced, o.MaxAnnouncedIdleTimeout)
	}
	return o.IdleTimeout
}

// reuseAge returns the idle time up to which a connection may carry the call, zero for any.
func (o *Options) reuseAge(m tree.Match) time.Duration {
	if m.Route != nil && m.Route.Idempotent {
		return 0
	}
	return o.NonIdempotentReuseAge
}

// setIdleTimeout sets how long the connection may be idle after the request.
func (c *conn) setIdleTimeout(t *transfer, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == t {
		c.idleTimeout = timeout
	}
}

// startIdle makes the connection idle. A read deadline closes it when it may no longer be
// used. The caller holds c.mu.
func (c *conn) startIdle() {
	c.state = connIdle
	c.idleSince = time.Now()
	if c.idleTimeout > 0 && c.SetReadDeadline(c.idleSince.Add(c.idleTimeout+idleCloseDelay)) != nil {
		c.writesStopped = true
	}
}

// endIdle makes the connection ready for a request if it was not idle for too long. The caller
// holds c.mu.
func (c *conn) endIdle(maxAge time.Duration) {
	if c.idleSince.IsZero() {
		return
	}
	idle := time.Since(c.idleSince)
	c.idleSince = time.Time{}
	switch {
	case maxAge > 0 && idle >= maxAge, c.idleTimeout > 0 && idle >= c.idleTimeout:
		c.writesStopped = true
	case c.idleTimeout > 0 && c.SetReadDeadline(time.Time{}) != nil:
		c.writesStopped = true
	}
}
