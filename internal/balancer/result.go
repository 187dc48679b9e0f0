package balancer

import "time"

// ResultKind classifies the end of one attempt at a backend server.
type ResultKind int

// Kinds of results.
const (
	// OK is a whole answer.
	OK ResultKind = iota
	// Error is a failed answer, a broken connection or a timeout.
	Error
	// Shed is an answer that proves that the server refused the request unrun.
	Shed
	// DialFailed means that no connection was opened.
	DialFailed
	// Cancelled means that the entry ended the attempt, such as a losing hedge.
	Cancelled
)

// String returns the kind in snake_case, as counters name it.
func (k ResultKind) String() string {
	names := [...]string{"ok", "error", "shed", "dial_failed", "cancelled"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Result is what the balancer learns from one attempt.
type Result struct {
	// Latency runs from dispatch to the end of the answer.
	Latency time.Duration
	// Kind is how the attempt ended.
	Kind ResultKind
	// Report is the load report of the answer, where HasReport.
	Report Report
	// HasReport says that the answer carried a readable report.
	HasReport bool
	// Estimate is what the choice of the server was based on.
	Estimate Estimate
	// Upload keeps the latency out of the measured latencies, as a large body
	// says little about the server.
	Upload bool
}
