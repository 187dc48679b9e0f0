package frontend

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

const (
	// maxTimeoutMs is the largest value of the timeout header, in milliseconds.
	maxTimeoutMs = 24 * 60 * 60 * 1000
	// maxAttempt is the largest value of the attempt header.
	maxAttempt = 1000
	// maxCallerNameBytes bounds the length of the caller header.
	maxCallerNameBytes = 128
)

// call is a validated request with its route and deadline.
type call struct {
	match    tree.Match
	caller   string
	deadline time.Time
	// body is the complete body of a call that may be an operation; nil if it is streamed.
	body []byte
}

// newCall matches the route and validates a request, except for its body.
func newCall(t *tree.Tree, r *http.Request, now time.Time) (call, *outcome.Refusal) {
	m, ok := t.Match(r.Host, r.Method, tree.PathOf(r.URL))
	if !ok {
		detail := fmt.Sprintf("no route for %s %s on host %q", r.Method, r.URL.Path, r.Host)
		return call{}, outcome.NewNotRun(http.StatusNotFound, outcome.ReasonNoRoute, detail)
	}
	timeout, refusal := effectiveTimeout(m.Route, r)
	if refusal != nil {
		return call{}, refusal
	}
	if refusal := checkAttempt(r); refusal != nil {
		return call{}, refusal
	}
	if r.ContentLength > m.Route.MaxBodyBytes {
		return call{}, bodyTooLarge(m.Route.MaxBodyBytes)
	}
	caller, refusal := callerName(r)
	if refusal != nil {
		return call{}, refusal
	}
	return call{match: m, caller: caller, deadline: now.Add(timeout)}, nil
}

// effectiveTimeout returns the shorter of the route's timeout and the caller's.
func effectiveTimeout(route *tree.Route, r *http.Request) (time.Duration, *outcome.Refusal) {
	if r.Header.Get(wire.HeaderTimeoutMs) == "" {
		return route.Timeout, nil
	}
	timeout, ok := callerTimeout(r)
	if !ok {
		return 0, malformedHeader(wire.HeaderTimeoutMs, "whole milliseconds from 1 to 86400000")
	}
	return min(timeout, route.Timeout), nil
}

// callerTimeout returns the timeout that the caller sets, and false if it sets none that is valid.
func callerTimeout(r *http.Request) (time.Duration, bool) {
	ms, err := strconv.Atoi(r.Header.Get(wire.HeaderTimeoutMs))
	if err != nil || ms < 1 || ms > maxTimeoutMs {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

func checkAttempt(r *http.Request) *outcome.Refusal {
	value := r.Header.Get(wire.HeaderAttempt)
	if value == "" {
		return nil
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < 0 || n > maxAttempt {
		return malformedHeader(wire.HeaderAttempt, "a whole number from 0 to 1000")
	}
	return nil
}

// callerName returns the name that scopes the caller's operations: the header, or
// the caller's IP address if there is none.
func callerName(r *http.Request) (string, *outcome.Refusal) {
	name := r.Header.Get(wire.HeaderCaller)
	if len(name) > maxCallerNameBytes {
		return "", malformedHeader(wire.HeaderCaller, "at most 128 bytes")
	}
	if name != "" {
		return name, nil
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr, nil
	}
	return host, nil
}

func malformedHeader(header, want string) *outcome.Refusal {
	detail := fmt.Sprintf("header %s must be %s; correct it and send the request again", header, want)
	return outcome.NewNotRun(http.StatusBadRequest, outcome.ReasonMalformed, detail)
}

func bodyTooLarge(limit int64) *outcome.Refusal {
	detail := fmt.Sprintf("the body is larger than the %d bytes that this route and entry allow", limit)
	return outcome.NewNotRun(http.StatusRequestEntityTooLarge, outcome.ReasonTooLarge, detail)
}
