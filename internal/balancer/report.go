package balancer

import (
	"fmt"
	"strconv"
	"strings"
)

// maxReportBytes bounds a report header, so that parsing costs little for any input.
const maxReportBytes = 256

// maxReportCount bounds each number of a report.
const maxReportCount = 1 << 20

// Report is the load that a backend server reports about itself with a response.
type Report struct {
	// InFlight is the number of running requests, without the one that the response
	// belongs to.
	InFlight int
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Queue is the number of requests that wait at the server.
	Queue int
	// Draining is true if the server accepts no new requests.
	Draining bool
	// Slowdown is the current service time on the server's host, in percent of the
	// nominal one; zero if the server does not report it.
	Slowdown int
	// RequestLimit is the raw request limit that the response to a probe names, empty if it
	// names none. Limits that responses to requests name are not part of the report.
	RequestLimit string
	// Notices are what the response to a probe says about further requests. Those of
	// responses to requests are not part of the report.
	Notices Notices
}

// ReportError is returned for a load report that cannot be parsed.
type ReportError struct {
	// Field is the key at fault, empty if the value as a whole is invalid.
	Field string
	// Cause describes the problem.
	Cause string
}

// Error returns a message with the field and the cause.
func (e *ReportError) Error() string {
	return fmt.Sprintf("load report: field %q: %s", e.Field, e.Cause)
}

// ParseReport parses "inflight=2,slots=3,queue=0,draining=0". Unknown keys are
// ignored; the error is a *ReportError.
func ParseReport(value string) (Report, error) {
	if value == "" || len(value) > maxReportBytes {
		return Report{}, &ReportError{Cause: "empty or too long"}
	}
	var r Report
	for part := range strings.SplitSeq(value, ",") {
		key, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return Report{}, &ReportError{Field: key, Cause: "missing value"}
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxReportCount {
			return Report{}, &ReportError{Field: key, Cause: "not an integer in the valid range"}
		}
		r.set(key, n)
	}
	return r, nil
}

// set sets the field of that key.
func (r *Report) set(key string, n int) {
	switch key {
	case "inflight":
		r.InFlight = n
	case "slots":
		r.Slots = n
	case "queue":
		r.Queue = n
	case "draining":
		r.Draining = n > 0
	case "slowdown":
		r.Slowdown = n
	}
}

// utilization returns the busy share of the slots, 0 to 1.
func (r Report) utilization() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return min(float64(r.InFlight)/float64(r.Slots), 1)
}

// String returns the report in the format that ParseReport reads.
func (r Report) String() string {
	draining := 0
	if r.Draining {
		draining = 1
	}
	text := fmt.Sprintf("inflight=%d,slots=%d,queue=%d,draining=%d", r.InFlight, r.Slots, r.Queue, draining)
	if r.Slowdown > 0 {
		text += fmt.Sprintf(",slowdown=%d", r.Slowdown)
	}
	return text
}
