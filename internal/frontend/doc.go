// Package frontend serves callers: it turns an HTTP request into a call, puts it
// through the stages of the request path and writes exactly one answer.
//
// Stages in order: route and header checks, operation (not idempotent routes),
// voted limits, attempts through the rank queue to a backend server, answer.
// The package holds no tables of its own; each stage keeps its own and locks
// only while it touches it, so no lock is held across two stages.
package frontend
