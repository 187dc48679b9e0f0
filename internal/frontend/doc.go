// Package frontend serves callers: it turns an HTTP request into a call, passes it
// through the stages of the request path and writes exactly one response.
//
// Stages in order: route and header checks, operation table (non-idempotent routes
// only), global limits, attempts through the rank queue to a backend server,
// response. The package holds no tables of its own; each stage has its own and
// locks it only during an access, so no lock is held across two stages.
package frontend
