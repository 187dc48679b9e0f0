package balancer

import "time"

// ResultKind classifies the end of one attempt at a backend server.
type ResultKind int

// Kinds of results.
const (
	// OK is a complete response.
	OK ResultKind = iota
	// Error is a failed response, a broken connection or a timeout.
	Error
	// Shed is a response that proves that the server refused the request without
	// running it.
	Shed
	// DialFailed means that no connection was opened.
	DialFailed
	// Cancelled means that the entry cancelled the attempt, such as the losing one of a
	// hedged pair.
	Cancelled
)

// String returns the kind in snake_case, as in counter labels.
func (k ResultKind) String() string {
	names := [...]string{"ok", "error", "shed", "dial_failed", "cancelled"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Result is the result of one attempt.
type Result struct {
	// Latency is the time from dispatch to the end of the response.
	Latency time.Duration
	// Kind is how the attempt ended.
	Kind ResultKind
	// Report is the load report of the response, if HasReport.
	Report Report
	// HasReport is true if the response carried a valid report.
	HasReport bool
	// RequestLimit is the raw request limit that the response names, empty if it names
	// none.
	RequestLimit string
	// Notices are what the response says about further requests.
	Notices Notices
	// Estimate is the estimate that the choice of the server was based on.
	Estimate Estimate
	// Upload keeps the latency out of the statistics: the time for a large body says
	// little about the server.
	Upload bool
}
